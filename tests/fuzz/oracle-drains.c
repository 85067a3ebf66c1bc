#include "oracle-parts.h"

#define NEVER (-1)

/**
 * drain_t - one upstream
 * @draining: whether it drains now
 * @listed: whether the platform's list says so; otherwise the upstream turns work away itself
 * @told: entries that learnt it from the platform or the upstream
 * @since: from when each entry knew it, or was in touch with one that knew, without a break
 */
typedef struct
{
  gboolean draining;
  gboolean listed;
  gboolean told[FAKE_MAX_ENTRIES];
  anvil_time_t since[FAKE_MAX_ENTRIES];
} drain_t;

struct oracle_drains
{
  guint n_upstreams;
  drain_t *upstreams;
};

static void
forget (drain_t *drain)
{
  *drain = (drain_t){ 0 };
  for (guint i = 0; i < FAKE_MAX_ENTRIES; i++)
    drain->since[i] = NEVER;
}

oracle_drains_t *
oracle_drains_new (const anvil_config_t *config)
{
  oracle_drains_t *drains = g_new0 (oracle_drains_t, 1);

  drains->n_upstreams = config->n_upstreams;
  drains->upstreams = g_new0 (drain_t, config->n_upstreams);
  for (guint i = 0; i < config->n_upstreams; i++)
    forget (&drains->upstreams[i]);
  return drains;
}

void
oracle_drains_drop (oracle_drains_t *drains)
{
  g_free (drains->upstreams);
  g_free (drains);
}

/* Who was in touch by way of an entry that has stopped is found out at the next sample. */
static void
lose_touch (oracle_drains_t *drains)
{
  for (guint u = 0; u < drains->n_upstreams; u++)
    for (guint i = 0; i < FAKE_MAX_ENTRIES; i++)
      if (!drains->upstreams[u].told[i])
        drains->upstreams[u].since[i] = NEVER;
}

void
oracle_drains_record (oracle_drains_t *drains,
                      oracle_verdict_t *verdict,
                      const fake_record_t *record)
{
  drain_t *drain = &drains->upstreams[record->upstream];

  if (record->kind == FAKE_DRAIN_LEARNT && drain->draining && !drain->told[record->entry])
    {
      drain->told[record->entry] = TRUE;
      if (drain->since[record->entry] == NEVER)
        drain->since[record->entry] = record->at;
    }
  /* What a misleading report of the upstream denies, nobody need believe. */
  if (record->kind == FAKE_DRAIN_DENIED && drain->draining && !drain->listed)
    {
      gboolean draining = drain->draining;

      forget (drain);
      drain->draining = draining;
    }
  if (record->kind == FAKE_STOPPED)
    lose_touch (drains);
  if (record->kind == FAKE_STARTED)
    for (guint i = 0; i < drains->n_upstreams; i++)
      {
        drains->upstreams[i].told[record->entry] = FALSE;
        drains->upstreams[i].since[record->entry] = NEVER;
      }
  if (record->kind == FAKE_DISPATCHED && drain->draining && drain->since[record->entry] != NEVER
      && record->at - drain->since[record->entry] > ORACLE_DRAIN_BOUND)
    oracle_fail (verdict, "drain", "entry %u dispatched to upstream %u, which drains since %.1f s",
                 record->entry, record->upstream,
                 (gdouble) (record->at - drain->since[record->entry]) / ANVIL_SECOND);
}

static gboolean
group_knows (const drain_t *drain, const fake_net_t *net, const oracle_reach_t *reach, guint entry)
{
  for (guint i = 0; i < net->n_entries; i++)
    if (reach->group[i] == reach->group[entry] && drain->told[i])
      return TRUE;
  return FALSE;
}

void
oracle_drains_sample (oracle_drains_t *drains, const fake_net_t *net, const oracle_reach_t *reach)
{
  for (guint u = 0; u < drains->n_upstreams; u++)
    {
      drain_t *drain = &drains->upstreams[u];
      gboolean draining = net->upstreams[u].draining || net->upstreams[u].leaving;

      if (draining != drain->draining || net->upstreams[u].leaving != drain->listed)
        forget (drain);
      drain->draining = draining;
      drain->listed = net->upstreams[u].leaving;
      for (guint i = 0; draining && i < net->n_entries; i++)
        if (drain->told[i])
          continue;
        else if (!group_knows (drain, net, reach, i))
          drain->since[i] = NEVER;
        else if (drain->since[i] == NEVER)
          drain->since[i] = fake_net_now (net);
    }
}
