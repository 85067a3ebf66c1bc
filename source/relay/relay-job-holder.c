#include "relay/relay-job-internal.h"

#include <string.h>

#include "steer/holder-pressure.h"

/* A former holder that runs a request is given up after it has been unreachable for this time: one
 * that has just started, or is busy, may answer pings late. */
#define HOLDER_SILENCE_TIME (1 * ANVIL_SECOND)

void
jobs_foreach (anvil_relay_jobs_t *jobs, job_visit_t visit, gconstpointer data)
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
} holder_change_t;

static void
switch_holder (job_t *job, gconstpointer data)
{
  const holder_change_t *change = data;
  anvil_slot_broker_t *broker = job->jobs->options.slot_broker;

  if (strcmp (job->service, change->service) != 0 || job->holder == change->holder)
    return;
  /* A holder that stops finishes what it runs, and only it knows whether it runs this. */
  if (job->state == JOB_WAITING_FOR_SLOT && job->forwarded
      && !anvil_slot_broker_has_ended (broker, job->holder))
    {
      job_withdraw (job);
      return;
    }
  if (job->state == JOB_WAITING_FOR_SLOT)
    {
      job_request_slot_from_new_holder (job);
      return;
    }
  job->holder = change->holder;
  anvil_slot_broker_adopt (broker, job->holder, &job->task, job->upstream);
  job_repeat_adopt (job, job->holder);
}

/* A new holder doesn't know which upstreams are warm for which objects. */
static void
send_warm_objects (anvil_relay_jobs_t *jobs, const char *service, anvil_node_t holder)
{
  anvil_warm_object_t *objects = g_new (anvil_warm_object_t, ANVIL_MAX_WARM_OBJECTS);
  guint n = anvil_warm_object_table_list (jobs->warm_objects, anvil_clock_now (), service, objects,
                                          ANVIL_MAX_WARM_OBJECTS);

  anvil_slot_broker_send_warm_objects (jobs->options.slot_broker, holder, service, objects, n);
  g_free (objects);
}

/* A new holder doesn't know which upstreams named a request limit to the last one. */
static void
send_request_limits (anvil_relay_jobs_t *jobs, const char *service, anvil_node_t holder)
{
  GArray *limits
      = anvil_request_limit_table_list (jobs->request_limits, anvil_clock_now (), service);

  anvil_slot_broker_send_request_limits (jobs->options.slot_broker, holder,
                                         (const anvil_named_limit_t *) (gpointer) limits->data,
                                         limits->len);
  g_array_unref (limits);
}

static void
append_leaving (void *context, guint64 key, gint64 started_at)
{
  const anvil_named_announcement_t item
      = { .upstream = key, .started_at = started_at, .announcement = { .leaving = TRUE } };

  g_array_append_val ((GArray *) context, item);
}

void
jobs_send_announcements (anvil_relay_jobs_t *jobs, const char *service, anvil_node_t holder)
{
  GArray *items = g_array_new (FALSE, FALSE, sizeof (anvil_named_announcement_t));

  anvil_registry_foreach_leaving (jobs->options.registry, service, append_leaving, items);
  anvil_pause_table_append (jobs->pauses, anvil_clock_now (), service, items);
  anvil_slot_broker_send_announcements (jobs->options.slot_broker, holder, service,
                                        (const anvil_named_announcement_t *) (gpointer) items->data,
                                        items->len);
  g_array_unref (items);
}

void
anvil_relay_jobs_holder_changed (anvil_relay_jobs_t *jobs, const char *service, anvil_node_t holder)
{
  const holder_change_t change = { .service = service, .holder = holder };

  jobs_send_announcements (jobs, service, holder);
  send_request_limits (jobs, service, holder);
  send_warm_objects (jobs, service, holder);
  jobs_foreach (jobs, switch_holder, &change);
}

static void
resend_to_restarted_holder (job_t *job, gconstpointer data)
{
  const anvil_node_t *peer = data;
  anvil_slot_broker_t *broker = job->jobs->options.slot_broker;

  if (job->holder != *peer)
    return;
  if (job->state != JOB_WAITING_FOR_SLOT)
    {
      anvil_slot_broker_adopt (broker, job->holder, &job->task, job->upstream);
      job_repeat_adopt (job, job->holder);
      return;
    }
  /* The new process may have received the last request, and run what came with it. */
  if (job->forwarded)
    job_withdraw (job);
  else
    job_request_slot_from_new_holder (job);
}

void
anvil_relay_jobs_peer_restarted (anvil_relay_jobs_t *jobs, anvil_node_t peer)
{
  for (guint i = 0; jobs->routes != NULL && i < anvil_routes_count_services (jobs->routes); i++)
    {
      const char *service = anvil_routes_service_at (jobs->routes, i)->name;

      if (anvil_slot_broker_holder (jobs->options.slot_broker, service) == peer)
        {
          jobs_send_announcements (jobs, service, peer);
          send_request_limits (jobs, service, peer);
          send_warm_objects (jobs, service, peer);
        }
    }
  jobs_foreach (jobs, resend_to_restarted_holder, &peer);
}

static gboolean
holder_is_gone (job_t *job, anvil_time_t now)
{
  const anvil_slot_broker_t *broker = job->jobs->options.slot_broker;

  if (anvil_slot_broker_reachable (broker, job->holder))
    job->holder_seen_at = now;
  return now - job->holder_seen_at >= HOLDER_SILENCE_TIME
         || anvil_slot_broker_has_ended (broker, job->holder);
}

gboolean
jobs_answer_is_overdue (const anvil_relay_jobs_t *jobs,
                        anvil_time_t now,
                        anvil_node_t holder,
                        anvil_time_t requested_at,
                        guint n_unanswered)
{
  const anvil_time_t round_trip = anvil_slot_broker_round_trip (jobs->options.slot_broker, holder);

  return now - requested_at >= anvil_slot_request_interval (n_unanswered, round_trip);
}

static gboolean
is_overdue (const job_t *job, anvil_time_t now)
{
  return jobs_answer_is_overdue (job->jobs, now, job->holder, job->slot_requested_at,
                                 job->n_unanswered);
}

/* Asks again for what may have been lost, or a new holder if the former one, which may have run the
 * request, is gone. */
static void
repeat_withdrawal (job_t *job, anvil_time_t now)
{
  if (holder_is_gone (job, now))
    job_request_slot_from_new_holder (job);
  else if (is_overdue (job, now))
    job_withdraw (job);
}

static void
repeat_overdue_slot_request (job_t *job, gconstpointer data)
{
  const anvil_time_t *now = data;

  if (job->state == JOB_WAITING_FOR_SLOT && job->withdrawing)
    {
      repeat_withdrawal (job, *now);
      return;
    }
  if (job->state == JOB_WAITING_FOR_SLOT && is_overdue (job, *now))
    job_repeat_slot_request (job);
  job_repeat_request_again (job, *now);
}

void
anvil_relay_jobs_tick (anvil_relay_jobs_t *jobs, anvil_time_t now)
{
  jobs_foreach (jobs, repeat_overdue_slot_request, &now);
}
