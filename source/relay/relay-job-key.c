#include "relay/relay-job-internal.h"

#include <string.h>

#include "relay/http-field.h"

/* Pause for callers that this entry can't tell from others: it may know their keys once the store
 * or a peer has answered. */
#define UNPROVEN_RETRY_AFTER (500 * ANVIL_MS)

static const anvil_relay_refusal_t missing_key
    = { .status = STATUS_UNAUTHORIZED, .reason = "missing-key" };
static const anvil_relay_refusal_t unknown_key
    = { .status = STATUS_UNAUTHORIZED, .reason = "unknown-key" };
static const anvil_relay_refusal_t repeated_key
    = { .status = STATUS_UNAUTHORIZED, .reason = "repeated-key" };
static const anvil_relay_refusal_t revoked_key
    = { .status = STATUS_UNAUTHORIZED, .reason = "revoked-key" };
static const anvil_relay_refusal_t unproven = { .status = STATUS_UNAVAILABLE,
                                                .reason = "configuration-unproven",
                                                .retry_after = UNPROVEN_RETRY_AFTER };
static const anvil_relay_refusal_t outdated = { .status = STATUS_UNAVAILABLE,
                                                .reason = "outdated-configuration",
                                                .retry_after = UNPROVEN_RETRY_AFTER };

const anvil_route_t *
jobs_match_route (const anvil_relay_jobs_t *jobs, const anvil_relay_request_t *request)
{
  const char *query = strchr (request->target, '?');
  anvil_str_t path = anvil_str (request->target);

  if (query != NULL)
    path.length = (gsize) (query - request->target);
  return anvil_routes_match (jobs->routes, anvil_str (request->host), path);
}

static gboolean
lacks_key (const anvil_relay_request_t *request)
{
  return request->key == NULL || request->key[0] == '\0';
}

/* Why a request to a route that needs a key isn't served; otherwise NULL and its tenant. */
static const anvil_relay_refusal_t *
check_key (const anvil_relay_jobs_t *jobs,
           const anvil_relay_request_t *request,
           const anvil_tenant_t **tenant)
{
  if (request->keys_differ)
    return &repeated_key;
  if (lacks_key (request))
    return &missing_key;
  if (!jobs->options.config_is_proven (jobs->options.context))
    return &unproven;
  *tenant = anvil_routes_lookup_tenant (jobs->routes, anvil_str (request->key));
  if (*tenant != NULL)
    return NULL;
  return jobs->options.lacks_routes (jobs->options.context) ? &outdated : &unknown_key;
}

static gboolean
needs_key (const anvil_relay_jobs_t *jobs, const anvil_route_t *route)
{
  return anvil_routes_count_tenants (jobs->routes) > 0 && !route->is_public;
}

const anvil_relay_refusal_t *
anvil_relay_jobs_check_head (const anvil_relay_jobs_t *jobs, const anvil_relay_request_t *request)
{
  const anvil_tenant_t *tenant;
  const anvil_route_t *route;

  if (jobs->routes == NULL || anvil_routes_count_tenants (jobs->routes) == 0)
    return NULL;
  route = jobs_match_route (jobs, request);
  return route != NULL && needs_key (jobs, route) ? check_key (jobs, request, &tenant) : NULL;
}

static void
count_refusal (anvil_relay_jobs_t *jobs, const anvil_relay_refusal_t *refusal)
{
  /* "missing-key" counts as "missing". */
  const int length = (int) strcspn (refusal->reason, "-");
  char *labels;

  if (refusal == &unproven)
    anvil_metrics_add_counter (jobs->options.metrics, "anvil_keyed_refusals_total", "", 1);
  if (refusal->status != STATUS_UNAUTHORIZED)
    return;
  labels = g_strdup_printf ("reason=\"%.*s\"", length, refusal->reason);
  anvil_metrics_add_counter (jobs->options.metrics, "anvil_unauthorized_total", labels, 1);
  g_free (labels);
}

void
jobs_refuse_for_key (anvil_relay_jobs_t *jobs,
                     anvil_relay_request_t *request,
                     const anvil_relay_refusal_t *refusal)
{
  count_refusal (jobs, refusal);
  job_refuse_request (jobs, request, refusal->status, refusal->reason, refusal->retry_after);
}

/* Whether the route of a job needs a key now; the route may have been removed meanwhile. */
static gboolean
job_needs_key (const job_t *job)
{
  const anvil_route_t *route = jobs_match_route (job->jobs, job->request);

  if (route != NULL)
    return needs_key (job->jobs, route);
  return anvil_routes_count_tenants (job->jobs->routes) > 0 && !job->is_public;
}

const anvil_relay_refusal_t *
job_renew_tenant (job_t *job)
{
  const anvil_tenant_t *tenant = NULL;
  const anvil_relay_refusal_t *refusal = NULL;

  /* Spares a search among all routes where nobody needs a key. */
  if (job->tenant == NULL && anvil_routes_count_tenants (job->jobs->routes) == 0)
    return NULL;
  if (job_needs_key (job))
    refusal = check_key (job->jobs, job->request, &tenant);
  if (refusal != NULL)
    return refusal == &unknown_key ? &revoked_key : refusal;
  if (g_strcmp0 (job->tenant, tenant != NULL ? tenant->name : NULL) != 0)
    job_set_tenant (job, tenant);
  return NULL;
}

gboolean
job_allows_zone (const job_t *job, anvil_str_t zone)
{
  char *name = anvil_str_dup (zone);
  const anvil_str_t region
      = anvil_str (anvil_relay_settings_region (job->jobs->options.settings, name));
  /* The holder has checked the regions; only another tenant changes them. */
  gboolean allowed = job->tenant == NULL || (job->task.n_regions == 0 && !job->has_no_region);

  for (guint i = 0; i < job->task.n_regions; i++)
    allowed |= anvil_str_equal (job->task.regions[i], region);
  g_free (name);
  return allowed;
}

void
job_fail_for_key (job_t *job, const anvil_relay_refusal_t *refusal)
{
  count_refusal (job->jobs, refusal);
  if (job->task.attempt == 1 && !job->may_have_run)
    job_refuse (job, refusal->status, refusal->reason, refusal->retry_after);
  else
    job_fail (job, STATUS_BAD_GATEWAY, refusal->reason, refusal->retry_after);
}

void
job_set_key_headers (job_t *job)
{
  const anvil_header_names_t *names = job->jobs->options.header_names;
  GString *headers = job->request->headers;

  job->had_tenants |= anvil_routes_count_tenants (job->jobs->routes) > 0;
  if (!job->had_tenants)
    return;
  anvil_http_fields_remove (headers, anvil_str (names->api_key));
  anvil_http_fields_remove (headers, anvil_str (names->tenant));
  if (job->tenant != NULL)
    anvil_http_field_append (headers, anvil_str (names->tenant), anvil_str (job->tenant));
}
