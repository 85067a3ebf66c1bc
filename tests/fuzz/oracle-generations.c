#include "oracle-parts.h"

#define NEVER (-1)

/**
 * in_force_t - the file of one entry
 * @generation: in force, 0 before the first
 * @target: newest that it could have been told when it was found behind
 * @files_cut: it hears of newer files, but can't get them
 * @behind_since: from when it was behind and could be told without a break
 */
typedef struct
{
  guint64 generation;
  guint64 target;
  gboolean files_cut;
  anvil_time_t behind_since;
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
  if (config->services[service].shares[half] > 0)
    return TRUE;
  for (guint i = 0; i < config->n_shifts; i++)
    if (config->shifts[i].service == service && config->shifts[i].to == half)
      return TRUE;
  return FALSE;
}

static void
check_dispatch (const oracle_generations_t *generations,
                oracle_verdict_t *verdict,
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
  if (entry->behind_since != NEVER && record->at - entry->behind_since > ORACLE_IN_FORCE_BOUND)
    oracle_fail (verdict, "stale", "entry %u dispatched by a file that is old since %.1f s",
                 record->entry, (gdouble) (record->at - entry->behind_since) / ANVIL_SECOND);
}

void
oracle_generations_record (oracle_generations_t *generations,
                           oracle_verdict_t *verdict,
                           const fake_record_t *record)
{
  in_force_t *entry = &generations->entries[record->entry];

  if (record->kind == FAKE_STOPPED)
    for (guint i = 0; i < FAKE_MAX_ENTRIES; i++)
      generations->entries[i].behind_since = NEVER;
  if (record->kind == FAKE_STARTED)
    *entry = (in_force_t){ .behind_since = NEVER };
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
                     const oracle_reach_t *reach,
                     guint entry)
{
  guint64 newest = 0;

  for (guint i = 0; i < net->n_entries; i++)
    {
      if (reach->group[i] != reach->group[entry])
        continue;
      newest = MAX (newest, generations->entries[i].generation);
      if (fake_net_store_reachable (net, i) && !net->entries[i].files_cut)
        newest = MAX (newest, fake_platform_generation (net->platform));
    }
  return newest;
}

static void
check_behind (
    in_force_t *entry, oracle_verdict_t *verdict, guint index, guint64 newest, anvil_time_t now)
{
  if (entry->generation >= newest)
    {
      entry->behind_since = NEVER;
      return;
    }
  if (entry->behind_since == NEVER || entry->generation >= entry->target || newest < entry->target)
    {
      entry->behind_since = now;
      entry->target = newest;
    }
  if (!entry->files_cut && now - entry->behind_since > ORACLE_IN_FORCE_BOUND)
    oracle_fail (verdict, "in-force",
                 "entry %u is on generation %" G_GUINT64_FORMAT " and could have %" G_GUINT64_FORMAT
                 " since %.1f s",
                 index, entry->generation, entry->target,
                 (gdouble) (now - entry->behind_since) / ANVIL_SECOND);
}

static void
note_files_cut (in_force_t *entry, gboolean files_cut)
{
  if (entry->files_cut && !files_cut)
    entry->behind_since = NEVER;
  entry->files_cut = files_cut;
}

void
oracle_generations_sample (oracle_generations_t *generations,
                           oracle_verdict_t *verdict,
                           const fake_net_t *net,
                           const oracle_reach_t *reach)
{
  for (guint i = 0; i < net->n_entries; i++)
    {
      in_force_t *entry = &generations->entries[i];

      note_files_cut (entry, net->entries[i].files_cut);
      if (!net->entries[i].alive || net->entries[i].frozen)
        entry->behind_since = NEVER;
      else
        check_behind (entry, verdict, i, newest_within_reach (generations, net, reach, i),
                      fake_net_now (net));
    }
}
