#include "common-measure.h"

#define NEVER (-1)
/* Requests from this size on count as uploads. */
#define UPLOAD_BITS ((gint64) 4 * 1024 * 1024)
/* Part of a second that a limit may be used ahead. */
#define BURST_SECONDS 0.25

typedef struct
{
  anvil_time_t submitted_at;
  common_measure_arrival_t arrival;
} request_t;

typedef struct
{
  guint64 attempt;
  anvil_time_t until;
} work_t;

/**
 * bin_t - use of one limit in the current second
 * @second: which one
 * @used: units, or microseconds of slots
 * @peak: most in one second
 * @over: seconds above the limit
 */
typedef struct
{
  gint64 second;
  gdouble used;
  gdouble peak;
  gdouble limit;
  guint64 over;
} bin_t;

struct common_measure
{
  const anvil_config_t *config;
  anvil_time_t from;
  GHashTable *requests;
  GArray *latencies;
  GArray *upload_latencies;
  GArray **work;
  bin_t *links;
  bin_t *shifts;
  bin_t *regions;
  guint *busy;
  anvil_time_t *busy_at;
  anvil_time_t *drain_since;
  anvil_time_t drain_time;
  anvil_time_t late_work;
  guint64 submitted;
  guint64 refused;
  guint64 failed;
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
  measure->work = g_new0 (GArray *, config->n_upstreams);
  measure->drain_since = g_new0 (anvil_time_t, config->n_upstreams);
  for (guint i = 0; i < config->n_upstreams; i++)
    {
      measure->work[i] = g_array_new (FALSE, FALSE, sizeof (work_t));
      measure->drain_since[i] = NEVER;
    }
  measure->links = g_new0 (bin_t, config->n_links);
  for (guint i = 0; i < config->n_links; i++)
    measure->links[i].limit = (gdouble) config->links[i].bits_per_s;
  measure->shifts = g_new0 (bin_t, MAX (config->n_shifts, 1u));
  for (guint i = 0; i < config->n_shifts; i++)
    measure->shifts[i].limit
        = (gdouble) MAX (config->shifts[i].cap_bits_per_s, config->shifts[i].cap_requests_per_s);
  measure->regions = g_new0 (bin_t, config->n_regions);
  measure->busy = g_new0 (guint, config->n_regions);
  measure->busy_at = g_new0 (anvil_time_t, config->n_regions);
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
    g_array_free (measure->work[i], TRUE);
  g_free (measure->work);
  g_array_free (measure->latencies, TRUE);
  g_array_free (measure->upload_latencies, TRUE);
  g_hash_table_destroy (measure->requests);
  g_free (measure->links);
  g_free (measure->shifts);
  g_free (measure->regions);
  g_free (measure->busy);
  g_free (measure->busy_at);
  g_free (measure->drain_since);
  g_free (measure);
}

static void
bin_add (const common_measure_t *measure, bin_t *bin, anvil_time_t now, gdouble used)
{
  if (now < measure->from)
    return;
  if (bin->second != now / ANVIL_SECOND)
    {
      if (bin->used > bin->limit * (1 + BURST_SECONDS))
        bin->over++;
      bin->peak = MAX (bin->peak, bin->used);
      bin->used = 0;
      bin->second = now / ANVIL_SECOND;
    }
  bin->used += used;
}

/* Adds the slot time since the last change, second by second. */
static void
region_change (common_measure_t *measure, anvil_time_t now, guint region, gint change)
{
  while (measure->busy_at[region] < now)
    {
      anvil_time_t at = measure->busy_at[region];
      anvil_time_t next = MIN (now, (at / ANVIL_SECOND + 1) * ANVIL_SECOND);

      bin_add (measure, &measure->regions[region], at,
               (gdouble) measure->busy[region] * (gdouble) (next - at) / ANVIL_SECOND);
      measure->busy_at[region] = next;
    }
  measure->busy[region] = (guint) ((gint) measure->busy[region] + change);
}

void
common_measure_submitted (common_measure_t *measure,
                          anvil_time_t now,
                          const common_measure_arrival_t *arrival)
{
  const anvil_service_t *service = &measure->config->services[arrival->service];
  request_t *request;

  if (arrival->link_in != ANVIL_NO_INDEX)
    bin_add (measure, &measure->links[arrival->link_in], now, (gdouble) service->request_bits);
  if (now < measure->from)
    return;
  request = g_new0 (request_t, 1);
  request->submitted_at = now;
  request->arrival = *arrival;
  measure->submitted++;
  g_hash_table_insert (measure->requests, GSIZE_TO_POINTER (arrival->number), request);
}

static gboolean
is_upload (const common_measure_t *measure, const request_t *request)
{
  return measure->config->services[request->arrival.service].request_bits >= UPLOAD_BITS;
}

