#include "common-measure.h"

#define NEVER (-1)
/* Requests from this size on count as uploads. */
#define UPLOAD_BITS ((gint64) 4 * 1024 * 1024)
/* Rate limiters allow bursts of this much time, so one second's use may exceed its limit by it. */
#define BURST_TIME_S 0.25

typedef struct
{
  anvil_time_t submitted_at;
  common_request_info_t info;
} request_t;

typedef struct
{
  guint64 attempt;
  anvil_time_t expires_at;
} attempt_t;

/**
 * usage_t - use of a limited resource by the second: bits, requests, or busy slots
 * @second: current second
 * @used: amount used in the current second
 * @max_used: highest amount of a completed second
 * @limit: amount allowed in a second
 * @seconds_over: number of seconds in which the use exceeded the limit and its burst
 */
typedef struct
{
  gint64 second;
  gdouble used;
  gdouble max_used;
  gdouble limit;
  guint64 seconds_over;
} usage_t;

struct common_measure
{
  const anvil_config_t *config;
  anvil_time_t from;
  GHashTable *requests;
  GArray *latencies;
  GArray *upload_latencies;
  GArray **attempts;
  usage_t *links;
  usage_t *shifts;
  usage_t *regions;
  guint *busy_slots;
  anvil_time_t *busy_updated_at;
  anvil_time_t *drain_started_at;
  anvil_time_t drain_time;
  anvil_time_t last_dispatch_delay;
  guint64 n_submitted;
  guint64 n_refused;
  guint64 n_unknown;
  guint64 slot_overruns;
};

common_measure_t *
common_measure_new (const anvil_config_t *config, anvil_time_t from)
{
  common_measure_t *measure = g_new0 (common_measure_t, 1);

  measure->config = config;
  measure->from = from;
  measure->requests = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  measure->latencies = g_array_new (FALSE, FALSE, sizeof (anvil_time_t));
  measure->upload_latencies = g_array_new (FALSE, FALSE, sizeof (anvil_time_t));
  measure->attempts = g_new0 (GArray *, config->n_upstreams);
  measure->drain_started_at = g_new0 (anvil_time_t, config->n_upstreams);
  for (guint i = 0; i < config->n_upstreams; i++)
    {
      measure->attempts[i] = g_array_new (FALSE, FALSE, sizeof (attempt_t));
      measure->drain_started_at[i] = NEVER;
    }
  measure->links = g_new0 (usage_t, config->n_links);
  for (guint i = 0; i < config->n_links; i++)
    measure->links[i].limit = (gdouble) config->links[i].bits_per_s;
  measure->shifts = g_new0 (usage_t, MAX (config->n_shifts, 1u));
  for (guint i = 0; i < config->n_shifts; i++)
    measure->shifts[i].limit
        = (gdouble) MAX (config->shifts[i].cap_bits_per_s, config->shifts[i].cap_requests_per_s);
  measure->regions = g_new0 (usage_t, config->n_regions);
  measure->busy_slots = g_new0 (guint, config->n_regions);
  measure->busy_updated_at = g_new0 (anvil_time_t, config->n_regions);
  for (guint i = 0; i < config->n_upstreams; i++)
    measure->regions[anvil_config_upstream_region (config, i)].limit += config->upstreams[i].slots;
  return measure;
}

void
common_measure_drop (common_measure_t *measure)
{
  if (measure == NULL)
    return;
  for (guint i = 0; i < measure->config->n_upstreams; i++)
    g_array_free (measure->attempts[i], TRUE);
  g_free (measure->attempts);
  g_array_free (measure->latencies, TRUE);
  g_array_free (measure->upload_latencies, TRUE);
  g_hash_table_destroy (measure->requests);
  g_free (measure->links);
  g_free (measure->shifts);
  g_free (measure->regions);
  g_free (measure->busy_slots);
  g_free (measure->busy_updated_at);
  g_free (measure->drain_started_at);
  g_free (measure);
}

