#include "steer/member-table.h"

#include <math.h>

/* A dead member that the platform's VM list lacks gets a heartbeat in one round of this many. */
#define UNLISTED_DEAD_ROUND_INTERVAL 4

/* Added to the version of a record whose process is declared dead: more versions than this entry
 * can have missed of it. */
#define DEAD_VERSION_INCREMENT 1000

anvil_member_table_t *
anvil_member_table_new (anvil_node_t self)
{
  anvil_member_table_t *table = g_new0 (anvil_member_table_t, 1);

  table->self = self;
  table->members = g_array_new (FALSE, TRUE, sizeof (anvil_tracked_member_t));
  table->by_node = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  return table;
}

void
anvil_member_table_drop (anvil_member_table_t *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->by_node);
  g_array_unref (table->members);
  g_free (table);
}

guint
anvil_member_table_count (const anvil_member_table_t *table)
{
  return table->members->len;
}

anvil_tracked_member_t *
anvil_member_table_at (const anvil_member_table_t *table, guint index)
{
  return &g_array_index (table->members, anvil_tracked_member_t, index);
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
  anvil_tracked_member_t *tracked = anvil_member_table_lookup (table, node);
  anvil_tracked_member_t added = { .member = { .node = node }, .updated_at = now };

  if (tracked != NULL)
    return tracked;
  g_array_append_val (table->members, added);
  index_node (table, table->members->len - 1);
  return anvil_member_table_at (table, table->members->len - 1);
}

static gboolean
is_newer (const anvil_member_t *a, const anvil_member_t *b)
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
                                 anvil_tracked_member_t *tracked)
{
  tracked->updated_at = now;
  tracked->sends_left = (guint) ceil (log2 (table->members->len + 1)) + 2;
}

gboolean
anvil_member_table_merge (anvil_member_table_t *table,
                          anvil_time_t now,
                          const anvil_member_t *member)
{
  anvil_tracked_member_t *tracked = anvil_member_table_get_or_add (table, now, member->node);

  if (!is_newer (member, &tracked->member))
    return FALSE;
  tracked->member = *member;
  anvil_member_table_mark_changed (table, now, tracked);
  return TRUE;
}

anvil_time_t
anvil_member_table_heartbeat_interval (const anvil_member_table_t *table)
{
  guint n_small_groups
      = (table->members->len + ANVIL_SMALL_GROUP_MEMBERS - 1) / ANVIL_SMALL_GROUP_MEMBERS;

  return ANVIL_GOSSIP_INTERVAL * MAX (n_small_groups, 1u) * MAX (n_small_groups, 1u);
}

static void
remove_at (anvil_member_table_t *table, guint index)
{
  g_hash_table_remove (table->by_node, &anvil_member_table_at (table, index)->member.node);
  g_array_remove_index_fast (table->members, index);
  if (index < table->members->len)
    index_node (table, index);
}

static void
declare_dead (anvil_member_table_t *table, anvil_time_t now, anvil_tracked_member_t *tracked)
{
  tracked->member.state = ANVIL_MEMBER_DEAD;
  anvil_member_table_mark_changed (table, now, tracked);
}

void
anvil_member_table_declare_dead (anvil_member_table_t *table,
                                 anvil_time_t now,
                                 anvil_node_t node,
                                 guint64 incarnation)
{
  anvil_tracked_member_t *tracked = anvil_member_table_lookup (table, node);

  if (tracked == NULL || tracked->member.incarnation != incarnation
      || tracked->member.state == ANVIL_MEMBER_DEAD)
    return;
  /* Other entries may have received later heartbeats of the member than this one. */
  tracked->member.version += DEAD_VERSION_INCREMENT;
  declare_dead (table, now, tracked);
}

