#pragma once

#include <event2/http.h>
#include <glib.h>

struct evkeyvalq;

/** anvil_headers_count - how often a header stands in a message */
guint anvil_headers_count (const struct evkeyvalq *headers, const char *name);

/** anvil_headers_copy_end_to_end - appends all headers but those that belong to one connection or
 * its framing
 */
void anvil_headers_copy_end_to_end (const struct evkeyvalq *from, struct evkeyvalq *to);

/**
 * anvil_headers_validate - why a request's headers leave open what belongs to it
 *
 * The library takes the first of two lengths and prefers chunks to a length.
 * Another reader on the way may choose otherwise, so such a request is refused
 * and its connection closed.
 *
 * Return: a sentence, or NULL if all is well.
 */
const char *anvil_headers_validate (const struct evkeyvalq *headers);
