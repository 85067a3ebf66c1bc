#include "relay/relay-upstream-internal.h"

#include <limits.h>
#include <string.h>

#include "anvil/log.h"
#include "net/http-framing.h"
#include "relay/http-field.h"
#include "relay/http-status.h"
#include "relay/upstream-load.h"

/* Largest response body that is buffered; larger than any body that upstreams send today. */
#define MAX_RESPONSE_BODY_BYTES (32u << 20)
/* Idle connections are closed this much earlier than the upstream's Keep-Alive time-out, so that no
 * request is sent while the upstream closes. */
#define IDLE_TIMEOUT_MARGIN (1 * ANVIL_SECOND)

/* Whether the response names another upstream as its sender than the expected one. */
static gboolean
is_from_another_upstream (const anvil_relay_attempt_t *attempt)
{
  return attempt->response_upstream_id != NULL
         && strcmp (attempt->response_upstream_id, attempt->upstream_id) != 0;
}

/* Whether the response states that this very request has not run. A response with the marker is
 * that of a run, whatever else it says. */
static gboolean
is_not_run_response (const anvil_relay_attempt_t *attempt, guint status)
{
  if (attempt->has_response_marker
      || (attempt->response_request_id != NULL
          && g_strcmp0 (attempt->response_request_id, attempt->request_id) != 0))
    return FALSE;
  if (status == STATUS_MISDIRECTED && is_from_another_upstream (attempt))
    return TRUE;
  return attempt->not_run
         && (anvil_http_status_is_promise (status) || status == STATUS_BAD_REQUEST);
}

/* Whether the response states that another upstream has the address. */
static gboolean
is_misdirected_response (const anvil_relay_attempt_t *attempt, guint status)
{
  return status == STATUS_MISDIRECTED && is_not_run_response (attempt, status)
         && (attempt->response_upstream_id == NULL || is_from_another_upstream (attempt));
}

static anvil_relay_response_t
describe_response (const anvil_relay_attempt_t *attempt)
{
  return (anvil_relay_response_t){ .status = attempt->parser.status_code,
                                   .has_marker = attempt->has_response_marker,
                                   .not_run = attempt->not_run,
                                   .has_id = attempt->response_request_id != NULL,
                                   .connection_reused = attempt->connection->reused,
                                   .upstream_id = attempt->response_upstream_id };
}

anvil_relay_attempt_outcome_t
attempt_classify_response (const anvil_relay_attempt_t *attempt)
{
  guint status = attempt->parser.status_code;
  anvil_relay_attempt_outcome_t outcome = { .result = ANVIL_RUN_ANSWERED,
                                            .status = status,
                                            .headers = attempt->headers,
                                            .body = attempt->body,
                                            .duration = anvil_clock_now () - attempt->started_at,
                                            .request_limit = attempt->request_limit,
                                            .speed = attempt->speed,
                                            .response = describe_response (attempt) };

  if (is_misdirected_response (attempt, status))
    {
      outcome.result = ANVIL_RUN_CONNECT_FAILED;
      outcome.misdirected = TRUE;
      outcome.request_limit = (anvil_request_limit_t){ 0 };
      outcome.speed = 0;
      outcome.reason = "address belongs to another upstream";
    }
  else if (is_not_run_response (attempt, status))
    {
      outcome.result = ANVIL_RUN_SHED;
      outcome.reason = "upstream rejected the request without running it";
      outcome.speed = 0;
      /* That a limit has ended is taken only from responses to requests that were run. */
      if (outcome.request_limit.state == ANVIL_REQUEST_LIMIT_NONE)
        outcome.request_limit = (anvil_request_limit_t){ 0 };
    }
  else if (!attempt->has_response_marker || attempt->has_content_encoding)
    {
      outcome = (anvil_relay_attempt_outcome_t){
        .result = ANVIL_RUN_INTERRUPTED,
        .reason = "response lacks the upstream's marker or has a content encoding",
        .duration = outcome.duration,
        .response = outcome.response
      };
    }
  else if (anvil_http_status_is_promise (status))
    {
      outcome.result = ANVIL_RUN_FAILED;
      outcome.reason = "status says that the request has not run, but no header confirms it";
    }
  else if (status >= 500)
    outcome.result = ANVIL_RUN_FAILED;
  return outcome;
}

