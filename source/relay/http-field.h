#pragma once

#include "anvil/str.h"

/*
 * HTTP header fields, for connections of callers and of upstreams.
 */

/** anvil_http_field_name_is - compares a field's name, ignoring case */
gboolean anvil_http_field_name_is (anvil_str_t name, const char *wanted);

/** anvil_http_field_is_hop_by_hop - whether a field concerns one connection or its message framing
 * and isn't forwarded */
gboolean anvil_http_field_is_hop_by_hop (anvil_str_t name);

/** anvil_http_field_has_token - whether a list such as "keep-alive, close" contains @token */
gboolean anvil_http_field_has_token (anvil_str_t value, const char *token);

/** anvil_http_trim_blanks - the text without surrounding spaces and tabs */
anvil_str_t anvil_http_trim_blanks (anvil_str_t text);

/** anvil_http_field_parse_number - parses a non-negative integer; FALSE if it is anything else */
gboolean anvil_http_field_parse_number (anvil_str_t value, gint64 *number);

/** anvil_http_field_append - appends "Name: value\r\n" */
void anvil_http_field_append (GString *out, anvil_str_t name, anvil_str_t value);

/** anvil_http_field_is_valid - whether name and value conform to HTTP: only token characters in a
 * name, no control characters but tabs in a value. Recipients interpret others differently, which
 * would allow request smuggling. */
gboolean anvil_http_field_is_valid (anvil_str_t name, anvil_str_t value);

/** anvil_http_fields_remove - removes each field of that name from "Name: value\r\n" lines */
void anvil_http_fields_remove (GString *fields, anvil_str_t name);

typedef void (*anvil_http_token_cb_t) (void *context, anvil_str_t token);

/** anvil_http_field_foreach_token - calls @visit for each token of a comma-separated list, without
 * surrounding whitespace */
void anvil_http_field_foreach_token (anvil_str_t value, anvil_http_token_cb_t visit, void *context);
