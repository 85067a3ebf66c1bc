#include "relay/relay-job-internal.h"

#include <string.h>

/* Timeout if neither the caller nor the route has one. */
#define DEFAULT_TIMEOUT (30 * ANVIL_SECOND)
/* Reserved for sending the response back to the caller. */
#define RESPONSE_MARGIN (15 * ANVIL_MS)

static void
clear_regions (job_t *job)
{
  for (guint i = 0; i < job->task.n_regions; i++)
    g_free ((char *) job->task.regions[i].data);
  job->task.n_regions = 0;
}

void
job_drop (job_t *job)
{
  event_free (job->timer);
  job_repeat_drop (job);
  clear_regions (job);
  g_strfreev (job->route_regions);
  g_free (job->tenant);
  g_free (job->service);
  g_free (job->route);
  g_free (job->upstream_id);
  job_drop_saved_response (job);
  g_free (job);
}

/* All entries hash the same object and kind of route to the same value. 0 means no object. */
static guint64
object_hash (const anvil_route_t *route, const anvil_relay_request_t *request)
{
  guint64 hash;

  if (!route->sticky || request->object == NULL)
    return 0;
  hash = anvil_str_hash (anvil_str (request->object)) ^ ((guint64) route->kind << 8);
  return hash != 0 ? hash : 1;
}

static guint64
mix (guint64 hash, guint64 value)
{
  hash = (hash ^ value) * G_GUINT64_CONSTANT (0x9E3779B97F4A7C15);
  return hash ^ (hash >> 32);
}

guint64
anvil_relay_route_class (const anvil_route_t *route)
{
  guint64 hash = mix (mix (mix (1, (guint64) route->kind), (guint64) route->target_latency),
                      route->priority);

  return hash != 0 ? hash : 1;
}

void
job_set_times (anvil_task_t *task,
               const anvil_route_t *route,
               anvil_time_t received_at,
               anvil_time_t timeout)
{
  anvil_time_t effective_timeout = timeout > 0 ? timeout : DEFAULT_TIMEOUT;
  anvil_time_t target = route->target_latency > 0 ? route->target_latency : G_MAXINT64;

  if (route->timeout > 0)
    effective_timeout = MIN (effective_timeout, route->timeout);
  task->deadline = received_at + MAX (effective_timeout - RESPONSE_MARGIN, ANVIL_MS);
  task->target = received_at + MAX (MIN (target, effective_timeout) - RESPONSE_MARGIN, ANVIL_MS);
}

static void
fill_task (anvil_relay_jobs_t *jobs, job_t *job, const anvil_route_t *route)
{
  const anvil_relay_request_t *request = job->request;

  job->task = (anvil_task_t){
    .id = { .requester = anvil_slot_broker_self (jobs->options.slot_broker),
            .number = ++jobs->last_number },
    .service = anvil_str (job->service),
    .region = anvil_str (jobs->region),
    .zone = anvil_str (jobs->options.settings->zone),
    .object = object_hash (route, request),
    .kind = route->kind,
    .priority = route->priority,
    .attempt = 1,
    .body_bytes = evbuffer_get_length (request->body),
    .route_class = anvil_relay_route_class (route),
  };
  job_set_times (&job->task, route, request->received_at, request->timeout);
}

static gboolean
allows (char *const *regions, guint n_regions, const char *region)
{
  for (guint i = 0; i < n_regions; i++)
    {
      if (strcmp (regions[i], region) == 0)
        return TRUE;
    }
  return n_regions == 0;
}

/* The regions that both allow: those of one list that the other one allows too. */
static void
set_regions (job_t *job, const anvil_tenant_t *tenant)
{
  const guint n_of_route = g_strv_length (job->route_regions);
  const guint n_of_tenant = tenant != NULL ? tenant->n_regions : 0;
  char *const *regions = n_of_route > 0 || tenant == NULL ? job->route_regions : tenant->regions;
  const guint n = n_of_route > 0 ? n_of_route : n_of_tenant;

  clear_regions (job);
  for (guint i = 0; i < n; i++)
    {
      if (tenant == NULL || allows (tenant->regions, tenant->n_regions, regions[i]))
        job->task.regions[job->task.n_regions++] = anvil_str (g_strdup (regions[i]));
    }
  job->has_no_region = n > 0 && job->task.n_regions == 0;
}

void
job_set_tenant (job_t *job, const anvil_tenant_t *tenant)
{
  g_free (job->tenant);
  job->tenant = tenant != NULL ? g_strdup (tenant->name) : NULL;
  job->task.tenant = anvil_str (job->tenant);
  job->task.tenant_priority
      = tenant != NULL && tenant->has_priority ? tenant->priority : job->task.priority;
  set_regions (job, tenant);
}

/* The tenant that holds the key of a request, NULL if the route needs none. */
static const anvil_tenant_t *
tenant_of (const anvil_relay_jobs_t *jobs,
           const anvil_relay_request_t *request,
           const anvil_route_t *route)
{
  if (route->is_public || request->key == NULL)
    return NULL;
  return anvil_routes_lookup_tenant (jobs->routes, anvil_str (request->key));
}

static char **
copy_regions (const anvil_route_t *route)
{
  char **regions = g_new0 (char *, route->n_regions + 1);

  for (guint i = 0; i < route->n_regions; i++)
    regions[i] = g_strdup (route->regions[i]);
  return regions;
}

job_t *
job_new (anvil_relay_jobs_t *jobs, anvil_relay_request_t *request, const anvil_route_t *route)
{
  guint index = anvil_route_split_next (jobs->split, route);
  job_t *job = g_new0 (job_t, 1);
  struct timeval time;

  job->jobs = jobs;
  job->request = request;
  job->service = g_strdup (route->services[index].service);
  job->route = g_strdup (route->name);
  job->max_attempts = route->max_attempts;
  job->is_public = route->is_public;
  job->had_tenants = anvil_routes_count_tenants (jobs->routes) > 0;
  job->route_regions = copy_regions (route);
  job->repeat.excluded_by_route = route->has_repeat_share && route->repeat_share <= 0;
  fill_task (jobs, job, route);
  job_set_tenant (job, tenant_of (jobs, request, route));
  time = anvil_time_to_timeval (job->task.deadline - anvil_clock_now ());
  job->timer = evtimer_new (jobs->options.base, job_on_deadline, job);
  evtimer_add (job->timer, &time);
  request->handler_data = job;
  g_hash_table_insert (jobs->jobs, &job->task.id.number, job);
  return job;
}
