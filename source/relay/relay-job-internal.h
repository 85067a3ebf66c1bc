#pragma once

#include "relay/recent-places.h"
#include "relay/relay-job.h"
#include "relay/route-split.h"

/* Parts of jobs: relay-job-new.c makes them, relay-job.c asks, sends and decides,
 * relay-job-answer.c answers callers, relay-job-holder.c turns to other holders. */

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
  anvil_relay_attempt_t *run;
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

/* A job for a request that @route allows, with its deadline's timer; not asked for yet. */
job_t *
job_new (anvil_relay_jobs_t *jobs, anvil_relay_request_t *request, const anvil_route_t *route);
void job_free (job_t *job);

/* When the answer has to be here so that the caller gets it within the route's target latency, and
 * within its own time or the route's time-out. @time_allowed is 0 if the caller named none. */
void job_set_times (anvil_task_t *task,
                    const anvil_route_t *route,
                    anvil_time_t arrived_at,
                    anvil_time_t time_allowed);

/* A job's time is up. */
void job_on_deadline (evutil_socket_t unused_fd, short unused_what, void *data);

/* Asks the service's holder for a slot. */
void job_ask (job_t *job);

/* Removes a job whose request was answered. */
void job_forget (job_t *job);

/* A text for a log line. */
const char *job_text (const char *text);

/* Counts an answer and logs what decided it. */
void job_note_answer (anvil_relay_jobs_t *jobs,
                      const anvil_relay_request_t *request,
                      const char *route,
                      const char *outcome,
                      guint status,
                      const char *reason);

/* Passes an upstream's answer on; the job is gone afterwards. */
void job_deliver (job_t *job, guint status, const GString *headers, struct evbuffer *body);

/* No further try: the best that is known goes to the caller; the job is gone afterwards. */
void job_give_up (job_t *job, guint status, const char *reason, anvil_time_t come_back);

/* Keeps an upstream's failure, to be passed on if a repeat doesn't better it. */
void job_save_answer (job_t *job, const anvil_relay_attempt_outcome_t *outcome);

/* Answers a request that became no job. */
void job_answer_without (anvil_relay_jobs_t *jobs,
                         anvil_relay_request_t *request,
                         guint status,
                         const char *reason,
                         anvil_time_t come_back);
