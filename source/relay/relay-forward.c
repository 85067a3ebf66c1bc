#include "relay/relay-forward.h"

#include <string.h>

#include "anvil/log.h"
#include "relay/forward-codec.h"

/* The requester cancels the run at its own deadline; this is for one that no longer exists. */
#define CANCEL_MARGIN (100 * ANVIL_MS)
/* A longer response would delay the slot requests on the same link. The requester sends the request
 * itself instead. */
#define MAX_RESPONSE_BYTES (64u << 10)

struct anvil_relay_forwards
{
  struct event_base *base;
  anvil_slot_broker_t *broker;
  anvil_relay_upstream_pool_t *pool;
  anvil_relay_jobs_t *jobs;
  const anvil_registry_t *registry;
  anvil_metrics_t *metrics;
  /* run_t by id of its task. */
  GHashTable *runs;
  gboolean shutting_down;
  /* Set of the entries that were sent responses during shutdown. */
  GHashTable *responded;
};

/**
 * run_t - a request of another entry that runs on an upstream
 * @announcement: what the upstream has said of itself in its response
 * @adopted_by: holder that was told of the run, as it holds the slot now, or ANVIL_NO_NODE
 * @adopted_number: number of the run's task there
 */
typedef struct
{
  anvil_relay_forwards_t *forwards;
  anvil_task_id_t id;
  char *method;
  char *target;
  char *request_id;
  GString *headers;
  struct evbuffer *body;
  guint64 upstream;
  char *upstream_id;
  gint64 started_at;
  anvil_announcement_t announcement;
  anvil_time_t deadline;
  anvil_node_t adopted_by;
  guint64 adopted_number;
  anvil_relay_attempt_t *attempt;
  struct event *timer;
} run_t;

anvil_relay_forwards_t *
anvil_relay_forwards_new (struct event_base *base,
                          anvil_slot_broker_t *broker,
                          anvil_relay_upstream_pool_t *pool,
                          anvil_relay_jobs_t *jobs,
                          const anvil_registry_t *registry,
                          anvil_metrics_t *metrics)
{
  anvil_relay_forwards_t *forwards = g_new0 (anvil_relay_forwards_t, 1);

  forwards->base = base;
  forwards->broker = broker;
  forwards->pool = pool;
  forwards->jobs = jobs;
  forwards->registry = registry;
  forwards->metrics = metrics;
  forwards->runs = g_hash_table_new (anvil_task_id_hash, anvil_task_id_equal);
  forwards->responded = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  return forwards;
}

static void
run_drop (run_t *run)
{
  g_hash_table_remove (run->forwards->runs, &run->id);
  event_free (run->timer);
  g_free (run->method);
  g_free (run->target);
  g_free (run->request_id);
  g_string_free (run->headers, TRUE);
  evbuffer_free (run->body);
  g_free (run->upstream_id);
  g_free (run);
}

void
anvil_relay_forwards_drop (anvil_relay_forwards_t *forwards)
{
  GList *runs;

  if (forwards == NULL)
    return;
  runs = g_hash_table_get_values (forwards->runs);
  for (GList *link = runs; link != NULL; link = link->next)
    {
      run_t *run = link->data;

      anvil_relay_attempt_cancel (run->attempt);
      run_drop (run);
    }
  g_list_free (runs);
  g_hash_table_unref (forwards->runs);
  g_hash_table_unref (forwards->responded);
  g_free (forwards);
}

void
anvil_relay_forwards_begin_shutdown (anvil_relay_forwards_t *forwards)
{
  forwards->shutting_down = TRUE;
}

guint
anvil_relay_forwards_count_unfinished (anvil_relay_forwards_t *forwards)
{
  guint n = g_hash_table_size (forwards->runs);
  GHashTableIter iter;
  gpointer node;

  g_hash_table_iter_init (&iter, forwards->responded);
  while (g_hash_table_iter_next (&iter, &node, NULL))
    n += anvil_slot_broker_queued_bytes (forwards->broker, *(const anvil_node_t *) node) > 0;
  return n;
}

static void
adopt (run_t *run, const char *service, anvil_node_t holder)
{
  anvil_relay_forwards_t *forwards = run->forwards;
  const anvil_task_t task = { .id = { .requester = anvil_slot_broker_self (forwards->broker),
                                      .number = anvil_relay_jobs_new_number (forwards->jobs) },
                              .service = anvil_str (service),
                              .region = anvil_str (anvil_slot_broker_region (forwards->broker)),
                              .kind = ANVIL_ROUTE_SAFE,
                              .attempt = 1,
                              .target = run->deadline,
                              .deadline = run->deadline };

  run->adopted_by = holder;
  run->adopted_number = task.id.number;
  anvil_slot_broker_adopt (forwards->broker, holder, &task, run->upstream);
}

