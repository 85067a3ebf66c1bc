#include "steer/member-table.h"

#include <math.h>

/* A member that is dead and in no list gets a heartbeat in one round of this many. */
#define UNLISTED_ROUNDS 4

/* More heartbeats than one entry can have missed of a member before it stopped. */
#define UNSEEN_VERSIONS 1000

anvil_member_table_t *
anvil_member_table_new (anvil_node_t self)
{
  anvil_member_table_t *table = g_new0 (anvil_member_table_t, 1);

  table->self = self;
  table->entries = g_array_new (FALSE, TRUE, sizeof (anvil_tracked_member_t));
  table->by_node = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  return table;
}

void
anvil_member_table_drop (anvil_member_table_t *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->by_node);
  g_array_unref (table->entries);
  g_free (table);
}

guint
anvil_member_table_count (const anvil_member_table_t *table)
{
  return table->entries->len;
}

anvil_tracked_member_t *
anvil_member_table_at (const anvil_member_table_t *table, guint index)
{
  return &g_array_index (table->entries, anvil_tracked_member_t, index);
}

anvil_tracked_member_t *
anvil_member_table_lookup (const anvil_member_table_t *table, anvil_node_t node)
{
  gpointer index;

  if (!g_hash_table_lookup_extended (table->by_node, &node, NULL, &index))
    return NULL;
  return anvil_member_table_at (table, GPOINTER_TO_UINT (index));
}

static void
index_node (anvil_member_table_t *table, guint index)
{
  anvil_node_t *key = g_new (anvil_node_t, 1);

  *key = anvil_member_table_at (table, index)->member.node;
  g_hash_table_replace (table->by_node, key, GUINT_TO_POINTER (index));
}

anvil_tracked_member_t *
anvil_member_table_get_or_add (anvil_member_table_t *table, anvil_time_t now, anvil_node_t node)
{
  anvil_tracked_member_t *entry = anvil_member_table_lookup (table, node);
  anvil_tracked_member_t fresh = { .member = { .node = node }, .updated_at = now };

  if (entry != NULL)
    return entry;
  g_array_append_val (table->entries, fresh);
  index_node (table, table->entries->len - 1);
  return anvil_member_table_at (table, table->entries->len - 1);
}

static gboolean
newer (const anvil_member_t *a, const anvil_member_t *b)
{
  if (a->incarnation != b->incarnation)
    return a->incarnation > b->incarnation;
  if (a->version != b->version)
    return a->version > b->version;
  return a->state > b->state;
}

void
anvil_member_table_mark_changed (anvil_member_table_t *table,
                                 anvil_time_t now,
                                 anvil_tracked_member_t *entry)
{
  entry->updated_at = now;
  entry->sends_left = (guint) ceil (log2 (table->entries->len + 1)) + 2;
}

gboolean
anvil_member_table_merge (anvil_member_table_t *table,
                          anvil_time_t now,
                          const anvil_member_t *member)
{
  anvil_tracked_member_t *entry = anvil_member_table_get_or_add (table, now, member->node);

  if (!newer (member, &entry->member))
    return FALSE;
  entry->member = *member;
  anvil_member_table_mark_changed (table, now, entry);
  return TRUE;
}

anvil_time_t
anvil_member_table_heartbeat_interval (const anvil_member_table_t *table)
{
  guint groups = (table->entries->len + ANVIL_SMALL_GROUP - 1) / ANVIL_SMALL_GROUP;

  return ANVIL_GOSSIP_INTERVAL * MAX (groups, 1u) * MAX (groups, 1u);
}

static void
remove_at (anvil_member_table_t *table, guint index)
{
  g_hash_table_remove (table->by_node, &anvil_member_table_at (table, index)->member.node);
  g_array_remove_index_fast (table->entries, index);
  if (index < table->entries->len)
    index_node (table, index);
}

static void
declare_dead (anvil_member_table_t *table, anvil_time_t now, anvil_tracked_member_t *entry)
{
  entry->member.state = ANVIL_MEMBER_DEAD;
  anvil_member_table_mark_changed (table, now, entry);
}

