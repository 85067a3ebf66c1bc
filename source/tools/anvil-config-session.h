#pragma once

#include <event2/event.h>

#include "anvil/platform.h"

/**
 * anvil_config_session_t - an operator's connection to the platform
 *
 * Its calls block until the platform responds or the call times out.
 */
typedef struct
{
  struct event_base *base;
  anvil_platform_t *platform;
} anvil_config_session_t;

gboolean anvil_config_session_open (anvil_config_session_t *session, guint32 address, guint16 port);
void anvil_config_session_close (anvil_config_session_t *session);

/**
 * anvil_config_session_read_row - reads the value of one row
 *
 * Return: freed with g_free(); NULL without @error if the row is absent.
 */
char *
anvil_config_session_read_row (anvil_config_session_t *session, const char *key, GError **error);

/**
 * anvil_config_session_read_rows - reads the values of all rows whose key has a prefix
 *
 * Return: in the order of the keys, freed with g_strfreev(); NULL with @error on failure.
 */
char **anvil_config_session_read_rows (anvil_config_session_t *session,
                                       const char *prefix,
                                       GError **error);

/** anvil_config_session_get_object - reads an object's content; NULL with @error on failure */
GString *
anvil_config_session_get_object (anvil_config_session_t *session, const char *name, GError **error);

/**
 * anvil_config_session_list_entries - administration addresses of all entries on the VM list
 *
 * Return: a list such as "127.0.0.1:9000", freed with g_strfreev(); NULL with @error on failure.
 */
char **anvil_config_session_list_entries (anvil_config_session_t *session, GError **error);
