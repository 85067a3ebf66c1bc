#pragma once

#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

/* JSON bodies of evhttp requests. */

/**
 * anvil_http_json_parse - parses a body
 * @body: the bytes; left as they are
 * @max_bytes: longest text that is parsed
 *
 * Return: a new reference, or NULL with @error.
 */
json_t *anvil_http_json_parse (struct evbuffer *body, gsize max_bytes, GError **error);

/**
 * anvil_http_json_send - answers a request with a JSON text
 * @json: the answer; the reference is taken
 */
void anvil_http_json_send (struct evhttp_request *request, int status, json_t *json);

/** anvil_http_json_send_error - answers a request with {"error":"..."} */
void anvil_http_json_send_error (struct evhttp_request *request, int status, const char *what);
