#pragma once

#include "anvil/str.h"

/*
 * Header fields, as both sides of a relayed request need them.
 */

/** anvil_field_is - whether a field has this name; names compare without case */
gboolean anvil_field_is (anvil_str_t name, const char *wanted);

/** anvil_field_of_connection - whether it concerns one connection only and isn't passed on */
gboolean anvil_field_of_connection (anvil_str_t name);

/** anvil_field_has_token - whether a list such as "keep-alive, close" has @token */
gboolean anvil_field_has_token (anvil_str_t value, const char *token);

/** anvil_field_number - a whole number of at least 0; FALSE if it is anything else */
gboolean anvil_field_number (anvil_str_t value, gint64 *number);

/** anvil_field_append - "Name: value\r\n" */
void anvil_field_append (GString *out, anvil_str_t name, anvil_str_t value);
