#include "relay/relay-job.h"

#include <string.h>

#include "anvil/log.h"
#include "relay/route-split.h"

/* An ask without an answer is repeated after this long: a link that was reset has lost it. Longer
 * than a round trip between far regions. */
#define ASK_AGAIN (300 * ANVIL_MS)
/* What is known of upstreams must not be older than this when a request is sent, while the store
 * answers: it is read once a second, and a process may have been suspended since. */
#define MAX_KNOWLEDGE_AGE (2500 * ANVIL_MS)
/* Turns to other upstreams that cost nothing, since nothing was sent. */
#define MAX_UNSENT_TURNS 6
/* A caller without a deadline on a route without a time-out waits this long at most. */
#define DEFAULT_PATIENCE (30 * ANVIL_SECOND)
/* Time that the answer needs back to the caller. */
#define ANSWER_MARGIN (15 * ANVIL_MS)
/* A run's answer may have arrived and not been read yet when its time is up, above all in a process
 * that stood still: the event loop gets one more turn. */
#define LAST_TURN (1 * ANVIL_MS)
#define NOT_READY_COME_BACK (500 * ANVIL_MS)
/* A caller that this entry turns away while it shuts down is served by another at once. */
#define LEAVING_COME_BACK (20 * ANVIL_MS)

#define STATUS_NOT_FOUND 404
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define STATUS_GATEWAY_TIMEOUT 504

/**
 * job_state_t - where a job stands
 * @JOB_ASKING: asked for a slot
 * @JOB_RUNNING: sent to an upstream
 */
typedef enum
{
  JOB_ASKING,
  JOB_RUNNING,
} job_state_t;

/**
 * job_t - one request under way
 * @task: what is asked for; its texts are owned here or by the settings
 * @holder: who was asked, and who granted
 * @asked_at: when it was asked last
 * @upstream_id: where it runs
 * @run: its exchange, while it runs
 * @timer: ends it at its deadline
 * @last_turn: its time is up, and the event loop gets one more turn
 * @unsent_turns: upstreams that it turned to without sending anything
 * @may_have_run: an upstream may have run it
 * @saved_status: a whole answer of an upstream that a repeat should better, or 0
 */
typedef struct
{
  anvil_relay_jobs_t *jobs;
  anvil_relay_request_t *request;
  job_state_t state;
  anvil_task_t task;
  char *service;
  char *route;
  guint max_attempts;
  anvil_node_t holder;
  anvil_time_t asked_at;
  guint64 upstream;
  char *upstream_id;
  anvil_relay_run_t *run;
  struct event *timer;
  gboolean last_turn;
  guint unsent_turns;
  gboolean may_have_run;
  guint saved_status;
  GString *saved_headers;
  struct evbuffer *saved_body;
} job_t;

struct anvil_relay_jobs
{
  anvil_relay_job_parts_t parts;
  const char *region;
  anvil_routes_t *routes;
  anvil_route_split_t *split;
  guint64 last_number;
  gboolean closed;
  anvil_recent_places_t *places;
  /* job_t by number. */
  GHashTable *jobs;
};

static void on_run_done (void *context, const anvil_relay_outcome_t *outcome);

anvil_relay_jobs_t *
anvil_relay_jobs_new (const anvil_relay_job_parts_t *parts)
{
  anvil_relay_jobs_t *jobs = g_new0 (anvil_relay_jobs_t, 1);

  jobs->parts = *parts;
  jobs->region = anvil_relay_settings_region (parts->settings, parts->settings->zone);
  jobs->split = anvil_route_split_new ();
  jobs->places = anvil_recent_places_new ();
  /* Numbers differ from those before a restart, which holders may still know. */
  jobs->last_number = ((guint64) g_random_int () << 32) | g_random_int ();
  jobs->jobs = g_hash_table_new (g_int64_hash, g_int64_equal);
  return jobs;
}

