#include "caller-response.h"

#include "net/http-json.h"

static void
set_outcome (struct evhttp_request *request, const char *outcome)
{
  evhttp_add_header (evhttp_request_get_output_headers (request), "Anvil-Outcome", outcome);
}

void
anvil_respond_bad_request (struct evhttp_request *request, int status, const char *message)
{
  set_outcome (request, "refused");
  evhttp_add_header (evhttp_request_get_output_headers (request), "Connection", "close");
  anvil_http_json_send_error (request, status, message);
}

void
anvil_respond_refused (struct evhttp_request *request,
                       const char *reason,
                       const char *message,
                       anvil_time_t retry_after)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  gint64 seconds = (retry_after + ANVIL_SECOND - 1) / ANVIL_SECOND;
  char text[32];

  g_snprintf (text, sizeof text, "%" G_GINT64_FORMAT, MAX (seconds, 1));
  evhttp_add_header (headers, "Retry-After", text);
  evhttp_add_header (headers, "Anvil-Reason", reason);
  set_outcome (request, "refused");
  anvil_http_json_send_error (request, HTTP_SERVUNAVAIL, message);
}

void
anvil_respond_unknown (struct evhttp_request *request, int status, const char *message)
{
  set_outcome (request, "unknown");
  anvil_http_json_send_error (request, status, message);
}

void
anvil_respond_recorded (struct evhttp_request *request, int status)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  const char *id
      = evhttp_find_header (evhttp_request_get_input_headers (request), "Anvil-Request-Id");

  evhttp_add_header (headers, "Anvil-Recorded", "1");
  if (id != NULL)
    evhttp_add_header (headers, "Anvil-Request-Id", id);
  set_outcome (request, "answered");
  evhttp_send_reply (request, status, NULL, NULL);
}
