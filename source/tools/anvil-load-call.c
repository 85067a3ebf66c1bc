#include "anvil-load-call.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <string.h>

#include "anvil/log.h"
#include "tool-http.h"

#define LOOKUP_TIMEOUT (2 * ANVIL_SECOND)
/* How long a caller waits for a response after the request's deadline. */
#define RESPONSE_GRACE (2 * ANVIL_SECOND)
/* How often a call repeats the look-up after it could not connect to any of its entries. */
#define MAX_REPEATED_LOOKUPS 1
#define MAX_LOGGED_BODY_BYTES ((gsize) 120)

typedef struct
{
  load_session_t *session;
  load_caller_t *caller;
  load_request_t request;
  load_call_cb_t callback;
  void *context;
  load_lookup_t lookup;
  anvil_time_t lookup_requested_at;
  guint lookup_first_index;
  guint n_lookup_tries;
  guint n_repeated_lookups;
  guint64 tried;
  load_entry_t entry;
} call_t;

static void call_start_lookup (call_t *call);
static void call_try_next_entry (call_t *call);

static void
call_finish (call_t *call, load_outcome_t outcome, load_fault_t fault)
{
  load_result_t result = {
    .outcome = outcome,
    .fault = fault,
    .ended_at = anvil_clock_now (),
    .entry = call->entry,
  };

  call->callback (call->context, &call->request, &result);
  g_free (call->request.id);
  g_free (call->request.key);
  g_free (call);
}

/* The request id in a response: a header, or the first line of the body of an upstream. */
static anvil_str_t
echoed_id (const tool_http_response_t *response)
{
  const char *header = evhttp_find_header (response->headers, "Anvil-Request-Id");
  const char *end;

  if (header != NULL)
    return anvil_str (header);
  if (response->body.length == 0 || evhttp_find_header (response->headers, "Anvil-Server") == NULL)
    return (anvil_str_t){ 0 };
  end = memchr (response->body.data, '\n', response->body.length);
  return (anvil_str_t){
    .data = response->body.data,
    .length = end != NULL ? (gsize) (end - response->body.data) : response->body.length,
  };
}

static void
call_classify_response (call_t *call, const tool_http_response_t *response)
{
  const anvil_service_t *service = &call->session->config->services[call->request.service];
  gboolean recorded = evhttp_find_header (response->headers, "Anvil-Recorded") != NULL;
  load_response_t summary = {
    .id = call->request.id,
    .echoed_id = echoed_id (response),
    .outcome = evhttp_find_header (response->headers, "Anvil-Outcome"),
    .status = response->status,
    .delimited = evhttp_find_header (response->headers, "Content-Length") != NULL
                 || evhttp_find_header (response->headers, "Transfer-Encoding") != NULL,
    .body_bytes = response->body.length,
    /* A recorded response has the status of the first one, but no body. */
    .min_body_bytes = recorded ? 0 : (gsize) (service->response_bits / 8),
  };
  load_fault_t fault;
  load_outcome_t outcome = load_response_classify (&summary, &fault);

  if (fault != LOAD_FAULT_NONE)
    anvil_log (ANVIL_LOG_WARNING, "load", "wrong response id=%s fault=%s status=%d",
               call->request.id, load_fault_name (fault), response->status);
  else if (outcome != LOAD_ANSWERED)
    anvil_log (ANVIL_LOG_INFO, "load", "%s id=%s service=%s status=%d body=\"%.*s\"",
               load_outcome_name (outcome), call->request.id, service->name.data, response->status,
               (int) MIN (response->body.length, MAX_LOGGED_BODY_BYTES), response->body.data);
  call_finish (call, outcome, fault);
}

static void
on_response (void *context, const tool_http_response_t *response)
{
  call_t *call = context;

  switch (response->result)
    {
    case TOOL_HTTP_COMPLETE:
      call_classify_response (call, response);
      return;
    case TOOL_HTTP_NOT_SENT:
      call->session->failovers++;
      call_try_next_entry (call);
      return;
    case TOOL_HTTP_NO_RESPONSE:
      anvil_log (ANVIL_LOG_INFO, "load", "no response id=%s", call->request.id);
      call_finish (call, LOAD_UNKNOWN, LOAD_FAULT_NONE);
      return;
    case TOOL_HTTP_TRUNCATED:
      call_finish (call, LOAD_UNKNOWN, LOAD_FAULT_TRUNCATED);
      return;
    }
}

static char *
request_path (const load_request_spec_t *spec)
{
  switch (spec->kind)
    {
    case LOAD_BROWSE:
      return g_strdup_printf ("/objects/%u", spec->object);
    case LOAD_TRANSACT:
      return g_strdup ("/orders");
    case LOAD_UPLOAD:
      return g_strdup ("/uploads");
    }
  g_assert_not_reached ();
}

