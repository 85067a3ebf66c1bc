#include "anvil-load-call.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <string.h>

#include "anvil/log.h"
#include "tool-http.h"

#define LOOKUP_TIMEOUT (2 * ANVIL_SECOND)
/* How long a caller waits past its own deadline before it gives up. */
#define CALL_GRACE (2 * ANVIL_SECOND)
/* A look-up whose entries all failed is asked for again so many times. */
#define MAX_FRESH_LOOKUPS 1
/* Bytes of an answer that a log line shows. */
#define MAX_LOGGED_BYTES ((gsize) 120)

typedef struct
{
  load_session_t *client;
  load_caller_t *caller;
  load_request_t request;
  load_call_cb_t done;
  void *context;
  load_lookup_t lookup;
  anvil_time_t lookup_asked_at;
  guint lookup_first;
  guint lookup_tries;
  guint fresh_lookups;
  guint64 tried;
  load_entry_t entry;
} call_t;

static void call_ask_lookup (call_t *call);
static void call_send (call_t *call);

static void
call_end (call_t *call, load_outcome_t outcome, load_fault_t fault)
{
  load_result_t result = {
    .outcome = outcome,
    .fault = fault,
    .ended_at = anvil_clock_now (),
    .entry = call->entry,
  };

  call->done (call->context, &call->request, &result);
  g_free (call->request.id);
  g_free (call->request.key);
  g_free (call);
}

/* The id that an answer names: in a header, or as the first line of the body of an upstream. */
static anvil_str_t
echoed_id (const tool_http_response_t *answer)
{
  const char *header = evhttp_find_header (answer->headers, "Anvil-Request-Id");
  const char *end;

  if (header != NULL)
    return anvil_str (header);
  if (answer->body.length == 0 || evhttp_find_header (answer->headers, "Anvil-Server") == NULL)
    return (anvil_str_t){ 0 };
  end = memchr (answer->body.data, '\n', answer->body.length);
  return (anvil_str_t){
    .data = answer->body.data,
    .length = end != NULL ? (gsize) (end - answer->body.data) : answer->body.length,
  };
}

static void
call_answered (call_t *call, const tool_http_response_t *answer)
{
  const anvil_service_t *service = &call->client->config->services[call->request.service];
  gboolean recorded = evhttp_find_header (answer->headers, "Anvil-Recorded") != NULL;
  load_response_t response = {
    .id = call->request.id,
    .echoed_id = echoed_id (answer),
    .outcome = evhttp_find_header (answer->headers, "Anvil-Outcome"),
    .status = answer->status,
    .delimited = evhttp_find_header (answer->headers, "Content-Length") != NULL
                 || evhttp_find_header (answer->headers, "Transfer-Encoding") != NULL,
    .body_bytes = answer->body.length,
    /* A repeat hears the status of the first answer, without its body. */
    .min_body_bytes = recorded ? 0 : (gsize) (service->response_bits / 8),
  };
  load_fault_t fault;
  load_outcome_t outcome = load_response_classify (&response, &fault);

  if (fault != LOAD_FAULT_NONE)
    anvil_log (ANVIL_LOG_WARNING, "load", "wrong answer id=%s fault=%s status=%d", call->request.id,
               load_fault_name (fault), answer->status);
  else if (outcome != LOAD_ANSWERED)
    anvil_log (ANVIL_LOG_INFO, "load", "%s id=%s service=%s status=%d body=\"%.*s\"",
               load_outcome_name (outcome), call->request.id, service->name.data, answer->status,
               (int) MIN (answer->body.length, MAX_LOGGED_BYTES), answer->body.data);
  call_end (call, outcome, fault);
}

static void
call_finished (void *context, const tool_http_response_t *answer)
{
  call_t *call = context;

  switch (answer->result)
    {
    case TOOL_HTTP_COMPLETE:
      call_answered (call, answer);
      return;
    case TOOL_HTTP_NOT_SENT:
      call->client->failovers++;
      call_send (call);
      return;
    case TOOL_HTTP_NO_RESPONSE:
      anvil_log (ANVIL_LOG_INFO, "load", "no answer id=%s", call->request.id);
      call_end (call, LOAD_UNKNOWN, LOAD_FAULT_NONE);
      return;
    case TOOL_HTTP_TRUNCATED:
      call_end (call, LOAD_UNKNOWN, LOAD_FAULT_TRUNCATED);
      return;
    }
}

static char *
request_path (const load_request_spec_t *plan)
{
  switch (plan->kind)
    {
    case LOAD_BROWSE:
      return g_strdup_printf ("/objects/%u", plan->object);
    case LOAD_TRANSACT:
      return g_strdup ("/orders");
    case LOAD_UPLOAD:
      return g_strdup ("/uploads");
    }
  g_assert_not_reached ();
}