static void
job_free (job_t *job)
{
  event_free (job->timer);
  for (guint i = 0; i < job->task.n_regions; i++)
    g_free ((char *) job->task.regions[i].data);
  g_free (job->service);
  g_free (job->route);
  g_free (job->upstream_id);
  if (job->saved_headers != NULL)
    g_string_free (job->saved_headers, TRUE);
  if (job->saved_body != NULL)
    evbuffer_free (job->saved_body);
  g_free (job);
}

static void
forget (job_t *job)
{
  g_hash_table_remove (job->jobs->jobs, &job->task.id.number);
  job_free (job);
}

void
anvil_relay_jobs_drop (anvil_relay_jobs_t *jobs)
{
  GHashTableIter iter;
  gpointer value;

  if (jobs == NULL)
    return;
  g_hash_table_iter_init (&iter, jobs->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      job_t *job = value;

      if (job->run != NULL)
        anvil_relay_run_cancel (job->run);
      job->request->owner = NULL;
      job_free (job);
    }
  g_hash_table_unref (jobs->jobs);
  anvil_route_split_drop (jobs->split);
  anvil_recent_places_drop (jobs->places);
  anvil_routes_drop (jobs->routes);
  g_free (jobs);
}

void
anvil_relay_jobs_set_routes (anvil_relay_jobs_t *jobs, anvil_routes_t *routes)
{
  anvil_routes_drop (jobs->routes);
  jobs->routes = anvil_routes_keep (routes);
  anvil_route_split_forget (jobs->split);
}

const anvil_routes_t *
anvil_relay_jobs_routes (const anvil_relay_jobs_t *jobs)
{
  return jobs->routes;
}

void
anvil_relay_jobs_close (anvil_relay_jobs_t *jobs)
{
  jobs->closed = TRUE;
}

guint
anvil_relay_jobs_count (const anvil_relay_jobs_t *jobs)
{
  return g_hash_table_size (jobs->jobs);
}

static const char *
text_or_dash (const char *text)
{
  return text != NULL ? text : "-";
}

/* Counts an answer and logs what decided it. */
static void
note_answer (anvil_relay_jobs_t *jobs,
             const anvil_relay_request_t *request,
             const char *route,
             const char *outcome,
             guint status,
             const char *reason)
{
  anvil_time_t took = anvil_clock_now () - request->arrived_at;
  char *labels = g_strdup_printf ("outcome=\"%s\",reason=\"%s\"", outcome, reason);

  anvil_counters_add (jobs->parts.counters, "anvil_requests_total", labels, 1);
  anvil_counters_observe (jobs->parts.counters, "anvil_request_seconds", "",
                          (gdouble) took / (gdouble) ANVIL_SECOND);
  g_free (labels);
  anvil_log (ANVIL_LOG_INFO, "request",
             "%s request=%s route=%s status=%u reason=%s took_ms=%" G_GINT64_FORMAT
             " routes=%" G_GINT64_FORMAT,
             outcome, text_or_dash (request->id), route, status, reason, took / ANVIL_MS,
             jobs->routes != NULL ? anvil_routes_version (jobs->routes) : 0);
}

/* An answer of our own. */
static void
answer_own (anvil_relay_request_t *request,
            const anvil_wire_t *wire,
            guint status,
            anvil_time_t come_back)
{
  GString *headers = g_string_new (NULL);

  if (request->id != NULL)
    g_string_append_printf (headers, "%s: %s\r\n", wire->request_id, request->id);
  if (come_back > 0)
    g_string_append_printf (headers, "Retry-After: %.3f\r\n",
                            (gdouble) come_back / (gdouble) ANVIL_SECOND);
  anvil_relay_answer (request, status,
                      (anvil_str_t){ .data = headers->str, .length = headers->len }, NULL);
  g_string_free (headers, TRUE);
}

/* Ends a job that no upstream has run: the caller may come back. */
static void
refuse (job_t *job, const char *reason, anvil_time_t come_back)
{
  anvil_relay_jobs_t *jobs = job->jobs;

  note_answer (jobs, job->request, job->route, "refused", STATUS_UNAVAILABLE, reason);
  answer_own (job->request, jobs->parts.wire, STATUS_UNAVAILABLE, come_back);
  forget (job);
}

