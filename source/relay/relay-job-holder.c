#include "relay/relay-job-internal.h"

#include <string.h>

/* An ask without an answer is repeated after this long: a link that was reset has lost it. Longer
 * than a round trip between far regions. */
#define ASK_AGAIN (300 * ANVIL_MS)

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
  anvil_slot_broker_t *desk = job->jobs->parts.desk;

  if (strcmp (job->service, change->service) != 0 || job->holder == change->holder)
    return;
  if (job->state == JOB_ASKING)
    {
      anvil_relay_desk_withdraw (desk, job->holder, job->task.id.number);
      job_ask (job);
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
    job_ask (job);
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
    job_ask (job);
}

void
anvil_relay_jobs_tick (anvil_relay_jobs_t *jobs, anvil_time_t now)
{
  each_job (jobs, ask_again_if_overdue, &now);
}
