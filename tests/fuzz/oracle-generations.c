#include "oracle-internal.h"

#define NEVER (-1)

/**
 * generation_lag_t - an entry's generation is older than one that it could have
 * @since: start of the lag, without interruption since; NEVER if there is none
 * @target: newest generation that it could have had at @since
 */
typedef struct
{
  anvil_time_t since;
  guint64 target;
} generation_lag_t;

static const generation_lag_t no_lag = { .since = NEVER };

/**
 * in_force_t - configuration of one entry
 * @generation: generation in force, 0 before the first
 * @files_cut: it learns of newer files, but can't fetch them
 * @reachable_lag: lag behind the newest generation that it or an entry that it reaches, directly
 *   or through others, has or can fetch from the store; it must not dispatch by an older file
 *   for longer than ORACLE_IN_FORCE_BOUND
 * @delivery_lag: lag behind the newest generation that can be delivered to it. Files are passed
 *   from entry to entry; a path through an entry that can't fetch files does not count.
 */
typedef struct
{
  guint64 generation;
  gboolean files_cut;
  generation_lag_t reachable_lag;
  generation_lag_t delivery_lag;
} in_force_t;

struct oracle_generations
{
  const anvil_config_t *config;
  in_force_t entries[FAKE_MAX_ENTRIES];
};

oracle_generations_t *
oracle_generations_new (const anvil_config_t *config)
{
  oracle_generations_t *generations = g_new0 (oracle_generations_t, 1);

  generations->config = config;
  return generations;
}

void
oracle_generations_drop (oracle_generations_t *generations)
{
  g_free (generations);
}

/* All files of a simulation list halves and services in the same order, so the indexes of the base
 * file are valid for each. */
static gboolean
half_allowed (const anvil_config_t *config, guint service, guint half)
{
  if (config->services[service].half_percents[half] > 0)
    return TRUE;
  for (guint i = 0; i < config->n_shifts; i++)
    if (config->shifts[i].service == service && config->shifts[i].to == half)
      return TRUE;
  return FALSE;
}

static void
check_dispatch (const oracle_generations_t *generations,
                oracle_failure_t *failure,
                const fake_record_t *record)
{
  const anvil_upstream_t *upstream = &generations->config->upstreams[record->upstream];
  const in_force_t *entry = &generations->entries[record->entry];

  if (upstream->service != record->service)
    oracle_fail (failure, "half", "entry %u dispatched service %u to an upstream of service %u",
                 record->entry, record->service, upstream->service);
  if (!half_allowed (generations->config, record->service, upstream->half))
    oracle_fail (failure, "half", "entry %u dispatched service %u to half %u", record->entry,
                 record->service, upstream->half);
  if (record->generation != generations->entries[record->entry].generation)
    oracle_fail (failure, "generation", "entry %u dispatched by a file that isn't in force",
                 record->entry);
  if (entry->reachable_lag.since != NEVER
      && record->at - entry->reachable_lag.since > ORACLE_IN_FORCE_BOUND)
    oracle_fail (failure, "stale", "entry %u dispatched by a file that is old since %.1f s",
                 record->entry, (gdouble) (record->at - entry->reachable_lag.since) / ANVIL_SECOND);
}

static void
reset_lags (in_force_t *entry)
{
  entry->reachable_lag = no_lag;
  entry->delivery_lag = no_lag;
}

void
oracle_generations_record (oracle_generations_t *generations,
                           oracle_failure_t *failure,
                           const fake_record_t *record)
{
  in_force_t *entry = &generations->entries[record->entry];

  if (record->kind == FAKE_STOPPED)
    for (guint i = 0; i < FAKE_MAX_ENTRIES; i++)
      reset_lags (&generations->entries[i]);
  if (record->kind == FAKE_STARTED)
    *entry = (in_force_t){ .reachable_lag = no_lag, .delivery_lag = no_lag };
  if (record->kind == FAKE_IN_FORCE)
    {
      if (record->generation <= entry->generation)
        oracle_fail (failure, "generation", "entry %u went back from %" G_GUINT64_FORMAT,
                     record->entry, entry->generation);
      entry->generation = record->generation;
    }
  if (record->kind == FAKE_DISPATCHED)
    check_dispatch (generations, failure, record);
}

