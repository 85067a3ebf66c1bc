#pragma once

#include <glib.h>

/**
 * http_kept_header_t - collects the value of one header field from the pieces that http_parser
 * reports
 * @wanted: name of the field, compared without regard to case; NULL for none
 * @field: name of the current field
 * @value: the value, or an empty string; a field that is repeated has its values joined by ", "
 * @found: the field was present
 * @in_value: the current piece continues the value of a field
 * @ended: the head is complete; what follows are trailers, which are ignored
 */
typedef struct
{
  const char *wanted;
  GString *field;
  GString *value;
  gboolean found;
  gboolean in_value;
  gboolean ended;
} http_kept_header_t;

void http_kept_header_init (http_kept_header_t *header, const char *wanted);
void http_kept_header_clear (http_kept_header_t *header);

/** http_kept_header_reset - a new message begins */
void http_kept_header_reset (http_kept_header_t *header);

/** http_kept_header_end - the head of the message is complete */
void http_kept_header_end (http_kept_header_t *header);

/** http_kept_header_add_name - a piece of a field's name */
void http_kept_header_add_name (http_kept_header_t *header, const char *at, gsize length);

/** http_kept_header_add_value - a piece of its value */
void http_kept_header_add_value (http_kept_header_t *header, const char *at, gsize length);