void
anvil_member_table_expire (anvil_member_table_t *table, anvil_time_t now)
{
  anvil_time_t timeout = ANVIL_MEMBER_DEAD_TIMEOUT / ANVIL_GOSSIP_INTERVAL
                         * anvil_member_table_heartbeat_interval (table);

  for (guint i = table->members->len; i-- > 0;)
    {
      anvil_tracked_member_t *tracked = anvil_member_table_at (table, i);

      if (tracked->member.node == table->self)
        continue;
      if (tracked->member.state == ANVIL_MEMBER_DEAD)
        {
          if (!tracked->listed && now - tracked->updated_at >= ANVIL_MEMBER_REMOVE_TIMEOUT)
            remove_at (table, i);
          continue;
        }
      if (now - tracked->updated_at >= timeout)
        {
          declare_dead (table, now, tracked);
        }
    }
}

/* Whether a member gets no heartbeat in this round. A dead member that is not in the platform's VM
 * list is most likely gone for good. */
static gboolean
should_skip (const anvil_member_table_t *table, const anvil_tracked_member_t *tracked)
{
  guint round = table->next_target / table->members->len;

  if (tracked->member.node == table->self)
    return TRUE;
  return tracked->member.state == ANVIL_MEMBER_DEAD && !tracked->listed
         && round % UNLISTED_DEAD_ROUND_INTERVAL != 0;
}

anvil_node_t
anvil_member_table_next_target (anvil_member_table_t *table, GRand *random)
{
  guint n = table->members->len;

  if (n == 0)
    return ANVIL_NO_NODE;
  if (table->next_target == 0)
    table->next_target = (guint) g_rand_int_range (random, 0, (gint32) n);
  for (guint i = 0; i < n; i++)
    {
      const anvil_tracked_member_t *tracked = anvil_member_table_at (table, table->next_target % n);
      gboolean skip = should_skip (table, tracked);

      table->next_target++;
      if (!skip)
        return tracked->member.node;
    }
  return ANVIL_NO_NODE;
}

/* Order in which records are put into a heartbeat: changes that are deaths or departures, other
 * changes, unchanged records. */
typedef enum
{
  PRIORITY_URGENT,
  PRIORITY_CHANGED,
  PRIORITY_ANY,
} gossip_priority_t;

static gboolean
contains_member (const anvil_gossip_t *gossip, anvil_node_t node)
{
  for (guint i = 0; i < gossip->n_members; i++)
    {
      if (gossip->members[i].node == node)
        return TRUE;
    }
  return FALSE;
}

static void
add_record (anvil_gossip_t *gossip, anvil_tracked_member_t *tracked)
{
  if (gossip->n_members == ANVIL_MAX_GOSSIP_MEMBERS || tracked->member.incarnation == 0)
    return;
  if (contains_member (gossip, tracked->member.node))
    return;
  gossip->members[gossip->n_members++] = tracked->member;
  if (tracked->sends_left > 0)
    tracked->sends_left--;
}

/* Adds the records of one priority, beginning at index @start. */
static void
add_by_priority (anvil_member_table_t *table,
                 guint start,
                 gossip_priority_t priority,
                 anvil_gossip_t *gossip)
{
  guint n = table->members->len;

  for (guint i = 0; i < n && gossip->n_members < ANVIL_MAX_GOSSIP_MEMBERS; i++)
    {
      anvil_tracked_member_t *tracked = anvil_member_table_at (table, (start + i) % n);

      if (priority != PRIORITY_ANY && tracked->sends_left == 0)
        continue;
      if (priority == PRIORITY_URGENT && tracked->member.state == ANVIL_MEMBER_ALIVE)
        continue;
      add_record (gossip, tracked);
    }
}

void
anvil_member_table_fill_gossip (anvil_member_table_t *table, GRand *random, anvil_gossip_t *gossip)
{
  anvil_tracked_member_t *self = anvil_member_table_lookup (table, table->self);
  guint n = table->members->len;
  guint start = n > 0 ? (guint) g_rand_int_range (random, 0, (gint32) n) : 0;

  gossip->n_members = 0;
  if (self != NULL)
    add_record (gossip, self);
  for (guint priority = PRIORITY_URGENT; priority <= PRIORITY_ANY; priority++)
    add_by_priority (table, start, priority, gossip);
}
