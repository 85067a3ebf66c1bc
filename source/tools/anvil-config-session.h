#pragma once

#include <event2/event.h>

#include "anvil/platform.h"

/**
 * anvil_config_session_t - an operator's connection to the platform
 *
 * Its calls block until they are answered or time out.
 */
typedef struct
{
  struct event_base *base;
  anvil_platform_t *platform;
} anvil_config_session_t;

gboolean anvil_config_session_open (anvil_config_session_t *session, guint32 address, guint16 port);
void anvil_config_session_close (anvil_config_session_t *session);

/** anvil_config_session_read_row - value of one row; NULL with no error if it is absent; freed with
 * g_free() */
char *
anvil_config_session_read_row (anvil_config_session_t *session, const char *key, GError **error);

/** anvil_config_session_read_rows - values of all rows with a prefix, in order; freed with
 * g_strfreev() */
char **anvil_config_session_read_rows (anvil_config_session_t *session,
                                       const char *prefix,
                                       GError **error);

/** anvil_config_session_get_object - bytes of an object */
GString *
anvil_config_session_get_object (anvil_config_session_t *session, const char *name, GError **error);

/**
 * anvil_config_session_list_entries - administration addresses of the entries of the VM list
 *
 * Return: "127.0.0.1:9000" and so on, NULL-terminated, freed with g_strfreev().
 */
char **anvil_config_session_list_entries (anvil_config_session_t *session, GError **error);