static void
usage_add (const common_measure_t *measure, usage_t *usage, anvil_time_t now, gdouble used)
{
  if (now < measure->from)
    return;
  if (usage->second != now / ANVIL_SECOND)
    {
      if (usage->used > usage->limit * (1 + BURST_TIME_S))
        usage->seconds_over++;
      usage->max_used = MAX (usage->max_used, usage->used);
      usage->used = 0;
      usage->second = now / ANVIL_SECOND;
    }
  usage->used += used;
}

/* Adds the slot time since the last change, split by second, and changes the busy slots. */
static void
update_busy_slots (common_measure_t *measure, anvil_time_t now, guint region, gint change)
{
  while (measure->busy_updated_at[region] < now)
    {
      anvil_time_t at = measure->busy_updated_at[region];
      anvil_time_t next = MIN (now, (at / ANVIL_SECOND + 1) * ANVIL_SECOND);

      usage_add (measure, &measure->regions[region], at,
                 (gdouble) measure->busy_slots[region] * (gdouble) (next - at) / ANVIL_SECOND);
      measure->busy_updated_at[region] = next;
    }
  measure->busy_slots[region] = (guint) ((gint) measure->busy_slots[region] + change);
}

void
common_measure_request_submitted (common_measure_t *measure,
                                  anvil_time_t now,
                                  const common_request_info_t *info)
{
  const anvil_service_t *service = &measure->config->services[info->service];
  request_t *request;

  if (info->request_link != ANVIL_NO_INDEX)
    usage_add (measure, &measure->links[info->request_link], now, (gdouble) service->request_bits);
  if (now < measure->from)
    return;
  request = g_new0 (request_t, 1);
  request->submitted_at = now;
  request->info = *info;
  measure->n_submitted++;
  g_hash_table_insert (measure->requests, GSIZE_TO_POINTER (info->request_id), request);
}

static gboolean
is_upload (const common_measure_t *measure, const request_t *request)
{
  return measure->config->services[request->info.service].request_bits >= UPLOAD_BITS;
}

void
common_measure_drain_changed (common_measure_t *measure,
                              anvil_time_t now,
                              guint upstream,
                              gboolean drains)
{
  measure->drain_started_at[upstream] = drains ? now : NEVER;
}

/* Removes an attempt, and all that have expired. */
static void
remove_attempts (common_measure_t *measure, guint upstream, anvil_time_t now, guint64 attempt)
{
  GArray *attempts = measure->attempts[upstream];

  for (guint i = attempts->len; i > 0; i--)
    {
      const attempt_t *item = &g_array_index (attempts, attempt_t, i - 1);

      if (item->attempt != attempt && item->expires_at > now)
        continue;
      g_array_remove_index_fast (attempts, i - 1);
      update_busy_slots (measure, now, anvil_config_upstream_region (measure->config, upstream),
                         -1);
    }
}

static void
record_dispatch (common_measure_t *measure, const fake_record_t *record)
{
  const anvil_config_t *config = measure->config;
  const anvil_upstream_t *upstream = &config->upstreams[record->upstream];
  attempt_t item = { .attempt = record->attempt, .expires_at = record->deadline };

  remove_attempts (measure, record->upstream, record->at, 0);
  if (measure->attempts[record->upstream]->len >= upstream->slots && record->at >= measure->from)
    measure->slot_overruns++;
  g_array_append_val (measure->attempts[record->upstream], item);
  update_busy_slots (measure, record->at, anvil_config_upstream_region (config, record->upstream),
                     1);
  if (measure->drain_started_at[record->upstream] != NEVER)
    measure->last_dispatch_delay = MAX (measure->last_dispatch_delay,
                                        record->at - measure->drain_started_at[record->upstream]);
  for (guint i = 0; i < config->n_shifts; i++)
    {
      const anvil_shift_t *shift = &config->shifts[i];
      const anvil_service_t *service = &config->services[shift->service];

      /* Requests that a shift has moved can be told apart only if the half has none of its own. */
      if (shift->service == record->service && shift->to == upstream->half
          && service->half_percents[shift->to] == 0)
        usage_add (measure, &measure->shifts[i], record->at,
                   shift->cap_bits_per_s > 0
                       ? (gdouble) (service->request_bits + service->response_bits)
                       : 1);
    }
}