static void
call_dispatch (call_t *call)
{
  const anvil_service_t *service = &call->client->config->services[call->request.service];
  char *timeout_ms = g_strdup_printf ("%" G_GINT64_FORMAT, service->deadline / ANVIL_MS);
  char *path = request_path (&call->request.spec);
  const tool_http_header_t headers[] = {
    { "Host", service->name.data },
    { "Anvil-Request-Id", call->request.id },
    { "Anvil-Timeout-Ms", timeout_ms },
    { "Idempotency-Key", call->request.key },
  };
  tool_http_request_t request = {
    .method = call->request.spec.kind == LOAD_BROWSE ? EVHTTP_REQ_GET : EVHTTP_REQ_POST,
    .path = path,
    .source_address = call->caller->address,
    .address = call->entry.address,
    .port = call->entry.port,
    .headers = headers,
    .n_headers = G_N_ELEMENTS (headers),
    .body_bytes = call->request.spec.body_bytes,
    .timeout = service->deadline + CALL_GRACE,
  };

  tool_http_send (call->client->base, &request, call_finished, call);
  g_free (path);
  g_free (timeout_ms);
}

/* The entry that a repeated key was sent to before comes last. */
static void
call_set_aside (call_t *call)
{
  const load_entry_t *avoid = &call->request.previous_entry;

  for (guint i = 0; i < call->lookup.n_entries; i++)
    {
      load_entry_t *entry = &call->lookup.entries[i];

      if (entry->address == avoid->address && entry->port == avoid->port)
        entry->weight = 0;
    }
}

static void
call_send (call_t *call)
{
  guint chosen = load_lookup_choose (&call->lookup, call->tried, call->client->rand);

  if (chosen == LOAD_MAX_ENTRIES)
    {
      if (call->fresh_lookups++ < MAX_FRESH_LOOKUPS)
        call_ask_lookup (call);
      else
        call_end (call, LOAD_NOT_SENT, LOAD_FAULT_NONE);
      return;
    }
  call->tried |= G_GUINT64_CONSTANT (1) << chosen;
  call->entry = call->lookup.entries[chosen];
  call_dispatch (call);
}

static gboolean
call_take_lookup (call_t *call, const tool_http_response_t *answer)
{
  GError *error = NULL;

  if (answer->result != TOOL_HTTP_COMPLETE || answer->status != HTTP_OK)
    return FALSE;
  if (!load_lookup_parse (&call->lookup, answer->body, call->lookup_asked_at, &error))
    {
      anvil_log (ANVIL_LOG_WARNING, "load", "bad look-up: %s", error->message);
      g_error_free (error);
      return FALSE;
    }
  return call->lookup.n_entries > 0;
}

static void call_try_lookup (call_t *call);

static void
lookup_finished (void *context, const tool_http_response_t *answer)
{
  call_t *call = context;

  if (!call_take_lookup (call, answer))
    {
      call_try_lookup (call);
      return;
    }
  load_cache_put (call->caller->cache, call->request.service, &call->lookup);
  call_set_aside (call);
  call->tried = 0;
  call_send (call);
}

/* Asks the next entry of the bootstrap list. */
static void
call_try_lookup (call_t *call)
{
  load_session_t *client = call->client;
  const anvil_service_t *service = &client->config->services[call->request.service];
  tool_http_request_t request = {
    .method = EVHTTP_REQ_GET,
    .source_address = call->caller->address,
    .timeout = LOOKUP_TIMEOUT,
  };
  const load_entry_t *entry;
  char *client_address;
  char *path;

  if (call->lookup_tries == client->n_bootstrap)
    {
      client->failed_lookups++;
      call_end (call, LOAD_NOT_SENT, LOAD_FAULT_NONE);
      return;
    }
  entry = &client->bootstrap[(call->lookup_first + call->lookup_tries++) % client->n_bootstrap];
  client_address = tool_http_format_address (call->caller->address);
  path = g_strdup_printf ("/v1/entries?service=%s&client=%s", service->name.data, client_address);
  request.path = path;
  request.address = entry->address;
  request.port = entry->port;
  call->lookup_asked_at = anvil_clock_now ();
  tool_http_send (client->base, &request, lookup_finished, call);
  g_free (path);
  g_free (client_address);
}

static void
call_ask_lookup (call_t *call)
{
  load_session_t *client = call->client;

  client->lookups++;
  call->lookup_tries = 0;
  call->lookup_first = (guint) g_rand_int_range (client->rand, 0, (gint) client->n_bootstrap);
  call_try_lookup (call);
}

void
load_call_start (load_session_t *client,
                 load_caller_t *caller,
                 load_request_t request,
                 load_call_cb_t done,
                 void *context)
{
  const load_lookup_t *kept = load_cache_get (caller->cache, request.service, anvil_clock_now ());
  call_t *call = g_new0 (call_t, 1);

  call->client = client;
  call->caller = caller;
  call->request = request;
  call->done = done;
  call->context = context;
  if (kept == NULL)
    {
      call_ask_lookup (call);
      return;
    }
  call->lookup = *kept;
  call_set_aside (call);
  call_send (call);
}
