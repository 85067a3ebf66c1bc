#include "oracle-internal.h"

#define NEVER (-1)

/**
 * drain_source_t - from where an entry knows that an upstream drains
 *
 * A report of the upstream does not override the VM list.
 */
typedef enum
{
  DRAIN_SOURCE_NONE,
  DRAIN_SOURCE_UPSTREAM,
  DRAIN_SOURCE_VM_LIST,
} drain_source_t;

/**
 * drain_t - drain of one upstream
 * @draining: whether it drains now
 * @source: source of each entry's own knowledge of the drain
 * @known_since: since when each entry has without interruption known of the drain, or reached an
 *   entry that knew; NEVER if neither
 */
typedef struct
{
  gboolean draining;
  drain_source_t source[FAKE_MAX_ENTRIES];
  anvil_time_t known_since[FAKE_MAX_ENTRIES];
} drain_t;

struct oracle_drains
{
  guint n_upstreams;
  drain_t *upstreams;
  guint n_entries;
  oracle_reachability_t reachability;
};

static void
reset_drain (drain_t *drain)
{
  *drain = (drain_t){ 0 };
  for (guint i = 0; i < FAKE_MAX_ENTRIES; i++)
    drain->known_since[i] = NEVER;
}

oracle_drains_t *
oracle_drains_new (const anvil_config_t *config)
{
  oracle_drains_t *drains = g_new0 (oracle_drains_t, 1);

  drains->n_upstreams = config->n_upstreams;
  drains->upstreams = g_new0 (drain_t, config->n_upstreams);
  for (guint i = 0; i < config->n_upstreams; i++)
    reset_drain (&drains->upstreams[i]);
  return drains;
}

void
oracle_drains_drop (oracle_drains_t *drains)
{
  g_free (drains->upstreams);
  g_free (drains);
}

/* Entries may have learned of a drain only through the one that stopped. The next update
 * determines again which entries reach one that knows. */
static void
reset_indirect (oracle_drains_t *drains)
{
  for (guint u = 0; u < drains->n_upstreams; u++)
    for (guint i = 0; i < FAKE_MAX_ENTRIES; i++)
      if (drains->upstreams[u].source[i] == DRAIN_SOURCE_NONE)
        drains->upstreams[u].known_since[i] = NEVER;
}

static gboolean
group_informed (const oracle_drains_t *drains, const drain_t *drain, guint entry)
{
  for (guint i = 0; i < drains->n_entries; i++)
    if (drains->reachability.group[i] == drains->reachability.group[entry]
        && drain->source[i] != DRAIN_SOURCE_NONE)
      return TRUE;
  return FALSE;
}

static void
record_observed (drain_t *drain, const fake_record_t *record)
{
  drain_source_t source = record->from_vm_list ? DRAIN_SOURCE_VM_LIST : DRAIN_SOURCE_UPSTREAM;

  drain->source[record->entry] = MAX (drain->source[record->entry], source);
  if (drain->known_since[record->entry] == NEVER)
    drain->known_since[record->entry] = record->at;
}

/* A load report that shows no drain, even wrongly, may end what any entry knows from load reports
 * or attempt results. Only entries that know of the drain from the VM list, and those that reach
 * them, must keep to it. */
static void
record_denied (const oracle_drains_t *drains, drain_t *drain)
{
  for (guint i = 0; i < drains->n_entries; i++)
    if (drain->source[i] == DRAIN_SOURCE_UPSTREAM)
      drain->source[i] = DRAIN_SOURCE_NONE;
  for (guint i = 0; i < drains->n_entries; i++)
    if (!group_informed (drains, drain, i))
      drain->known_since[i] = NEVER;
}

/* An entry follows the newest list that it has, which may be older than the drain. Its time starts
 * anew when it next reaches an entry that knows of the drain, as after a restart. */
static void
record_denied_by_list (drain_t *drain, guint entry)
{
  if (drain->source[entry] != DRAIN_SOURCE_VM_LIST)
    return;
  drain->source[entry] = DRAIN_SOURCE_NONE;
  drain->known_since[entry] = NEVER;
}

static void
reset_entry (oracle_drains_t *drains, guint entry)
{
  for (guint i = 0; i < drains->n_upstreams; i++)
    {
      drains->upstreams[i].source[entry] = DRAIN_SOURCE_NONE;
      drains->upstreams[i].known_since[entry] = NEVER;
    }
}

static void
check_dispatch (const drain_t *drain, oracle_failure_t *failure, const fake_record_t *record)
{
  anvil_time_t known_since = drain->known_since[record->entry];

  if (drain->draining && known_since != NEVER && record->at - known_since > ORACLE_DRAIN_BOUND)
    oracle_fail (failure, "drain", "entry %u dispatched to upstream %u, which drains since %.1f s",
                 record->entry, record->upstream,
                 (gdouble) (record->at - known_since) / ANVIL_SECOND);
}

void
oracle_drains_record (oracle_drains_t *drains,
                      oracle_failure_t *failure,
                      const fake_record_t *record)
{
  drain_t *drain = &drains->upstreams[record->upstream];

  if (record->kind == FAKE_DRAIN_OBSERVED && drain->draining)
    record_observed (drain, record);
  if (record->kind == FAKE_DRAIN_DENIED && drain->draining)
    {
      if (record->from_vm_list)
        record_denied_by_list (drain, record->entry);
      else
        record_denied (drains, drain);
    }
  if (record->kind == FAKE_STOPPED)
    reset_indirect (drains);
  if (record->kind == FAKE_STARTED)
    reset_entry (drains, record->entry);
  if (record->kind == FAKE_DISPATCHED)
    check_dispatch (drain, failure, record);
}

void
oracle_drains_update (oracle_drains_t *drains,
                      const fake_net_t *net,
                      const oracle_reachability_t *reachability)
{
  drains->reachability = *reachability;
  drains->n_entries = net->n_entries;
  for (guint u = 0; u < drains->n_upstreams; u++)
    {
      drain_t *drain = &drains->upstreams[u];
      gboolean draining = net->upstreams[u].draining || net->upstreams[u].leaving;

      if (draining != drain->draining)
        reset_drain (drain);
      drain->draining = draining;
      for (guint i = 0; draining && i < net->n_entries; i++)
        if (!group_informed (drains, drain, i))
          drain->known_since[i] = NEVER;
        else if (drain->known_since[i] == NEVER)
          drain->known_since[i] = fake_net_now (net);
    }
}