static void
record_outcome (common_measure_t *measure, const fake_record_t *record)
{
  gpointer key = GSIZE_TO_POINTER (record->request);
  const request_t *request = g_hash_table_lookup (measure->requests, key);
  anvil_time_t latency;

  if (request == NULL)
    return;
  latency = record->at - request->submitted_at + request->info.network_time;
  if (record->kind == FAKE_REFUSED)
    measure->n_refused++;
  else if (record->result != ANVIL_ATTEMPT_ANSWERED)
    measure->n_unknown++;
  else
    g_array_append_val (
        is_upload (measure, request) ? measure->upload_latencies : measure->latencies, latency);
  if (record->kind == FAKE_FINISHED && record->result == ANVIL_ATTEMPT_ANSWERED
      && request->info.response_link != ANVIL_NO_INDEX)
    usage_add (measure, &measure->links[request->info.response_link], record->at,
               (gdouble) measure->config->services[request->info.service].response_bits);
  g_hash_table_remove (measure->requests, key);
}

void
common_measure_record (common_measure_t *measure, const fake_record_t *record)
{
  if (record->kind == FAKE_DISPATCHED)
    record_dispatch (measure, record);
  if (record->kind == FAKE_LINK_CHARGED)
    usage_add (measure, &measure->links[record->link], record->at, (gdouble) record->bits);
  if (record->kind == FAKE_FINISHED || record->kind == FAKE_REFUSED)
    record_outcome (measure, record);
  if (record->kind != FAKE_WORK_ENDED)
    return;
  remove_attempts (measure, record->upstream, record->at, record->attempt);
  if (measure->drain_started_at[record->upstream] != NEVER && record->ran)
    measure->drain_time
        = MAX (measure->drain_time, record->at - measure->drain_started_at[record->upstream]);
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  anvil_time_t first = *(const anvil_time_t *) a;
  anvil_time_t second = *(const anvil_time_t *) b;

  return first < second ? -1 : first > second;
}

static anvil_time_t
quantile (GArray *times, gdouble part)
{
  if (times->len == 0)
    return 0;
  g_array_sort (times, compare_times);
  return g_array_index (times, anvil_time_t, (guint) (part * (gdouble) (times->len - 1)));
}

static gdouble
min_headroom (usage_t *usages, guint n_usages, guint64 *seconds_over)
{
  gdouble minimum = 100;

  for (guint i = 0; i < n_usages; i++)
    {
      minimum = MIN (minimum, 100 * (1 - usages[i].max_used / usages[i].limit));
      *seconds_over += usages[i].seconds_over;
    }
  return minimum;
}

common_results_t
common_measure_results (common_measure_t *measure, anvil_time_t now)
{
  const anvil_config_t *config = measure->config;
  gdouble submitted = (gdouble) MAX (measure->n_submitted, 1);
  guint64 region_seconds = 0;
  common_results_t results = {
    .p50 = quantile (measure->latencies, 0.5),
    .p99 = quantile (measure->latencies, 0.99),
    .upload_p99 = quantile (measure->upload_latencies, 0.99),
    .submitted = measure->n_submitted,
    .refused_percent = 100 * (gdouble) measure->n_refused / submitted,
    .unknown_percent = 100 * (gdouble) measure->n_unknown / submitted,
    .slot_overruns = measure->slot_overruns,
    .drain_time = measure->drain_time,
    .last_dispatch_delay = measure->last_dispatch_delay,
    .recovery_time = NEVER,
  };

  for (guint i = 0; i < config->n_regions; i++)
    update_busy_slots (measure, now, i, 0);
  results.link_headroom = min_headroom (measure->links, config->n_links, &results.link_overruns);
  results.region_headroom = min_headroom (measure->regions, config->n_regions, &region_seconds);
  min_headroom (measure->shifts, config->n_shifts, &results.shift_overruns);
  return results;
}