/* Ends a job whose request may have run. */
static void
answer_unknown (job_t *job, guint status, const char *reason)
{
  anvil_relay_jobs_t *jobs = job->jobs;

  note_answer (jobs, job->request, job->route, "unknown", status, reason);
  answer_own (job->request, jobs->parts.wire, status, 0);
  forget (job);
}

static void
deliver (job_t *job, guint status, const GString *headers, struct evbuffer *body)
{
  note_answer (job->jobs, job->request, job->route, "answered", status, "upstream");
  anvil_relay_answer (job->request, status,
                      (anvil_str_t){ .data = headers->str, .length = headers->len }, body);
  forget (job);
}

/* No further try: the best that is known goes to the caller. */
static void
give_up (job_t *job, guint status, const char *reason, anvil_time_t come_back)
{
  if (job->saved_status != 0)
    deliver (job, job->saved_status, job->saved_headers, job->saved_body);
  else if (job->may_have_run)
    answer_unknown (job, status, reason);
  else
    refuse (job, reason, come_back);
}

static void
ask (job_t *job)
{
  anvil_relay_jobs_t *jobs = job->jobs;

  job->state = JOB_ASKING;
  job->holder = anvil_relay_desk_holder (jobs->parts.desk, job->service);
  job->asked_at = anvil_clock_now ();
  anvil_relay_desk_ask (jobs->parts.desk, job->holder, &job->task);
}

static void
avoid (job_t *job, guint64 upstream)
{
  anvil_task_t *task = &job->task;

  if (task->n_avoid == ANVIL_MAX_TASK_AVOIDED)
    memmove (task->avoid, task->avoid + 1, (--task->n_avoid) * sizeof *task->avoid);
  task->avoid[task->n_avoid++] = upstream;
}

/* Tells the holder how its slot was used. */
static void
report (job_t *job, anvil_run_result_t result, anvil_time_t took, gboolean still_running)
{
  const anvil_run_report_t run = { .result = result, .took = took, .still_running = still_running };

  anvil_relay_desk_finished (job->jobs->parts.desk, job->holder, job->task.id.number, &run);
}

static gboolean
is_repeatable (const job_t *job)
{
  return job->task.kind == ANVIL_ROUTE_SAFE;
}

static void
on_deadline (evutil_socket_t unused_fd, short unused_what, void *data)
{
  job_t *job = data;

  if (job->state == JOB_ASKING)
    {
      anvil_relay_desk_withdraw (job->jobs->parts.desk, job->holder, job->task.id.number);
      give_up (job, STATUS_GATEWAY_TIMEOUT, "no-slot-in-time", 0);
      return;
    }
  if (!job->last_turn)
    {
      const struct timeval turn = { .tv_usec = LAST_TURN };

      job->last_turn = TRUE;
      evtimer_add (job->timer, &turn);
      return;
    }
  job->may_have_run |= anvil_relay_run_cancel (g_steal_pointer (&job->run));
  report (job, ANVIL_RUN_BROKEN, 0, FALSE);
  give_up (job, STATUS_GATEWAY_TIMEOUT, "no-answer-in-time", 0);
}

static void
save_answer (job_t *job, const anvil_relay_outcome_t *outcome)
{
  if (job->saved_status == 0)
    {
      job->saved_headers = g_string_new (NULL);
      job->saved_body = evbuffer_new ();
    }
  job->saved_status = outcome->status;
  g_string_assign (job->saved_headers, outcome->headers->str);
  evbuffer_drain (job->saved_body, evbuffer_get_length (job->saved_body));
  evbuffer_add_buffer (job->saved_body, outcome->body);
}

static gboolean
may_try_again (const job_t *job)
{
  return job->request->connection != NULL && job->task.attempt < job->max_attempts
         && anvil_clock_now () < job->task.deadline;
}