void
common_measure_drain (common_measure_t *measure, anvil_time_t now, guint upstream, gboolean drains)
{
  measure->drain_since[upstream] = drains ? now : NEVER;
}

static void
remove_work (common_measure_t *measure, guint upstream, anvil_time_t now, guint64 attempt)
{
  GArray *work = measure->work[upstream];

  for (guint i = work->len; i > 0; i--)
    {
      const work_t *item = &g_array_index (work, work_t, i - 1);

      if (item->attempt != attempt && item->until > now)
        continue;
      g_array_remove_index_fast (work, i - 1);
      region_change (measure, now, anvil_config_upstream_region (measure->config, upstream), -1);
    }
}

static void
record_dispatch (common_measure_t *measure, const fake_record_t *record)
{
  const anvil_config_t *config = measure->config;
  const anvil_upstream_t *upstream = &config->upstreams[record->upstream];
  work_t item = { .attempt = record->attempt, .until = record->deadline };

  remove_work (measure, record->upstream, record->at, 0);
  if (measure->work[record->upstream]->len >= upstream->slots && record->at >= measure->from)
    measure->slot_overruns++;
  g_array_append_val (measure->work[record->upstream], item);
  region_change (measure, record->at, anvil_config_upstream_region (config, record->upstream), 1);
  if (measure->drain_since[record->upstream] != NEVER)
    measure->late_work
        = MAX (measure->late_work, record->at - measure->drain_since[record->upstream]);
  for (guint i = 0; i < config->n_shifts; i++)
    {
      const anvil_shift_t *shift = &config->shifts[i];
      const anvil_service_t *service = &config->services[shift->service];

      /* Only a half without a share of its own tells which requests a shift has moved. */
      if (shift->service == record->service && shift->to == upstream->half
          && service->half_percents[shift->to] == 0)
        bin_add (measure, &measure->shifts[i], record->at,
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
  latency = record->at - request->submitted_at + request->arrival.travel;
  if (record->kind == FAKE_REFUSED)
    measure->refused++;
  else if (record->result != ANVIL_ATTEMPT_ANSWERED)
    measure->failed++;
  else
    g_array_append_val (
        is_upload (measure, request) ? measure->upload_latencies : measure->latencies, latency);
  if (record->kind == FAKE_FINISHED && record->result == ANVIL_ATTEMPT_ANSWERED
      && request->arrival.link_out != ANVIL_NO_INDEX)
    bin_add (measure, &measure->links[request->arrival.link_out], record->at,
             (gdouble) measure->config->services[request->arrival.service].response_bits);
  g_hash_table_remove (measure->requests, key);
}

void
common_measure_record (common_measure_t *measure, const fake_record_t *record)
{
  if (record->kind == FAKE_DISPATCHED)
    record_dispatch (measure, record);
  if (record->kind == FAKE_LINK_CHARGED)
    bin_add (measure, &measure->links[record->link], record->at, (gdouble) record->bits);
  if (record->kind == FAKE_FINISHED || record->kind == FAKE_REFUSED)
    record_outcome (measure, record);
  if (record->kind != FAKE_WORK_ENDED)
    return;
  remove_work (measure, record->upstream, record->at, record->attempt);
  if (measure->drain_since[record->upstream] != NEVER && record->ran)
    measure->drain_time
        = MAX (measure->drain_time, record->at - measure->drain_since[record->upstream]);
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
least_headroom (bin_t *bins, guint n_bins, guint64 *over)
{
  gdouble least = 100;

  for (guint i = 0; i < n_bins; i++)
    {
      least = MIN (least, 100 * (1 - bins[i].peak / bins[i].limit));
      *over += bins[i].over;
    }
  return least;
}

common_figures_t
common_measure_figures (common_measure_t *measure, anvil_time_t now)
{
  const anvil_config_t *config = measure->config;
  gdouble submitted = (gdouble) MAX (measure->submitted, 1);
  guint64 region_seconds = 0;
  common_figures_t figures = {
    .p50 = quantile (measure->latencies, 0.5),
    .p99 = quantile (measure->latencies, 0.99),
    .upload_p99 = quantile (measure->upload_latencies, 0.99),
    .submitted = measure->submitted,
    .refused = 100 * (gdouble) measure->refused / submitted,
    .failed = 100 * (gdouble) measure->failed / submitted,
    .slot_overruns = measure->slot_overruns,
    .drain_time = measure->drain_time,
    .late_work = measure->late_work,
    .recovery = NEVER,
  };

  for (guint i = 0; i < config->n_regions; i++)
    region_change (measure, now, i, 0);
  figures.link_headroom = least_headroom (measure->links, config->n_links, &figures.link_overruns);
  figures.region_headroom = least_headroom (measure->regions, config->n_regions, &region_seconds);
  least_headroom (measure->shifts, config->n_shifts, &figures.shift_overruns);
  return figures;
}