void
anvil_relay_forwards_holder_changed (anvil_relay_forwards_t *forwards,
                                     const char *service,
                                     anvil_node_t holder)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, forwards->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      run_t *run = value;
      const anvil_registered_upstream_t *registered
          = anvil_registry_lookup (forwards->registry, run->upstream);

      if (registered == NULL || strcmp (registered->service, service) != 0)
        continue;
      /* This entry's own dispatcher has the task from before. */
      if (holder == anvil_slot_broker_self (forwards->broker))
        run->adopted_by = ANVIL_NO_NODE;
      else
        adopt (run, service, holder);
    }
}

static void
report_to_present_holder (const run_t *run, const anvil_run_report_t *report)
{
  if (run->adopted_by != ANVIL_NO_NODE)
    anvil_slot_broker_run_finished (run->forwards->broker, run->adopted_by, run->adopted_number,
                                    report);
}

guint
anvil_relay_forwards_count (const anvil_relay_forwards_t *forwards)
{
  return g_hash_table_size (forwards->runs);
}

/* Releases the slot, sends the response to the requester, and frees the run. */
static void
finish (run_t *run, const anvil_run_report_t *report, const anvil_forwarded_response_t *response)
{
  anvil_relay_forwards_t *forwards = run->forwards;
  GByteArray *payload = g_byte_array_new ();

  if (forwards->shutting_down)
    g_hash_table_add (forwards->responded,
                      g_memdup2 (&run->id.requester, sizeof run->id.requester));
  report_to_present_holder (run, report);
  anvil_forwarded_response_pack (response, payload);
  anvil_slot_broker_forwarded_finished (
      forwards->broker, run->id, report,
      (anvil_str_t){ .data = (const char *) payload->data, .length = payload->len });
  g_byte_array_unref (payload);
  run_drop (run);
}

static void
finish_without_response (run_t *run, const char *reason, anvil_time_t duration)
{
  const anvil_run_report_t report
      = { .result = ANVIL_RUN_INTERRUPTED, .duration = duration, .still_running = FALSE };
  const anvil_forwarded_response_t response = { .result = ANVIL_RUN_INTERRUPTED,
                                                .upstream = run->upstream,
                                                .upstream_id = anvil_str (run->upstream_id),
                                                .started_at = run->started_at,
                                                .duration = duration,
                                                .announcement = run->announcement,
                                                .reason = anvil_str (reason) };

  finish (run, &report, &response);
}

static void
on_attempt_done (void *context, const anvil_relay_attempt_outcome_t *outcome)
{
  run_t *run = context;
  const anvil_run_report_t report = { .result = anvil_relay_outcome_result (outcome),
                                      .duration = outcome->duration,
                                      .request_limit = outcome->request_limit,
                                      .speed = outcome->speed };
  anvil_forwarded_response_t response = { .result = outcome->result,
                                          .status = outcome->status,
                                          .upstream = run->upstream,
                                          .upstream_id = anvil_str (run->upstream_id),
                                          .started_at = run->started_at,
                                          .duration = outcome->duration,
                                          .announcement = run->announcement,
                                          .reason = anvil_str (outcome->reason) };

  anvil_relay_jobs_record_limit (run->forwards->jobs, run->upstream, run->upstream_id,
                                 &outcome->request_limit);
  if (outcome->headers != NULL)
    response.headers
        = (anvil_str_t){ .data = outcome->headers->str, .length = outcome->headers->len };
  if (outcome->body != NULL && evbuffer_get_length (outcome->body) <= MAX_RESPONSE_BYTES)
    response.body = (anvil_str_t){ .data = (const char *) evbuffer_pullup (outcome->body, -1),
                                   .length = evbuffer_get_length (outcome->body) };
  else if (outcome->body != NULL)
    response = (anvil_forwarded_response_t){ .result = ANVIL_RUN_INTERRUPTED,
                                             .upstream = run->upstream,
                                             .upstream_id = anvil_str (run->upstream_id),
                                             .started_at = run->started_at,
                                             .announcement = run->announcement,
                                             .reason = anvil_str ("too long to be passed on") };
  finish (run, &report, &response);
}