static guint64
newest_reachable (const oracle_generations_t *generations,
                  const fake_net_t *net,
                  const oracle_reachability_t *reachability,
                  guint entry)
{
  guint64 newest = 0;

  for (guint i = 0; i < net->n_entries; i++)
    {
      if (reachability->group[i] != reachability->group[entry])
        continue;
      newest = MAX (newest, generations->entries[i].generation);
      if (fake_net_store_reachable (net, i) && !net->entries[i].files_cut)
        newest = MAX (newest, fake_platform_newest_generation (net->platform));
    }
  return newest;
}

/* Computes the newest generation that each entry can get from the store or from other entries. */
static void
compute_deliverable (const oracle_generations_t *generations,
                     const fake_net_t *net,
                     guint64 *newest)
{
  gboolean changed = TRUE;

  for (guint i = 0; i < net->n_entries; i++)
    {
      newest[i] = generations->entries[i].generation;
      if (fake_net_store_reachable (net, i) && !net->entries[i].files_cut)
        newest[i] = MAX (newest[i], fake_platform_newest_generation (net->platform));
    }
  while (changed)
    {
      changed = FALSE;
      for (guint from = 0; from < net->n_entries; from++)
        for (guint to = 0; to < net->n_entries; to++)
          if (newest[from] > newest[to] && !net->entries[to].files_cut
              && fake_net_connected (net, from, to) && fake_net_discovered (net, from, to))
            {
              newest[to] = newest[from];
              changed = TRUE;
            }
    }
}

static void
update_lag (generation_lag_t *lag, guint64 generation, guint64 newest, anvil_time_t now)
{
  if (generation >= newest)
    *lag = no_lag;
  else if (lag->since == NEVER || generation >= lag->target || newest < lag->target)
    *lag = (generation_lag_t){ .since = now, .target = newest };
}

static void
check_delivered (const in_force_t *entry, oracle_failure_t *failure, guint index, anvil_time_t now)
{
  const generation_lag_t *lag = &entry->delivery_lag;

  if (lag->since != NEVER && !entry->files_cut && now - lag->since > ORACLE_IN_FORCE_BOUND)
    oracle_fail (failure, "in-force",
                 "entry %u is on generation %" G_GUINT64_FORMAT " and could have %" G_GUINT64_FORMAT
                 " since %.1f s",
                 index, entry->generation, lag->target,
                 (gdouble) (now - lag->since) / ANVIL_SECOND);
}

static void
update_files_cut (in_force_t *entry, gboolean files_cut)
{
  if (entry->files_cut && !files_cut)
    reset_lags (entry);
  entry->files_cut = files_cut;
}

void
oracle_generations_update (oracle_generations_t *generations,
                           oracle_failure_t *failure,
                           const fake_net_t *net,
                           const oracle_reachability_t *reachability)
{
  guint64 deliverable[FAKE_MAX_ENTRIES];
  anvil_time_t now = fake_net_now (net);

  compute_deliverable (generations, net, deliverable);
  for (guint i = 0; i < net->n_entries; i++)
    {
      in_force_t *entry = &generations->entries[i];

      update_files_cut (entry, net->entries[i].files_cut);
      if (!net->entries[i].alive || net->entries[i].frozen)
        {
          reset_lags (entry);
          continue;
        }
      update_lag (&entry->reachable_lag, entry->generation,
                  newest_reachable (generations, net, reachability, i), now);
      update_lag (&entry->delivery_lag, entry->generation, deliverable[i], now);
      check_delivered (entry, failure, i, now);
    }
}
