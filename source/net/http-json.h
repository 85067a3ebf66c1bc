#pragma once

#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

/* JSON bodies of evhttp requests. */

/**
 * anvil_http_json_load - parses a body
 * @body: the bytes; left as they are
 * @max_bytes: longest text that is parsed
 *
 * Return: a new reference, or NULL with @error.
 */
json_t *anvil_http_json_load (struct evbuffer *body, gsize max_bytes, GError **error);

/**
 * anvil_http_json_reply - answers a request with a JSON text
 * @json: the answer; the reference is taken
 */
void anvil_http_json_reply (struct evhttp_request *request, int status, json_t *json);

/** anvil_http_json_fail - answers a request with {"error":"..."} */
void anvil_http_json_fail (struct evhttp_request *request, int status, const char *what);