/* Nothing was sent, so another upstream costs no attempt. */
static void
turn_elsewhere (job_t *job, const char *reason)
{
  if (job->unsent_turns++ < MAX_UNSENT_TURNS && anvil_clock_now () < job->task.deadline)
    ask (job);
  else
    give_up (job, STATUS_BAD_GATEWAY, reason, NOT_READY_COME_BACK);
}

static void
on_run_done (void *context, const anvil_relay_outcome_t *outcome)
{
  job_t *job = context;

  job->run = NULL;
  report (job, outcome->result, outcome->took, FALSE);
  if (outcome->result != ANVIL_RUN_ANSWERED)
    anvil_log (ANVIL_LOG_INFO, "request",
               "try failed request=%s upstream=%s attempt=%u status=%u reason=\"%s\" "
               "took_ms=%" G_GINT64_FORMAT,
               text_or_dash (job->request->id), job->upstream_id, job->task.attempt,
               outcome->status, text_or_dash (outcome->reason), outcome->took / ANVIL_MS);
  if (outcome->result != ANVIL_RUN_ANSWERED)
    avoid (job, job->upstream);
  switch (outcome->result)
    {
    case ANVIL_RUN_ANSWERED:
      anvil_recent_places_note (job->jobs->places, anvil_clock_now (), job->service,
                                job->task.object, job->upstream);
      deliver (job, outcome->status, outcome->headers, outcome->body);
      return;
    case ANVIL_RUN_FAILED:
      job->may_have_run = TRUE;
      if (!is_repeatable (job) || !may_try_again (job))
        {
          deliver (job, outcome->status, outcome->headers, outcome->body);
          return;
        }
      save_answer (job, outcome);
      break;
    case ANVIL_RUN_UNREACHED:
      turn_elsewhere (job, "no-upstream-reached");
      return;
    case ANVIL_RUN_SHED:
      if (!may_try_again (job))
        {
          give_up (job, STATUS_BAD_GATEWAY, "upstream-full", NOT_READY_COME_BACK);
          return;
        }
      break;
    case ANVIL_RUN_BROKEN:
    case ANVIL_RUN_UNUSED:
      job->may_have_run = TRUE;
      if (!is_repeatable (job) || !may_try_again (job))
        {
          give_up (job, STATUS_BAD_GATEWAY, "upstream-broke-off", 0);
          return;
        }
      break;
    }
  job->task.attempt++;
  ask (job);
}

/* Whether this entry knows a reason not to send to the upstream that was granted. */
static const char *
objection (const anvil_relay_jobs_t *jobs, const anvil_grant_t *grant)
{
  const anvil_registered_t *known = anvil_registry_lookup (jobs->parts.registry, grant->upstream);

  if (known == NULL)
    return anvil_registry_left_lately (jobs->parts.registry, grant->upstream) ? "left" : NULL;
  if (known->draining)
    return "draining";
  if (known->evacuated)
    return "evacuated";
  return NULL;
}

static gboolean
knowledge_is_fresh (const anvil_relay_jobs_t *jobs)
{
  anvil_time_t known_at = jobs->parts.known_at (jobs->parts.context);

  return known_at == G_MAXINT64 || anvil_clock_now () - known_at <= MAX_KNOWLEDGE_AGE;
}

/* Age of what is known of upstreams, -1 while the store is away. */
static gint64
knowledge_age_ms (const anvil_relay_jobs_t *jobs, anvil_time_t now)
{
  anvil_time_t known_at = jobs->parts.known_at (jobs->parts.context);

  return known_at == G_MAXINT64 ? -1 : (now - known_at) / ANVIL_MS;
}

