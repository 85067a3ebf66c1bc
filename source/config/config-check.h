#pragma once

#include "anvil/config.h"
#include "config/config-file.h"

/**
 * config_check_t - a file on its way to a configuration
 * @file: name for messages
 * @text: the YAML text, to find the line of a fault
 * @raw: what libcyaml read
 * @config: what is built of it
 * @entry: path of the entry that is being checked, "services[0]"
 * @names: names taken so far, "service/galeria"
 * @error: the first fault
 */
typedef struct
{
  const char *file;
  anvil_str_t text;
  const config_file_t *raw;
  anvil_config_t *config;
  char *entry;
  GHashTable *names;
  GError **error;
} config_check_t;

/** config_range_t - bounds of a number and the unit that messages name */
typedef struct
{
  gint64 minimum;
  gint64 maximum;
  const char *unit;
} config_range_t;

/** anvil_config_enter - sets the entry that the next faults are about */
void anvil_config_enter (config_check_t *check, const char *format, ...) G_GNUC_PRINTF (2, 3);

/**
 * anvil_config_fault - reports a fault of a field of the current entry
 * @field: name of the field, or NULL for the entry itself
 * @format: "what is wrong, expected what"
 *
 * Return: FALSE.
 */
gboolean anvil_config_fault (config_check_t *check, const char *field, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/* Each takes one scalar of the current entry and reports what is wrong with it. */
gboolean anvil_config_take_number (config_check_t *check,
                                   const char *field,
                                   const char *text,
                                   const config_range_t *range,
                                   gint64 *value);
gboolean anvil_config_take_bool (config_check_t *check,
                                 const char *field,
                                 const char *text,
                                 gboolean *value);
gboolean anvil_config_take_name (config_check_t *check,
                                 const char *field,
                                 const char *text,
                                 anvil_str_t *value);
gboolean anvil_config_take_address (config_check_t *check,
                                    const char *field,
                                    const char *text,
                                    guint32 *value);

/** anvil_config_take_unique - reports a name that its kind already has */
gboolean anvil_config_take_unique (config_check_t *check,
                                   const char *field,
                                   const char *kind,
                                   const char *name);

/* Each finds the index of a thing that the file names, or reports that there is none. */
gboolean
anvil_config_take_half (config_check_t *check, const char *field, const char *name, guint *index);
gboolean
anvil_config_take_region (config_check_t *check, const char *field, const char *name, guint *index);
gboolean
anvil_config_take_zone (config_check_t *check, const char *field, const char *name, guint *index);
gboolean anvil_config_take_service (config_check_t *check,
                                    const char *field,
                                    const char *name,
                                    guint *index);

/** anvil_config_text - copy of a string that lives as long as the configuration */
anvil_str_t anvil_config_text (config_check_t *check, const char *text);

/* The sections of the file, in the order in which they are built. */
gboolean anvil_config_build_places (config_check_t *check);
gboolean anvil_config_build_links (config_check_t *check);
gboolean anvil_config_build_services (config_check_t *check);
gboolean anvil_config_build_upstreams (config_check_t *check);
gboolean anvil_config_build_shifts (config_check_t *check);
gboolean anvil_config_build_seats (config_check_t *check);
