#pragma once

#include "anvil/config.h"

/* Key of the row that holds the head record, which names the file in force. */
#define ANVIL_HEAD_KEY "config/head"

/**
 * anvil_config_head_t - the head record: the file of one generation and who submitted it
 * @generation: number of accepted files, from 1
 * @object_name: name of the object that holds the file, derived from the digest of the file
 * @submission_id: unique identifier of the submission that wrote the record
 * @submitted_by: user who submitted the file
 * @submitted_at: time of the submission, UTC, ISO 8601
 */
typedef struct
{
  guint64 generation;
  char *object_name;
  char *submission_id;
  char *submitted_by;
  char *submitted_at;
} anvil_config_head_t;

/** anvil_config_head_parse - parses a record; FALSE with @error set if it is invalid */
gboolean anvil_config_head_parse (anvil_str_t text, anvil_config_head_t *head, GError **error);

/** anvil_config_head_format - formats a record as JSON; freed with g_free() */
char *anvil_config_head_format (const anvil_config_head_t *head);

/** anvil_config_head_clear - frees the members */
void anvil_config_head_clear (anvil_config_head_t *head);

/** anvil_config_object_name - name of the object for a file's text; freed with g_free() */
char *anvil_config_object_name (anvil_str_t file);