static void
start_run (job_t *job, const anvil_grant_t *grant)
{
  anvil_relay_jobs_t *jobs = job->jobs;
  const anvil_relay_request_t *request = job->request;
  anvil_time_t now = anvil_clock_now ();

  g_free (job->upstream_id);
  job->upstream_id = anvil_str_dup (grant->upstream_id);
  job->upstream = grant->upstream;
  job->state = JOB_RUNNING;
  job->run = anvil_relay_run_start (jobs->parts.pool,
                                    &(anvil_relay_send_t){
                                        .upstream = grant->upstream,
                                        .upstream_id = job->upstream_id,
                                        .address = grant->address,
                                        .port = grant->port,
                                        .method = request->method,
                                        .target = request->target,
                                        .headers = request->headers,
                                        .body = request->body,
                                        .id = request->id,
                                        .repeatable = is_repeatable (job),
                                        .time_left = job->task.deadline - now,
                                    },
                                    on_run_done, job);
  anvil_log (ANVIL_LOG_INFO, "request",
             "sent request=%s route=%s service=%s object=%" G_GINT64_MODIFIER
             "x holder=%s upstream=%s zone=%.*s warm=%d attempt=%u "
             "waited_ms=%" G_GINT64_FORMAT " left_ms=%" G_GINT64_FORMAT
             " registry_age_ms=%" G_GINT64_FORMAT,
             text_or_dash (request->id), job->route, job->service, job->task.object,
             anvil_relay_desk_name (jobs->parts.desk, job->holder), job->upstream_id,
             ANVIL_STR_ARGS (grant->zone), grant->warm, job->task.attempt,
             (now - request->arrived_at) / ANVIL_MS, (job->task.deadline - now) / ANVIL_MS,
             knowledge_age_ms (jobs, now));
}

static job_t *
lookup (const anvil_relay_jobs_t *jobs, guint64 number)
{
  return g_hash_table_lookup (jobs->jobs, &number);
}

static void
return_slot (anvil_relay_jobs_t *jobs, anvil_node_t holder, guint64 number)
{
  const anvil_run_report_t unused = { .result = ANVIL_RUN_UNUSED };

  anvil_relay_desk_finished (jobs->parts.desk, holder, number, &unused);
}

void
anvil_relay_jobs_granted (anvil_relay_jobs_t *jobs,
                          guint64 number,
                          anvil_node_t from,
                          const anvil_grant_t *grant)
{
  job_t *job = lookup (jobs, number);
  const char *reason;

  if (job == NULL)
    {
      return_slot (jobs, from, number);
      return;
    }
  if (job->state != JOB_ASKING)
    {
      /* The same grant comes twice if it was asked for twice. */
      if (from != job->holder)
        return_slot (jobs, from, number);
      return;
    }
  job->holder = from;
  if (!knowledge_is_fresh (jobs))
    {
      /* Asked again by the tick, when the registry may have been read. */
      return_slot (jobs, from, number);
      return;
    }
  reason = objection (jobs, grant);
  if (reason == NULL)
    {
      start_run (job, grant);
      return;
    }
  anvil_log (ANVIL_LOG_INFO, "request", "slot not used request=%s upstream=%.*s reason=%s",
             text_or_dash (job->request->id), ANVIL_STR_ARGS (grant->upstream_id), reason);
  return_slot (jobs, from, number);
  avoid (job, grant->upstream);
  turn_elsewhere (job, "no-upstream");
}

void
anvil_relay_jobs_refused (anvil_relay_jobs_t *jobs,
                          guint64 number,
                          anvil_node_t from,
                          const anvil_refused_task_t *refused)
{
  job_t *job = lookup (jobs, number);

  /* A refusal of a former holder says nothing of the room that the present one has. */
  if (job == NULL || job->state != JOB_ASKING || from != job->holder)
    return;
  anvil_log (ANVIL_LOG_INFO, "request",
             "no slot request=%s service=%s holder=%s reason=%s attempt=%u waiting=%u running=%u "
             "slots=%u left_ms=%" G_GINT64_FORMAT " come_back_ms=%" G_GINT64_FORMAT,
             text_or_dash (job->request->id), job->service,
             anvil_relay_desk_name (jobs->parts.desk, from), anvil_task_refusal_name (refused->why),
             job->task.attempt, refused->waiting, refused->running, refused->slots,
             (job->task.deadline - anvil_clock_now ()) / ANVIL_MS, refused->come_back / ANVIL_MS);
  give_up (job, STATUS_BAD_GATEWAY, anvil_task_refusal_name (refused->why), refused->come_back);
}

