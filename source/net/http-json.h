#pragma once

#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

/* JSON bodies of evhttp requests and responses. */

/**
 * anvil_http_json_parse - parses a body
 * @body: the body; its contents aren't removed
 * @max_bytes: longest body that is accepted
 *
 * Return: a new reference, or NULL with @error.
 */
json_t *anvil_http_json_parse (struct evbuffer *body, gsize max_bytes, GError **error);

/**
 * anvil_http_json_send - responds to a request with a JSON body
 * @json: the body; the reference is taken over
 */
void anvil_http_json_send (struct evhttp_request *request, int status, json_t *json);

/** anvil_http_json_send_error - responds to a request with {"error":"..."} */
void anvil_http_json_send_error (struct evhttp_request *request, int status, const char *message);
