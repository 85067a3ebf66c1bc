#include "net/http-kept-header.h"

/* Longer than any value that a caller of the pool reads; the rest is cut off. */
#define MAX_BYTES 128

void
http_kept_header_init (http_kept_header_t *header, const char *wanted)
{
  *header = (http_kept_header_t){ .wanted = wanted,
                                  .field = g_string_new (NULL),
                                  .value = g_string_new (NULL) };
}

void
http_kept_header_clear (http_kept_header_t *header)
{
  g_string_free (header->field, TRUE);
  g_string_free (header->value, TRUE);
}

void
http_kept_header_reset (http_kept_header_t *header)
{
  g_string_truncate (header->field, 0);
  g_string_truncate (header->value, 0);
  header->found = FALSE;
  header->in_value = FALSE;
  header->ended = FALSE;
}

void
http_kept_header_end (http_kept_header_t *header)
{
  header->ended = TRUE;
}

static void
append (GString *text, const char *at, gsize length)
{
  g_string_append_len (text, at, (gssize) MIN (length, MAX_BYTES - MIN (text->len, MAX_BYTES)));
}

void
http_kept_header_add_name (http_kept_header_t *header, const char *at, gsize length)
{
  if (header->in_value)
    g_string_truncate (header->field, 0);
  header->in_value = FALSE;
  append (header->field, at, length);
}

void
http_kept_header_add_value (http_kept_header_t *header, const char *at, gsize length)
{
  gboolean starts = !header->in_value;

  header->in_value = TRUE;
  if (header->ended || header->wanted == NULL
      || g_ascii_strcasecmp (header->field->str, header->wanted) != 0)
    return;
  if (starts && header->found)
    append (header->value, ", ", 2);
  header->found = TRUE;
  append (header->value, at, length);
}
