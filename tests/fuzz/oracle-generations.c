#include "oracle-internal.h"

#define NEVER (-1)

/**
 * lag_t - an entry's file is older than it might be
 * @since: from when, without a break; NEVER if it isn't
 * @target: newest that it might have had when it was found behind
 */
typedef struct
{
  anvil_time_t since;
  guint64 target;
} lag_t;

static const lag_t no_lag = { .since = NEVER };

/**
 * in_force_t - the file of one entry
 * @generation: in force, 0 before the first
 * @files_cut: it hears of newer files, but can't get them
 * @unaware: behind what anyone in reach has, by way of whomever: what it must not dispatch by
 * @undelivered: behind what can be carried to it, from entry to entry: what must be in force.
 *   An entry that can't get files carries none, so a path through it doesn't count here.
 */
typedef struct
{
  guint64 generation;
  gboolean files_cut;
  lag_t unaware;
  lag_t undelivered;
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

/* Names of halves and services keep their order in all files of a run. */
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
                oracle_failure_t *verdict,
                const fake_record_t *record)
{
  const anvil_upstream_t *upstream = &generations->config->upstreams[record->upstream];
  const in_force_t *entry = &generations->entries[record->entry];

  if (upstream->service != record->service)
    oracle_fail (verdict, "half", "entry %u dispatched service %u to an upstream of service %u",
                 record->entry, record->service, upstream->service);
  if (!half_allowed (generations->config, record->service, upstream->half))
    oracle_fail (verdict, "half", "entry %u dispatched service %u to half %u", record->entry,
                 record->service, upstream->half);
  if (record->generation != generations->entries[record->entry].generation)
    oracle_fail (verdict, "generation", "entry %u dispatched by a file that isn't in force",
                 record->entry);
  if (entry->unaware.since != NEVER && record->at - entry->unaware.since > ORACLE_IN_FORCE_BOUND)
    oracle_fail (verdict, "stale", "entry %u dispatched by a file that is old since %.1f s",
                 record->entry, (gdouble) (record->at - entry->unaware.since) / ANVIL_SECOND);
}

static void
forget_lags (in_force_t *entry)
{
  entry->unaware = no_lag;
  entry->undelivered = no_lag;
}

void
oracle_generations_record (oracle_generations_t *generations,
                           oracle_failure_t *verdict,
                           const fake_record_t *record)
{
  in_force_t *entry = &generations->entries[record->entry];

  if (record->kind == FAKE_STOPPED)
    for (guint i = 0; i < FAKE_MAX_ENTRIES; i++)
      forget_lags (&generations->entries[i]);
  if (record->kind == FAKE_STARTED)
    *entry = (in_force_t){ .unaware = no_lag, .undelivered = no_lag };
  if (record->kind == FAKE_IN_FORCE)
    {
      if (record->generation <= entry->generation)
        oracle_fail (verdict, "generation", "entry %u went back from %" G_GUINT64_FORMAT,
                     record->entry, entry->generation);
      entry->generation = record->generation;
    }
  if (record->kind == FAKE_DISPATCHED)
    check_dispatch (generations, verdict, record);
}

static guint64
newest_within_reach (const oracle_generations_t *generations,
                     const fake_net_t *net,
                     const oracle_reachability_t *reach,
                     guint entry)
{
  guint64 newest = 0;

  for (guint i = 0; i < net->n_entries; i++)
    {
      if (reach->group[i] != reach->group[entry])
        continue;
      newest = MAX (newest, generations->entries[i].generation);
      if (fake_net_store_reachable (net, i) && !net->entries[i].files_cut)
        newest = MAX (newest, fake_platform_newest_generation (net->platform));
    }
  return newest;
}

/* What each entry can have: from the store, or from an entry that has it or can have it. */
static void
load_deliverable (const oracle_generations_t *generations, const fake_net_t *net, guint64 *newest)
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
follow_lag (lag_t *lag, guint64 generation, guint64 newest, anvil_time_t now)
{
  if (generation >= newest)
    *lag = no_lag;
  else if (lag->since == NEVER || generation >= lag->target || newest < lag->target)
    *lag = (lag_t){ .since = now, .target = newest };
}

static void
check_delivered (const in_force_t *entry, oracle_failure_t *verdict, guint index, anvil_time_t now)
{
  const lag_t *lag = &entry->undelivered;

  if (lag->since != NEVER && !entry->files_cut && now - lag->since > ORACLE_IN_FORCE_BOUND)
    oracle_fail (verdict, "in-force",
                 "entry %u is on generation %" G_GUINT64_FORMAT " and could have %" G_GUINT64_FORMAT
                 " since %.1f s",
                 index, entry->generation, lag->target,
                 (gdouble) (now - lag->since) / ANVIL_SECOND);
}

static void
note_files_cut (in_force_t *entry, gboolean files_cut)
{
  if (entry->files_cut && !files_cut)
    forget_lags (entry);
  entry->files_cut = files_cut;
}

void
oracle_generations_sample (oracle_generations_t *generations,
                           oracle_failure_t *verdict,
                           const fake_net_t *net,
                           const oracle_reachability_t *reach)
{
  guint64 deliverable[FAKE_MAX_ENTRIES];
  anvil_time_t now = fake_net_now (net);

  load_deliverable (generations, net, deliverable);
  for (guint i = 0; i < net->n_entries; i++)
    {
      in_force_t *entry = &generations->entries[i];

      note_files_cut (entry, net->entries[i].files_cut);
      if (!net->entries[i].alive || net->entries[i].frozen)
        {
          forget_lags (entry);
          continue;
        }
      follow_lag (&entry->unaware, entry->generation,
                  newest_within_reach (generations, net, reach, i), now);
      follow_lag (&entry->undelivered, entry->generation, deliverable[i], now);
      check_delivered (entry, verdict, i, now);
    }
}
