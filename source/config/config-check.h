#pragma once

#include "anvil/config.h"
#include "config/config-file.h"

/**
 * config_check_t - state of the validation of a file
 * @file: file name for error messages
 * @text: the YAML text, used to find the line of an error
 * @raw: the file as parsed by libcyaml
 * @config: the configuration under construction
 * @item: path of the item that is being validated, such as "services[0]"
 * @seen_names: names found so far, with their kind: "service/galeria"
 * @error: the first error
 */
typedef struct
{
  const char *file;
  anvil_str_t text;
  const config_file_t *raw;
  anvil_config_t *config;
  char *item;
  GHashTable *seen_names;
  GError **error;
} config_check_t;

/** config_range_t - bounds of a number, and its unit for error messages */
typedef struct
{
  gint64 minimum;
  gint64 maximum;
  const char *unit;
} config_range_t;

/** anvil_config_set_item - sets the path of the item that later errors refer to */
void anvil_config_set_item (config_check_t *check, const char *format, ...) G_GNUC_PRINTF (2, 3);

/**
 * anvil_config_report_error - reports an error in a field of the current item
 * @field: name of the field, or NULL for the item itself
 * @format: "what is wrong, expected what"
 *
 * Return: FALSE.
 */
gboolean
anvil_config_report_error (config_check_t *check, const char *field, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/* Each parses one scalar of the current item, and reports an error if it is invalid. */
gboolean anvil_config_parse_number (config_check_t *check,
                                    const char *field,
                                    const char *text,
                                    const config_range_t *range,
                                    gint64 *value);
gboolean anvil_config_parse_bool (config_check_t *check,
                                  const char *field,
                                  const char *text,
                                  gboolean *value);
gboolean anvil_config_parse_name (config_check_t *check,
                                  const char *field,
                                  const char *text,
                                  anvil_str_t *value);
gboolean anvil_config_parse_address (config_check_t *check,
                                     const char *field,
                                     const char *text,
                                     guint32 *value);

/** anvil_config_check_unique - reports an error if @kind already has such a name */
gboolean anvil_config_check_unique (config_check_t *check,
                                    const char *field,
                                    const char *kind,
                                    const char *name);

/* Each finds the index of an element by name, and reports an error if there is none. */
gboolean anvil_config_resolve_half (config_check_t *check,
                                    const char *field,
                                    const char *name,
                                    guint *index);
gboolean anvil_config_resolve_region (config_check_t *check,
                                      const char *field,
                                      const char *name,
                                      guint *index);
gboolean anvil_config_resolve_zone (config_check_t *check,
                                    const char *field,
                                    const char *name,
                                    guint *index);
gboolean anvil_config_resolve_service (config_check_t *check,
                                       const char *field,
                                       const char *name,
                                       guint *index);

/** anvil_config_copy_text - copies a string; the copy is freed with the configuration */
anvil_str_t anvil_config_copy_text (config_check_t *check, const char *text);

/* Each validates a section of the file and adds it to the configuration, in this order. */
gboolean anvil_config_build_regions (config_check_t *check);
gboolean anvil_config_build_links (config_check_t *check);
gboolean anvil_config_build_services (config_check_t *check);
gboolean anvil_config_build_upstreams (config_check_t *check);
gboolean anvil_config_build_shifts (config_check_t *check);
gboolean anvil_config_build_seats (config_check_t *check);
