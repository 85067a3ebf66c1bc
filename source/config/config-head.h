#pragma once

#include "anvil/config.h"

/* Key of the row that names the file in force. */
#define ANVIL_HEAD_KEY "config/head"

/**
 * anvil_config_head_t - the record that names one generation's file
 * @generation: counts accepted files from 1
 * @object_name: name of the object that holds the file, made from its digest
 * @submission_id: identifies the submission that wrote it
 * @submitted_by: who submitted it
 * @submitted_at: when, UTC
 */
typedef struct
{
  guint64 generation;
  char *object_name;
  char *submission_id;
  char *submitted_by;
  char *submitted_at;
} anvil_config_head_t;

/** anvil_config_head_parse - reads a record; FALSE with @error if it isn't one */
gboolean anvil_config_head_parse (anvil_str_t text, anvil_config_head_t *head, GError **error);

/** anvil_config_head_format - the record as JSON; freed with g_free() */
char *anvil_config_head_format (const anvil_config_head_t *head);

/** anvil_config_head_clear - frees the members */
void anvil_config_head_clear (anvil_config_head_t *head);

/** anvil_config_object_name - name of the object for a file's text; freed with g_free() */
char *anvil_config_object_name (anvil_str_t file);
