#include "steer/drain-table.h"

/* Number of heartbeats that carry a change with priority. */
#define PRIORITY_HEARTBEATS 16

/**
 * drain_entry_t - the drain state of an upstream
 * @source: who reported the drain
 * @changed_at: when this entry learned of the state, own clock
 * @sends_left: number of heartbeats that still carry the state with priority
 * @last_heartbeat: number of the heartbeat that carried it last
 */
typedef struct
{
  anvil_drain_t drain;
  anvil_drain_source_t source;
  anvil_time_t changed_at;
  guint sends_left;
  guint last_heartbeat;
} drain_entry_t;

anvil_drain_table_t *
anvil_drain_table_new (void)
{
  anvil_drain_table_t *table = g_new0 (anvil_drain_table_t, 1);

  table->by_upstream = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return table;
}

void
anvil_drain_table_drop (anvil_drain_table_t *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->by_upstream);
  g_free (table);
}

static void
store (anvil_drain_table_t *table,
       anvil_time_t now,
       const anvil_drain_t *drain,
       anvil_drain_source_t source)
{
  drain_entry_t *entry = g_new0 (drain_entry_t, 1);

  entry->drain = *drain;
  entry->source = drain->draining ? source : ANVIL_DRAIN_FROM_PEER;
  entry->changed_at = now;
  entry->sends_left = PRIORITY_HEARTBEATS;
  g_hash_table_replace (table->by_upstream, &entry->drain.upstream, entry);
  table->latest_lamport_time = MAX (table->latest_lamport_time, drain->lamport_time);
}

gboolean
anvil_drain_table_observe (anvil_drain_table_t *table,
                           anvil_time_t now,
                           guint64 upstream,
                           anvil_drain_source_t source,
                           gboolean draining)
{
  drain_entry_t *known = g_hash_table_lookup (table->by_upstream, &upstream);
  anvil_drain_t drain = { .upstream = upstream,
                          .lamport_time = table->latest_lamport_time + 1,
                          .draining = draining };

  if (anvil_drain_table_is_draining (table, upstream) != draining)
    {
      store (table, now, &drain, source);
      return TRUE;
    }
  if (known != NULL && draining)
    known->source = MAX (known->source, source);
  return FALSE;
}

gboolean
anvil_drain_table_merge (anvil_drain_table_t *table, anvil_time_t now, const anvil_drain_t *drain)
{
  const drain_entry_t *known = g_hash_table_lookup (table->by_upstream, &drain->upstream);

  /* With equal timestamps, two entries changed the state concurrently; draining wins. */
  if (known != NULL && known->drain.lamport_time > drain->lamport_time)
    return FALSE;
  if (known != NULL && known->drain.lamport_time == drain->lamport_time
      && (known->drain.draining || !drain->draining))
    return FALSE;
  store (table, now, drain, known != NULL ? known->source : ANVIL_DRAIN_FROM_PEER);
  return TRUE;
}

gboolean
anvil_drain_table_is_draining (const anvil_drain_table_t *table, guint64 upstream)
{
  const drain_entry_t *entry = g_hash_table_lookup (table->by_upstream, &upstream);

  return entry != NULL && entry->drain.draining;
}

anvil_drain_source_t
anvil_drain_table_source (const anvil_drain_table_t *table, guint64 upstream)
{
  const drain_entry_t *entry = g_hash_table_lookup (table->by_upstream, &upstream);

  return entry != NULL ? entry->source : ANVIL_DRAIN_FROM_PEER;
}

anvil_time_t
anvil_drain_table_age (const anvil_drain_table_t *table, anvil_time_t now, guint64 upstream)
{
  const drain_entry_t *entry = g_hash_table_lookup (table->by_upstream, &upstream);

  return entry != NULL ? now - entry->changed_at : 0;
}

static void
add_entry (const anvil_drain_table_t *table, anvil_gossip_t *gossip, drain_entry_t *entry)
{
  if (gossip->n_drains == ANVIL_MAX_GOSSIP_DRAINS
      || entry->last_heartbeat == table->heartbeat_number)
    return;
  entry->last_heartbeat = table->heartbeat_number;
  gossip->drains[gossip->n_drains++] = entry->drain;
  if (entry->sends_left > 0)
    entry->sends_left--;
}

/* Adds drains without priority, from index @first to before @end, while there is room. */
static void
add_unchanged (anvil_drain_table_t *table, anvil_gossip_t *gossip, guint first, guint end)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->by_upstream);
  for (guint i = 0; i < end && g_hash_table_iter_next (&iter, NULL, &value); i++)
    {
      drain_entry_t *entry = value;

      if (i >= first && entry->sends_left == 0)
        add_entry (table, gossip, entry);
    }
}

void
anvil_drain_table_fill_gossip (anvil_drain_table_t *table, anvil_gossip_t *gossip)
{
  guint n = g_hash_table_size (table->by_upstream);
  guint start = n > 0 ? ++table->heartbeat_number % n : 0;
  GHashTableIter iter;
  gpointer value;

  gossip->n_drains = 0;
  g_hash_table_iter_init (&iter, table->by_upstream);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      drain_entry_t *entry = value;

      if (entry->sends_left > 0)
        add_entry (table, gossip, entry);
    }

  /* Earlier changes are repeated in turn, for entries that were cut off or started later. */
  add_unchanged (table, gossip, start, n);
  add_unchanged (table, gossip, 0, start);
}