static void
call_send_to_entry (call_t *call)
{
  const anvil_service_t *service = &call->session->config->services[call->request.service];
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
    .timeout = service->deadline + RESPONSE_GRACE,
  };

  tool_http_send (call->session->base, &request, on_response, call);
  g_free (path);
  g_free (timeout_ms);
}

/* Sets the weight of the entry that got the key before to 0, so that it is tried last. */
static void
call_deprioritize_previous_entry (call_t *call)
{
  const load_entry_t *previous = &call->request.previous_entry;

  for (guint i = 0; i < call->lookup.n_entries; i++)
    {
      load_entry_t *entry = &call->lookup.entries[i];

      if (entry->address == previous->address && entry->port == previous->port)
        entry->weight = 0;
    }
}

static void
call_try_next_entry (call_t *call)
{
  guint index = load_lookup_choose (&call->lookup, call->tried, call->session->rand);

  if (index == LOAD_MAX_ENTRIES)
    {
      if (call->n_repeated_lookups++ < MAX_REPEATED_LOOKUPS)
        call_start_lookup (call);
      else
        call_finish (call, LOAD_NOT_SENT, LOAD_FAULT_NONE);
      return;
    }
  call->tried |= G_GUINT64_CONSTANT (1) << index;
  call->entry = call->lookup.entries[index];
  call_send_to_entry (call);
}

static gboolean
call_parse_lookup (call_t *call, const tool_http_response_t *response)
{
  GError *error = NULL;

  if (response->result != TOOL_HTTP_COMPLETE || response->status != HTTP_OK)
    return FALSE;
  if (!load_lookup_parse (&call->lookup, response->body, call->lookup_requested_at, &error))
    {
      anvil_log (ANVIL_LOG_WARNING, "load", "invalid response to a look-up: %s", error->message);
      g_error_free (error);
      return FALSE;
    }
  return call->lookup.n_entries > 0;
}

static void call_try_next_bootstrap (call_t *call);

static void
on_lookup_response (void *context, const tool_http_response_t *response)
{
  call_t *call = context;

  if (!call_parse_lookup (call, response))
    {
      call_try_next_bootstrap (call);
      return;
    }
  load_cache_put (call->caller->cache, call->request.service, &call->lookup);
  call_deprioritize_previous_entry (call);
  call->tried = 0;
  call_try_next_entry (call);
}

/* Sends the look-up to the next bootstrap entry. */
static void
call_try_next_bootstrap (call_t *call)
{
  load_session_t *session = call->session;
  const anvil_service_t *service = &session->config->services[call->request.service];
  tool_http_request_t request = {
    .method = EVHTTP_REQ_GET,
    .source_address = call->caller->address,
    .timeout = LOOKUP_TIMEOUT,
  };
  const load_entry_t *entry;
  char *client_address;
  char *path;

  if (call->n_lookup_tries == session->n_bootstrap)
    {
      session->failed_lookups++;
      call_finish (call, LOAD_NOT_SENT, LOAD_FAULT_NONE);
      return;
    }
  entry = &session->bootstrap[(call->lookup_first_index + call->n_lookup_tries++)
                              % session->n_bootstrap];
  client_address = tool_http_format_address (call->caller->address);
  path = g_strdup_printf ("/v1/entries?service=%s&client=%s", service->name.data, client_address);
  request.path = path;
  request.address = entry->address;
  request.port = entry->port;
  call->lookup_requested_at = anvil_clock_now ();
  tool_http_send (session->base, &request, on_lookup_response, call);
  g_free (path);
  g_free (client_address);
}

static void
call_start_lookup (call_t *call)
{
  load_session_t *session = call->session;

  session->lookups++;
  call->n_lookup_tries = 0;
  call->lookup_first_index
      = (guint) g_rand_int_range (session->rand, 0, (gint) session->n_bootstrap);
  call_try_next_bootstrap (call);
}

void
load_call_start (load_session_t *session,
                 load_caller_t *caller,
                 load_request_t request,
                 load_call_cb_t callback,
                 void *context)
{
  const load_lookup_t *cached = load_cache_get (caller->cache, request.service, anvil_clock_now ());
  call_t *call = g_new0 (call_t, 1);

  call->session = session;
  call->caller = caller;
  call->request = request;
  call->callback = callback;
  call->context = context;
  if (cached == NULL)
    {
      call_start_lookup (call);
      return;
    }
  call->lookup = *cached;
  call_deprioritize_previous_entry (call);
  call_try_next_entry (call);
}
