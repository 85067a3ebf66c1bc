#include "oracle-internal.h"

#define NEVER (-1)

/**
 * told_t - who told an entry that an upstream drains; a report of the upstream can't deny the list
 */
typedef enum
{
  TOLD_NOTHING,
  TOLD_BY_UPSTREAM,
  TOLD_BY_LIST,
} told_t;

/**
 * drain_t - one upstream
 * @draining: whether it drains now
 * @told: who told each entry
 * @since: from when each entry knew it, or was in touch with one that knew, without a break
 */
typedef struct
{
  gboolean draining;
  told_t told[FAKE_MAX_ENTRIES];
  anvil_time_t since[FAKE_MAX_ENTRIES];
} drain_t;

struct oracle_drains
{
  guint n_upstreams;
  drain_t *upstreams;
  guint n_entries;
  oracle_reachability_t reach;
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
      if (drains->upstreams[u].told[i] == TOLD_NOTHING)
        drains->upstreams[u].since[i] = NEVER;
}

static gboolean
group_knows (const oracle_drains_t *drains, const drain_t *drain, guint entry)
{
  for (guint i = 0; i < drains->n_entries; i++)
    if (drains->reach.group[i] == drains->reach.group[entry] && drain->told[i] != TOLD_NOTHING)
      return TRUE;
  return FALSE;
}

static void
note_told (drain_t *drain, const fake_record_t *record)
{
  told_t by = record->from_vm_list ? TOLD_BY_LIST : TOLD_BY_UPSTREAM;

  drain->told[record->entry] = MAX (drain->told[record->entry], by);
  if (drain->since[record->entry] == NEVER)
    drain->since[record->entry] = record->at;
}

/* What a misleading report denies need only be believed by those who have it from the list. */
static void
note_denied (const oracle_drains_t *drains, drain_t *drain)
{
  for (guint i = 0; i < drains->n_entries; i++)
    if (drain->told[i] == TOLD_BY_UPSTREAM)
      drain->told[i] = TOLD_NOTHING;
  for (guint i = 0; i < drains->n_entries; i++)
    if (!group_knows (drains, drain, i))
      drain->since[i] = NEVER;
}

/* An entry follows the newest list that it has, which may be older than the drain. From then on it
 * counts as told by whoever it is in touch with, as after a start. */
static void
note_denied_by_list (drain_t *drain, guint entry)
{
  if (drain->told[entry] != TOLD_BY_LIST)
    return;
  drain->told[entry] = TOLD_NOTHING;
  drain->since[entry] = NEVER;
}

static void
forget_entry (oracle_drains_t *drains, guint entry)
{
  for (guint i = 0; i < drains->n_upstreams; i++)
    {
      drains->upstreams[i].told[entry] = TOLD_NOTHING;
      drains->upstreams[i].since[entry] = NEVER;
    }
}

static void
check_dispatch (const drain_t *drain, oracle_failure_t *verdict, const fake_record_t *record)
{
  anvil_time_t since = drain->since[record->entry];

  if (drain->draining && since != NEVER && record->at - since > ORACLE_DRAIN_BOUND)
    oracle_fail (verdict, "drain", "entry %u dispatched to upstream %u, which drains since %.1f s",
                 record->entry, record->upstream, (gdouble) (record->at - since) / ANVIL_SECOND);
}

void
oracle_drains_record (oracle_drains_t *drains,
                      oracle_failure_t *verdict,
                      const fake_record_t *record)
{
  drain_t *drain = &drains->upstreams[record->upstream];

  if (record->kind == FAKE_DRAIN_OBSERVED && drain->draining)
    note_told (drain, record);
  if (record->kind == FAKE_DRAIN_DENIED && drain->draining)
    {
      if (record->from_vm_list)
        note_denied_by_list (drain, record->entry);
      else
        note_denied (drains, drain);
    }
  if (record->kind == FAKE_STOPPED)
    lose_touch (drains);
  if (record->kind == FAKE_STARTED)
    forget_entry (drains, record->entry);
  if (record->kind == FAKE_DISPATCHED)
    check_dispatch (drain, verdict, record);
}

void
oracle_drains_sample (oracle_drains_t *drains,
                      const fake_net_t *net,
                      const oracle_reachability_t *reach)
{
  drains->reach = *reach;
  drains->n_entries = net->n_entries;
  for (guint u = 0; u < drains->n_upstreams; u++)
    {
      drain_t *drain = &drains->upstreams[u];
      gboolean draining = net->upstreams[u].draining || net->upstreams[u].leaving;

      if (draining != drain->draining)
        forget (drain);
      drain->draining = draining;
      for (guint i = 0; draining && i < net->n_entries; i++)
        if (!group_knows (drains, drain, i))
          drain->since[i] = NEVER;
        else if (drain->since[i] == NEVER)
          drain->since[i] = fake_net_now (net);
    }
}