gboolean
attempt_response_matches (const anvil_relay_attempt_t *attempt)
{
  if (attempt->response_request_id != NULL)
    return g_strcmp0 (attempt->response_request_id, attempt->request_id) == 0;
  if (attempt->request_id == NULL)
    return TRUE;
  return !attempt->connection->reused && attempt->n_mismatched == 0
         && (attempt->not_run || attempt->parser.status_code == STATUS_MISDIRECTED);
}

void
attempt_clear_body (anvil_relay_attempt_t *attempt)
{
  gsize length = evbuffer_get_length (attempt->body);

  attempt->connection->pool->buffered_bytes -= length;
  evbuffer_drain (attempt->body, length);
}

gboolean
attempt_has_excessive_framing (const anvil_relay_attempt_t *attempt)
{
  return anvil_http_framing_is_excessive (attempt->framing_bytes, attempt->body_bytes);
}

static void
reset_response (anvil_relay_attempt_t *attempt)
{
  attempt->in_value = FALSE;
  attempt->in_body = FALSE;
  attempt->has_response_marker = FALSE;
  attempt->not_run = FALSE;
  attempt->request_limit = (anvil_request_limit_t){ .state = ANVIL_REQUEST_LIMIT_NONE };
  attempt->speed = 0;
  attempt->n_load_fields = 0;
  attempt->announcement = (anvil_announcement_t){ 0 };
  attempt->has_content_encoding = FALSE;
  attempt->response_complete = FALSE;
  g_clear_pointer (&attempt->response_request_id, g_free);
  g_clear_pointer (&attempt->response_upstream_id, g_free);
  g_string_truncate (attempt->field_name, 0);
  g_string_truncate (attempt->field_value, 0);
  g_string_truncate (attempt->headers, 0);
  attempt_clear_body (attempt);
}

static void
process_keep_alive (upstream_connection_t *connection, const GString *value)
{
  const char *timeout = strstr (value->str, "timeout=");
  gint64 seconds;

  if (timeout == NULL)
    return;
  seconds = g_ascii_strtoll (timeout + strlen ("timeout="), NULL, 10);
  connection->idle_timeout = MAX (seconds * ANVIL_SECOND - IDLE_TIMEOUT_MARGIN, 0);
}

static gboolean
says_leaving (anvil_str_t value)
{
  gdouble number;

  return anvil_str_parse_decimal (value, &number) && number == 1;
}

static void
process_retry_after (anvil_relay_attempt_t *attempt, anvil_str_t value)
{
  anvil_time_t pause;

  if (anvil_announcement_parse_pause (value, &pause))
    attempt->announcement.pause = MAX (attempt->announcement.pause, pause);
  else
    anvil_log (ANVIL_LOG_INFO, "upstream",
               "Retry-After is not a number of seconds, ignored upstream=%s request=%s",
               attempt->upstream_id, attempt->request_id != NULL ? attempt->request_id : "-");
}

/* With several load headers, it isn't known which is the upstream's. */
static void
process_load (anvil_relay_attempt_t *attempt, anvil_str_t value)
{
  attempt->n_load_fields++;
  attempt->speed = attempt->n_load_fields == 1 ? anvil_upstream_load_speed (value) : 0;
}

static void
process_field (anvil_relay_attempt_t *attempt)
{
  const anvil_header_names_t *header_names = attempt->connection->pool->header_names;
  anvil_str_t name = { .data = attempt->field_name->str, .length = attempt->field_name->len };
  anvil_str_t value = { .data = attempt->field_value->str, .length = attempt->field_value->len };

  if (name.length == 0)
    return;
  if (anvil_http_field_name_is (name, header_names->request_id))
    {
      g_free (attempt->response_request_id);
      attempt->response_request_id = anvil_str_dup (value);
    }
  else if (anvil_http_field_name_is (name, header_names->upstream_id))
    {
      g_free (attempt->response_upstream_id);
      attempt->response_upstream_id = anvil_str_dup (value);
    }
  else if (anvil_http_field_name_is (name, header_names->response_marker))
    attempt->has_response_marker = TRUE;
  else if (anvil_http_field_name_is (name, header_names->not_run))
    attempt->not_run = TRUE;
  else if (anvil_http_field_name_is (name, header_names->request_limit))
    anvil_request_limit_add_field (&attempt->request_limit, value);
  else if (header_names->load != NULL && anvil_http_field_name_is (name, header_names->load))
    process_load (attempt, value);
  else if (anvil_http_field_name_is (name, header_names->leaving))
    attempt->announcement.leaving |= says_leaving (value);
  else if (anvil_http_field_name_is (name, "Retry-After"))
    process_retry_after (attempt, value);
  else if (anvil_http_field_name_is (name, "Content-Encoding"))
    attempt->has_content_encoding = !anvil_http_field_name_is (value, "identity");
  else if (anvil_http_field_name_is (name, "Connection"))
    attempt->connection->close_after_response |= anvil_http_field_has_token (value, "close");
  else if (anvil_http_field_name_is (name, "Keep-Alive"))
    process_keep_alive (attempt->connection, attempt->field_value);
  if (!anvil_http_field_is_hop_by_hop (name))
    anvil_http_field_append (attempt->headers, name, value);
  g_string_truncate (attempt->field_name, 0);
  g_string_truncate (attempt->field_value, 0);
}

