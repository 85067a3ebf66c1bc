#pragma once

#include "anvil/str.h"

/*
 * Difference between two versions of a text, as parts that are copied and parts that are new.
 *
 * It has the hashes of both texts, so a difference from another text, or a damaged one, is noticed.
 */

/** anvil_text_delta_make - appends to @out what makes @to out of @from */
void anvil_text_delta_make (anvil_str_t from, anvil_str_t to, GByteArray *out);

/**
 * anvil_text_delta_apply - the text that a difference makes out of @from
 * @max_bytes: limit of the result
 * @out: an empty array; undefined after a failure
 *
 * Return: FALSE if the difference is malformed, or isn't one from @from.
 */
gboolean
anvil_text_delta_apply (anvil_str_t from, anvil_str_t delta, gsize max_bytes, GByteArray *out);