static void
on_announced (void *context, const anvil_announcement_t *announcement)
{
  run_t *run = context;
  const anvil_registered_upstream_t *registered
      = anvil_registry_lookup (run->forwards->registry, run->upstream);

  run->announcement.leaving |= announcement->leaving;
  run->announcement.pause = MAX (run->announcement.pause, announcement->pause);
  if (registered != NULL)
    anvil_relay_jobs_announced (run->forwards->jobs, registered->service, run->upstream,
                                run->started_at, announcement);
}

static void
on_deadline (evutil_socket_t unused_fd, short unused_what, void *data)
{
  run_t *run = data;

  anvil_relay_attempt_cancel (run->attempt);
  finish_without_response (run, "deadline passed", 0);
}

static run_t *
run_new (anvil_relay_forwards_t *forwards,
         anvil_task_id_t id,
         const anvil_slot_grant_t *grant,
         const anvil_forwarded_request_t *request)
{
  run_t *run = g_new0 (run_t, 1);

  run->forwards = forwards;
  run->id = id;
  run->method = anvil_str_dup (request->method);
  run->target = anvil_str_dup (request->target);
  run->request_id = request->id.length > 0 ? anvil_str_dup (request->id) : NULL;
  run->headers = g_string_new_len (request->headers.data, (gssize) request->headers.length);
  run->body = evbuffer_new ();
  evbuffer_add (run->body, request->body.data, request->body.length);
  run->upstream = grant->upstream;
  run->upstream_id = anvil_str_dup (grant->upstream_id);
  run->started_at = grant->started_at;
  run->timer = evtimer_new (forwards->base, on_deadline, run);
  g_hash_table_insert (forwards->runs, &run->id, run);
  return run;
}

static void
start (run_t *run, const anvil_slot_grant_t *grant, anvil_time_t deadline)
{
  anvil_relay_forwards_t *forwards = run->forwards;
  const anvil_time_t left = deadline - anvil_clock_now ();
  const struct timeval time = anvil_time_to_timeval (MAX (left, 0) + CANCEL_MARGIN);

  run->deadline = deadline;
  evtimer_add (run->timer, &time);
  run->attempt = anvil_relay_attempt_start (
      forwards->pool,
      &(anvil_relay_upstream_request_t){ .upstream_key = run->upstream,
                                         .upstream_id = run->upstream_id,
                                         .address = grant->address,
                                         .port = grant->port,
                                         .started_at = run->started_at,
                                         .method = run->method,
                                         .target = run->target,
                                         .headers = run->headers,
                                         .body = run->body,
                                         .id = run->request_id,
                                         .idempotent = TRUE,
                                         .timeout = left,
                                         .announced = on_announced },
      on_attempt_done, run);
  anvil_metrics_add_counter (forwards->metrics, "anvil_forwarded_runs_total", "", 1);
  anvil_log (
      ANVIL_LOG_INFO, "forward",
      "sent a request of another entry request=%s requester=%s upstream=%s zone=%.*s warm=%d "
      "left_ms=%" G_GINT64_FORMAT,
      run->request_id != NULL ? run->request_id : "-",
      anvil_slot_broker_vm_name (forwards->broker, run->id.requester), run->upstream_id,
      ANVIL_STR_ARGS (grant->zone), grant->warm, left / ANVIL_MS);
}

void
anvil_relay_forwards_granted (anvil_relay_forwards_t *forwards,
                              anvil_task_id_t id,
                              const anvil_slot_grant_t *grant,
                              anvil_time_t deadline,
                              anvil_str_t payload)
{
  anvil_forwarded_request_t request;

  /* What this entry may not send, its requester may: pauses are asked of one entry. */
  if (forwards->shutting_down || !anvil_forwarded_request_unpack (payload, &request)
      || anvil_relay_jobs_reason_not_to_use (forwards->jobs, grant) != NULL)
    {
      anvil_slot_broker_decline_forwarded (forwards->broker, id, grant);
      return;
    }
  start (run_new (forwards, id, grant, &request), grant, deadline);
}

void
anvil_relay_forwards_cancelled (anvil_relay_forwards_t *forwards, anvil_task_id_t id)
{
  const anvil_run_report_t unused = { .result = ANVIL_RUN_UNUSED };
  run_t *run = g_hash_table_lookup (forwards->runs, &id);

  if (run == NULL)
    return;
  report_to_present_holder (run, &unused);
  anvil_relay_attempt_cancel (run->attempt);
  run_drop (run);
}