static int
on_message_begin (http_parser *parser)
{
  reset_response (parser->data);
  return 0;
}

static int
on_header_field (http_parser *parser, const char *at, size_t length)
{
  anvil_relay_attempt_t *attempt = parser->data;

  /* Trailers are dropped. */
  if (attempt->in_body)
    return 0;
  if (attempt->in_value)
    process_field (attempt);
  attempt->in_value = FALSE;
  g_string_append_len (attempt->field_name, at, (gssize) length);
  return 0;
}

static int
on_header_value (http_parser *parser, const char *at, size_t length)
{
  anvil_relay_attempt_t *attempt = parser->data;

  if (attempt->in_body)
    return 0;
  attempt->in_value = TRUE;
  g_string_append_len (attempt->field_value, at, (gssize) length);
  return 0;
}

/* Whether the body of the current response ends with its connection. */
static gboolean
has_no_length (const anvil_relay_attempt_t *attempt)
{
  const http_parser *parser = &attempt->parser;

  return (parser->flags & F_CHUNKED) == 0 && parser->content_length == ULLONG_MAX
         && parser->status_code >= 200 && parser->status_code != 204 && parser->status_code != 304;
}

/* Whether the head that was parsed is the upstream's own: it answers this request, and an upstream
 * that got it has written it. */
static gboolean
is_upstreams_own_response (const anvil_relay_attempt_t *attempt)
{
  guint status = attempt->parser.status_code;

  return attempt_response_matches (attempt) && !is_from_another_upstream (attempt)
         && status != STATUS_MISDIRECTED
         && (attempt->has_response_marker || attempt->not_run || status < 200);
}

static void
announce (anvil_relay_attempt_t *attempt)
{
  if (attempt->parser.status_code != STATUS_UNAVAILABLE)
    attempt->announcement.pause = 0;
  if ((attempt->announcement.leaving || attempt->announcement.pause > 0)
      && attempt->announced != NULL && is_upstreams_own_response (attempt))
    attempt->announced (attempt->context, &attempt->announcement);
}

static int
on_headers_complete (http_parser *parser)
{
  anvil_relay_attempt_t *attempt = parser->data;

  process_field (attempt);
  attempt->in_body = TRUE;
  announce (attempt);
  /* The response to this request can't follow it. */
  if (!attempt->is_head && has_no_length (attempt) && !attempt_response_matches (attempt))
    return -1;
  /* 1 tells the parser that the response to a HEAD request has no body. */
  return attempt->is_head ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t length)
{
  anvil_relay_attempt_t *attempt = parser->data;

  if (evbuffer_get_length (attempt->body) + length > MAX_RESPONSE_BODY_BYTES)
    return 1;
  evbuffer_add (attempt->body, at, length);
  attempt->connection->pool->buffered_bytes += length;
  attempt->body_bytes += length;
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  anvil_relay_attempt_t *attempt = parser->data;

  attempt->response_complete = TRUE;
  attempt->in_body = FALSE;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = on_message_begin,
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

const char *
attempt_problem (const anvil_relay_attempt_t *attempt)
{
  if (attempt->head.problem != NULL)
    return attempt->head.problem;
  if (HTTP_PARSER_ERRNO (&attempt->parser) != HPE_OK || attempt->parser.upgrade)
    return "malformed or oversized response";
  return NULL;
}

size_t
attempt_parse (anvil_relay_attempt_t *attempt, const char *bytes, size_t length)
{
  gsize body_bytes = attempt->body_bytes;
  size_t parsed;

  if (!attempt->in_body && length > 0
      && anvil_http_head_feed (&attempt->head, bytes, length, &length) == ANVIL_HTTP_HEAD_INVALID)
    return 0;
  parsed = http_parser_execute (&attempt->parser, &parser_settings, bytes, length);

  attempt->framing_bytes += parsed - (attempt->body_bytes - body_bytes);
  return parsed;
}