typedef void (*visit_t) (job_t *job, gconstpointer data);

/* Visits jobs that may end while they are visited. */
static void
each_job (anvil_relay_jobs_t *jobs, visit_t visit, gconstpointer data)
{
  GList *all = g_hash_table_get_values (jobs->jobs);

  for (GList *link = all; link != NULL; link = link->next)
    visit (link->data, data);
  g_list_free (all);
}

typedef struct
{
  const char *service;
  anvil_node_t holder;
} change_t;

static void
move_to_holder (job_t *job, gconstpointer data)
{
  const change_t *change = data;
  anvil_relay_desk_t *desk = job->jobs->parts.desk;

  if (strcmp (job->service, change->service) != 0 || job->holder == change->holder)
    return;
  if (job->state == JOB_ASKING)
    {
      anvil_relay_desk_withdraw (desk, job->holder, job->task.id.number);
      ask (job);
      return;
    }
  job->holder = change->holder;
  anvil_relay_desk_adopt (desk, job->holder, &job->task, job->upstream);
}

/* A new holder knows nothing of what upstreams remember. */
static void
tell_places (anvil_relay_jobs_t *jobs, const char *service, anvil_node_t holder)
{
  anvil_place_t *places = g_new (anvil_place_t, ANVIL_MAX_RECENT_PLACES);
  guint n = anvil_recent_places_list (jobs->places, anvil_clock_now (), service, places,
                                      ANVIL_MAX_RECENT_PLACES);

  anvil_relay_desk_tell_places (jobs->parts.desk, holder, service, places, n);
  g_free (places);
}

void
anvil_relay_jobs_holder_changed (anvil_relay_jobs_t *jobs, const char *service, anvil_node_t holder)
{
  const change_t change = { .service = service, .holder = holder };

  tell_places (jobs, service, holder);
  each_job (jobs, move_to_holder, &change);
}

static void
tell_restarted (job_t *job, gconstpointer data)
{
  const anvil_node_t *peer = data;

  if (job->holder != *peer)
    return;
  if (job->state == JOB_ASKING)
    ask (job);
  else
    anvil_relay_desk_adopt (job->jobs->parts.desk, job->holder, &job->task, job->upstream);
}

void
anvil_relay_jobs_peer_restarted (anvil_relay_jobs_t *jobs, anvil_node_t peer)
{
  for (guint i = 0; jobs->routes != NULL && i < anvil_routes_count_services (jobs->routes); i++)
    {
      const char *service = anvil_routes_service_at (jobs->routes, i)->name;

      if (anvil_relay_desk_holder (jobs->parts.desk, service) == peer)
        tell_places (jobs, service, peer);
    }
  each_job (jobs, tell_restarted, &peer);
}

static void
ask_again_if_overdue (job_t *job, gconstpointer data)
{
  const anvil_time_t *now = data;

  if (job->state == JOB_ASKING && *now - job->asked_at >= ASK_AGAIN)
    ask (job);
}

void
anvil_relay_jobs_tick (anvil_relay_jobs_t *jobs, anvil_time_t now)
{
  each_job (jobs, ask_again_if_overdue, &now);
}

void
anvil_relay_jobs_gone (anvil_relay_jobs_t *jobs, anvil_relay_request_t *request)
{
  job_t *job = request->owner;

  if (job == NULL)
    {
      anvil_relay_answer (request, STATUS_UNAVAILABLE, (anvil_str_t){ 0 }, NULL);
      return;
    }
  /* What must not run twice goes on, so that its slot is counted to its end. */
  if (job->state == JOB_RUNNING && !is_repeatable (job))
    return;
  if (job->state == JOB_RUNNING)
    {
      anvil_relay_run_cancel (g_steal_pointer (&job->run));
      report (job, ANVIL_RUN_UNUSED, 0, FALSE);
    }
  else
    anvil_relay_desk_withdraw (jobs->parts.desk, job->holder, job->task.id.number);
  note_answer (jobs, request, job->route, "left", 0, "caller-left");
  anvil_relay_answer (request, STATUS_UNAVAILABLE, (anvil_str_t){ 0 }, NULL);
  forget (job);
}

