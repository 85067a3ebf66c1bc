#pragma once

#include <event2/http.h>
#include <glib.h>

struct evkeyvalq;

/** anvil_headers_count - number of headers with this name, ignoring case */
guint anvil_headers_count (const struct evkeyvalq *headers, const char *name);

/** anvil_headers_copy_end_to_end - appends all headers except hop-by-hop ones and those that frame
 * the message */
void anvil_headers_copy_end_to_end (const struct evkeyvalq *from, struct evkeyvalq *to);

/**
 * anvil_headers_validate - rejects headers that leave the framing or host of a request ambiguous
 *
 * Of two Content-Length headers evhttp uses the first one, and it prefers chunks
 * to a length. Another proxy or server on the path may choose differently, which
 * allows request smuggling, so such a request is refused and its connection
 * closed.
 *
 * Return: an error message, or NULL if the headers are valid.
 */
const char *anvil_headers_validate (const struct evkeyvalq *headers);
