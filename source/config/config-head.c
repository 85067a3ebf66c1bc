#include "config/config-head.h"

#include <jansson.h>
#include <string.h>

#include "anvil/error.h"

#define OBJECT_PREFIX "config-"
/* Hexadecimal digits of a SHA-256 digest. */
#define DIGEST_DIGITS 64

/* Copies a string member; NULL if it is missing or of another type. */
static char *
dup_member (const json_t *record, const char *name)
{
  return g_strdup (json_string_value (json_object_get (record, name)));
}

/* The name becomes part of a request path, so only the prefix and a digest are accepted. */
static gboolean
is_object_name (const char *name)
{
  const char *digest = name + strlen (OBJECT_PREFIX);

  if (!g_str_has_prefix (name, OBJECT_PREFIX) || strlen (digest) != DIGEST_DIGITS)
    return FALSE;
  return strspn (digest, "0123456789abcdef") == DIGEST_DIGITS;
}

gboolean
anvil_config_head_parse (anvil_str_t text, anvil_config_head_t *head, GError **error)
{
  json_t *record
      = json_loadb (text.data != NULL ? text.data : "", text.length, JSON_REJECT_DUPLICATES, NULL);
  json_int_t generation = json_integer_value (json_object_get (record, "generation"));

  *head = (anvil_config_head_t){
    .generation = generation > 0 ? (guint64) generation : 0,
    .object_name = dup_member (record, "object"),
    .submission_id = dup_member (record, "submission"),
    .submitted_by = dup_member (record, "by"),
    .submitted_at = dup_member (record, "at"),
  };
  json_decref (record);
  if (head->generation > 0 && head->object_name != NULL && is_object_name (head->object_name)
      && head->submission_id != NULL)
    return TRUE;
  anvil_config_head_clear (head);
  g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID,
               "%s: record needs a generation above 0, an object and a submission", ANVIL_HEAD_KEY);
  return FALSE;
}

char *
anvil_config_head_format (const anvil_config_head_t *head)
{
  json_t *record
      = json_pack ("{s:I, s:s, s:s, s:s, s:s}", "generation", (json_int_t) head->generation,
                   "object", head->object_name, "submission", head->submission_id, "by",
                   head->submitted_by != NULL ? head->submitted_by : "", "at",
                   head->submitted_at != NULL ? head->submitted_at : "");
  char *text = json_dumps (record, JSON_COMPACT);
  char *copy = g_strdup (text);

  free (text);
  json_decref (record);
  return copy;
}

void
anvil_config_head_clear (anvil_config_head_t *head)
{
  g_free (head->object_name);
  g_free (head->submission_id);
  g_free (head->submitted_by);
  g_free (head->submitted_at);
  memset (head, 0, sizeof *head);
}

char *
anvil_config_object_name (anvil_str_t file)
{
  char *digest
      = g_compute_checksum_for_data (G_CHECKSUM_SHA256, (const guchar *) file.data, file.length);
  char *name = g_strconcat (OBJECT_PREFIX, digest, NULL);

  g_free (digest);
  return name;
}