/* The same object on the same kind of route, whichever entry asks. */
static guint64
object_hash (const anvil_route_t *route, const anvil_relay_request_t *request)
{
  guint64 hash;

  if (!route->sticky || request->object == NULL)
    return 0;
  hash = anvil_str_hash (anvil_str (request->object)) ^ ((guint64) route->kind << 8);
  return hash != 0 ? hash : 1;
}

static void
fill_task (anvil_relay_jobs_t *jobs, job_t *job, const anvil_route_t *route)
{
  const anvil_relay_request_t *request = job->request;
  anvil_time_t patience = request->time_allowed > 0 ? request->time_allowed : DEFAULT_PATIENCE;

  if (route->timeout > 0)
    patience = MIN (patience, route->timeout);
  job->task = (anvil_task_t){
    .id = { .asker = anvil_relay_desk_self (jobs->parts.desk), .number = ++jobs->last_number },
    .service = anvil_str (job->service),
    .region = anvil_str (jobs->region),
    .zone = anvil_str (jobs->parts.settings->zone),
    .object = object_hash (route, request),
    .kind = route->kind,
    .priority = route->priority,
    .attempt = 1,
    .body_bytes = evbuffer_get_length (request->body),
    .target = request->arrived_at + (route->target_latency > 0 ? route->target_latency : patience),
    .deadline = request->arrived_at + MAX (patience - ANSWER_MARGIN, ANVIL_MS),
    .n_regions = route->n_regions,
  };
  for (guint i = 0; i < route->n_regions; i++)
    job->task.regions[i] = anvil_str (g_strdup (route->regions[i]));
}

static job_t *
job_new (anvil_relay_jobs_t *jobs, anvil_relay_request_t *request, const anvil_route_t *route)
{
  guint part = anvil_route_split_next (jobs->split, route);
  job_t *job = g_new0 (job_t, 1);
  anvil_time_t left;
  struct timeval time;

  job->jobs = jobs;
  job->request = request;
  job->service = g_strdup (route->parts[part].service);
  job->route = g_strdup (route->name);
  job->max_attempts = route->max_attempts;
  fill_task (jobs, job, route);
  left = MAX (job->task.deadline - anvil_clock_now (), 0);
  time = (struct timeval){ .tv_sec = left / ANVIL_SECOND, .tv_usec = left % ANVIL_SECOND };
  job->timer = evtimer_new (jobs->parts.base, on_deadline, job);
  evtimer_add (job->timer, &time);
  request->owner = job;
  g_hash_table_insert (jobs->jobs, &job->task.id.number, job);
  return job;
}

static void
answer_without_job (anvil_relay_jobs_t *jobs,
                    anvil_relay_request_t *request,
                    guint status,
                    const char *reason,
                    anvil_time_t come_back)
{
  note_answer (jobs, request, "-", "refused", status, reason);
  answer_own (request, jobs->parts.wire, status, come_back);
}

void
anvil_relay_jobs_accept (anvil_relay_jobs_t *jobs, anvil_relay_request_t *request)
{
  const char *query = strchr (request->target, '?');
  anvil_str_t path = anvil_str (request->target);
  const anvil_route_t *route;

  if (jobs->closed)
    {
      answer_without_job (jobs, request, STATUS_UNAVAILABLE, "leaving", LEAVING_COME_BACK);
      return;
    }
  if (jobs->routes == NULL)
    {
      answer_without_job (jobs, request, STATUS_UNAVAILABLE, "no-configuration",
                          NOT_READY_COME_BACK);
      return;
    }
  if (query != NULL)
    path.length = (gsize) (query - request->target);
  route = anvil_routes_match (jobs->routes, anvil_str (request->host), path);
  if (route == NULL)
    answer_without_job (jobs, request, STATUS_NOT_FOUND, "no-route", 0);
  else
    ask (job_new (jobs, request, route));
}
