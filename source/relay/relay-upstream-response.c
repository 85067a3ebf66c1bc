#include "relay/relay-upstream-internal.h"

#include <string.h>

#include "relay/http-field.h"

/* Largest answer that is held, bytes; more than any body that upstreams send today. */
#define MAX_ANSWER_BYTES (32u << 20)
/* Connections are kept this much shorter than the upstream says, so that a request doesn't cross
 * its close. */
#define KEEP_MARGIN (1 * ANVIL_SECOND)

#define STATUS_MISDIRECTED 421
#define STATUS_TOO_MANY 429
#define STATUS_UNAVAILABLE 503
#define STATUS_BAD_REQUEST 400

/* Whether the answer says, for this very request, that it has not run. */
static gboolean
says_not_run (const anvil_relay_attempt_t *run, guint status)
{
  if (run->answer_id != NULL && g_strcmp0 (run->answer_id, run->id) != 0)
    return FALSE;
  return run->not_run
         && (status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY
             || status == STATUS_BAD_REQUEST || status == STATUS_MISDIRECTED);
}

/* Judges a whole answer with the right id. */
anvil_relay_attempt_outcome_t
run_judge (const anvil_relay_attempt_t *run)
{
  guint status = run->parser.status_code;
  anvil_relay_attempt_outcome_t outcome = { .result = ANVIL_RUN_ANSWERED,
                                            .status = status,
                                            .headers = run->headers,
                                            .body = run->body,
                                            .duration = anvil_clock_now () - run->started_at };

  if (status == STATUS_MISDIRECTED)
    {
      outcome.result = ANVIL_RUN_CONNECT_FAILED;
      outcome.misdirected = TRUE;
      outcome.reason = "another upstream has its address";
    }
  else if (says_not_run (run, status))
    {
      outcome.result = ANVIL_RUN_SHED;
      outcome.reason = "upstream has no room";
    }
  else if (!run->signature || run->encoded)
    {
      outcome = (anvil_relay_attempt_outcome_t){ .result = ANVIL_RUN_INTERRUPTED,
                                                 .reason = "answer isn't the upstream's",
                                                 .duration = outcome.duration };
    }
  else if (status >= 500)
    outcome.result = ANVIL_RUN_FAILED;
  return outcome;
}

/* The answer that was read is for this request, or says that another upstream has the address. */
gboolean
run_is_ours (const anvil_relay_attempt_t *run)
{
  if (run->answer_id != NULL)
    return g_strcmp0 (run->answer_id, run->id) == 0;
  return run->id == NULL || run->not_run || run->parser.status_code == STATUS_MISDIRECTED;
}

static void
begin_answer (anvil_relay_attempt_t *run)
{
  run->in_value = FALSE;
  run->signature = FALSE;
  run->not_run = FALSE;
  run->encoded = FALSE;
  run->ended = FALSE;
  g_clear_pointer (&run->answer_id, g_free);
  g_clear_pointer (&run->answer_upstream, g_free);
  g_string_truncate (run->field, 0);
  g_string_truncate (run->value, 0);
  g_string_truncate (run->headers, 0);
  evbuffer_drain (run->body, evbuffer_get_length (run->body));
}

static void
take_keep_time (link_t *link, const GString *value)
{
  const char *timeout = strstr (value->str, "timeout=");
  gint64 seconds;

  if (timeout == NULL)
    return;
  seconds = g_ascii_strtoll (timeout + strlen ("timeout="), NULL, 10);
  link->keep = MAX (seconds * ANVIL_SECOND - KEEP_MARGIN, 0);
}

static void
take_field (anvil_relay_attempt_t *run)
{
  const anvil_header_names_t *wire = run->link->pool->wire;
  anvil_str_t name = { .data = run->field->str, .length = run->field->len };
  anvil_str_t value = { .data = run->value->str, .length = run->value->len };

  if (name.length == 0)
    return;
  if (anvil_field_is (name, wire->request_id))
    {
      g_free (run->answer_id);
      run->answer_id = anvil_str_dup (value);
    }
  else if (anvil_field_is (name, wire->response_marker))
    run->signature = TRUE;
  else if (anvil_field_is (name, wire->not_run))
    run->not_run = TRUE;
  else if (anvil_field_is (name, "Content-Encoding"))
    run->encoded = !anvil_field_is (value, "identity");
  else if (anvil_field_is (name, "Connection"))
    run->link->closing |= anvil_field_has_token (value, "close");
  else if (anvil_field_is (name, "Keep-Alive"))
    take_keep_time (run->link, run->value);
  if (!anvil_field_of_connection (name))
    anvil_field_append (run->headers, name, value);
  g_string_truncate (run->field, 0);
  g_string_truncate (run->value, 0);
}

static int
on_message_begin (http_parser *parser)
{
  begin_answer (parser->data);
  return 0;
}

static int
on_header_field (http_parser *parser, const char *at, size_t length)
{
  anvil_relay_attempt_t *run = parser->data;

  if (run->in_value)
    take_field (run);
  run->in_value = FALSE;
  g_string_append_len (run->field, at, (gssize) length);
  return 0;
}

static int
on_header_value (http_parser *parser, const char *at, size_t length)
{
  anvil_relay_attempt_t *run = parser->data;

  run->in_value = TRUE;
  g_string_append_len (run->value, at, (gssize) length);
  return 0;
}

static int
on_headers_complete (http_parser *parser)
{
  anvil_relay_attempt_t *run = parser->data;

  take_field (run);
  /* 1 tells the parser that the answer to a HEAD request has no body. */
  return run->head ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t length)
{
  anvil_relay_attempt_t *run = parser->data;

  if (evbuffer_get_length (run->body) + length > MAX_ANSWER_BYTES)
    return 1;
  evbuffer_add (run->body, at, length);
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  anvil_relay_attempt_t *run = parser->data;

  run->ended = TRUE;
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

size_t
run_parse (anvil_relay_attempt_t *run, const char *bytes, size_t length)
{
  return http_parser_execute (&run->parser, &parser_settings, bytes, length);
}