void
anvil_member_table_declare_dead (anvil_member_table_t *table,
                                 anvil_time_t now,
                                 anvil_node_t node,
                                 guint64 incarnation)
{
  anvil_tracked_member_t *entry = anvil_member_table_lookup (table, node);

  if (entry == NULL || entry->member.incarnation != incarnation
      || entry->member.state == ANVIL_MEMBER_DEAD)
    return;
  /* Others may have had later heartbeats of it than this entry. */
  entry->member.version += UNSEEN_VERSIONS;
  declare_dead (table, now, entry);
}

void
anvil_member_table_expire (anvil_member_table_t *table, anvil_time_t now)
{
  anvil_time_t timeout = ANVIL_MEMBER_TIMEOUT / ANVIL_GOSSIP_INTERVAL
                         * anvil_member_table_heartbeat_interval (table);

  for (guint i = table->entries->len; i-- > 0;)
    {
      anvil_tracked_member_t *entry = anvil_member_table_at (table, i);

      if (entry->member.node == table->self)
        continue;
      if (entry->member.state == ANVIL_MEMBER_DEAD)
        {
          if (!entry->listed && now - entry->updated_at >= ANVIL_MEMBER_FORGET)
            remove_at (table, i);
          continue;
        }
      if (now - entry->updated_at >= timeout)
        {
          declare_dead (table, now, entry);
        }
    }
}

/* A member that is dead and in no list is most likely gone. */
static gboolean
skipped (const anvil_member_table_t *table, const anvil_tracked_member_t *entry)
{
  guint round = table->next / table->entries->len;

  if (entry->member.node == table->self)
    return TRUE;
  return entry->member.state == ANVIL_MEMBER_DEAD && !entry->listed && round % UNLISTED_ROUNDS != 0;
}

anvil_node_t
anvil_member_table_next_target (anvil_member_table_t *table, GRand *random)
{
  guint n = table->entries->len;

  if (n == 0)
    return ANVIL_NO_NODE;
  if (table->next == 0)
    table->next = (guint) g_rand_int_range (random, 0, (gint32) n);
  for (guint i = 0; i < n; i++)
    {
      const anvil_tracked_member_t *entry = anvil_member_table_at (table, table->next % n);
      gboolean skip = skipped (table, entry);

      table->next++;
      if (!skip)
        return entry->member.node;
    }
  return ANVIL_NO_NODE;
}

/* What goes into a heartbeat first. */
typedef enum
{
  RANK_URGENT,
  RANK_NEWS,
  RANK_ANY,
} gossip_rank_t;

static gboolean
already_there (const anvil_gossip_t *gossip, anvil_node_t node)
{
  for (guint i = 0; i < gossip->n_members; i++)
    {
      if (gossip->members[i].node == node)
        return TRUE;
    }
  return FALSE;
}

static void
add_record (anvil_gossip_t *gossip, anvil_tracked_member_t *entry)
{
  if (gossip->n_members == ANVIL_MAX_GOSSIP_MEMBERS || entry->member.incarnation == 0)
    return;
  if (already_there (gossip, entry->member.node))
    return;
  gossip->members[gossip->n_members++] = entry->member;
  if (entry->sends_left > 0)
    entry->sends_left--;
}

/* Adds records from @start on: deaths and departures that are news, then all news, then any. */
static void
add_rank (anvil_member_table_t *table, guint start, gossip_rank_t rank, anvil_gossip_t *gossip)
{
  guint n = table->entries->len;

  for (guint i = 0; i < n && gossip->n_members < ANVIL_MAX_GOSSIP_MEMBERS; i++)
    {
      anvil_tracked_member_t *entry = anvil_member_table_at (table, (start + i) % n);

      if (rank != RANK_ANY && entry->sends_left == 0)
        continue;
      if (rank == RANK_URGENT && entry->member.state == ANVIL_MEMBER_ALIVE)
        continue;
      add_record (gossip, entry);
    }
}

void
anvil_member_table_fill_gossip (anvil_member_table_t *table, GRand *random, anvil_gossip_t *gossip)
{
  anvil_tracked_member_t *self = anvil_member_table_lookup (table, table->self);
  guint n = table->entries->len;
  guint start = n > 0 ? (guint) g_rand_int_range (random, 0, (gint32) n) : 0;

  gossip->n_members = 0;
  if (self != NULL)
    add_record (gossip, self);
  for (guint rank = RANK_URGENT; rank <= RANK_ANY; rank++)
    add_rank (table, start, rank, gossip);
}
