#include "net/http-json.h"

#include <event2/buffer.h>
#include <string.h>

#include "anvil/error.h"

json_t *
anvil_http_json_parse (struct evbuffer *body, gsize max_bytes, GError **error)
{
  gsize length = evbuffer_get_length (body);
  json_error_t parse_error;
  const char *text;
  json_t *json;

  if (length == 0 || length > max_bytes)
    {
      g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID,
                   "JSON body has %" G_GSIZE_FORMAT " bytes, expected 1 to %" G_GSIZE_FORMAT,
                   length, max_bytes);
      return NULL;
    }
  text = (const char *) evbuffer_pullup (body, -1);
  json = json_loadb (text, length, JSON_REJECT_DUPLICATES, &parse_error);
  if (json == NULL)
    g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID, "JSON body: %s", parse_error.text);
  return json;
}

void
anvil_http_json_send (struct evhttp_request *request, int status, json_t *json)
{
  struct evbuffer *body = evbuffer_new ();
  char *text = json_dumps (json, JSON_COMPACT);

  evbuffer_add_printf (body, "%s\n", text);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Content-Type",
                     "application/json");
  evhttp_send_reply (request, status, NULL, body);
  evbuffer_free (body);
  free (text);
  json_decref (json);
}

void
anvil_http_json_send_error (struct evhttp_request *request, int status, const char *message)
{
  anvil_http_json_send (request, status, json_pack ("{s:s%}", "error", message, strlen (message)));
}
