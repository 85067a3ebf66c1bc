/* Gossip between entries: heartbeats that carry members, seat rows and drains; and the VM list. */

#include <math.h>

#include "steer/steer-internal.h"

/* Number of entries to which a leaving entry sends gossip at once. */
#define LEAVE_FANOUT 8

void
anvil_steer_send (anvil_steer_t *steer, anvil_node_t to, const anvil_message_t *message)
{
  steer->counters.messages_sent++;
  steer->callbacks.send (steer->context, to, message);
}

static void
fill_spare_slots (const anvil_steer_t *steer, anvil_time_t now, anvil_member_t *self)
{
  self->n_spare_slots = 0;
  for (guint i = 0; steer->queues != NULL && i < steer->queues->len; i++)
    {
      const anvil_queue_t *queue = g_array_index (steer->queues, anvil_queue_t *, i);
      guint count;

      if (self->n_spare_slots == ANVIL_MAX_SPARE_SLOT_RECORDS)
        return;
      count = g_sequence_is_empty (queue->waiting)
                  ? anvil_steer_count_free_slots (steer, now, queue)
                  : 0;
      if (count == 0)
        continue;
      self->spare_slots[self->n_spare_slots++] = (anvil_spare_slots_t){
        .service = (guint16) queue->service,
        .half = (guint16) queue->half,
        .n_slots = (guint16) MIN (count, G_MAXUINT16),
      };
    }
}

static guint16
own_load (const anvil_steer_t *steer, anvil_time_t now)
{
  guint busy = g_hash_table_size (steer->requests);
  guint free_slots = 0;

  for (guint i = 0; steer->queues != NULL && i < steer->queues->len; i++)
    free_slots += anvil_steer_count_free_slots (steer, now,
                                                g_array_index (steer->queues, anvil_queue_t *, i));
  if (busy + free_slots == 0)
    return 1000;
  return (guint16) (1000 * (guint64) busy / (busy + free_slots));
}

void
anvil_steer_update_own_member (anvil_steer_t *steer, anvil_time_t now)
{
  anvil_tracked_member_t *self
      = anvil_member_table_get_or_add (steer->members, now, steer->options.node);

  self->member.incarnation = steer->options.incarnation;
  self->member.version++;
  self->member.state = steer->leaving ? ANVIL_MEMBER_LEAVING : ANVIL_MEMBER_ALIVE;
  self->member.zone_hash = anvil_str_hash (steer->options.zone);
  self->member.generation = steer->generation;
  self->member.caller_port = steer->options.caller_port;
  self->member.admin_port = steer->options.admin_port;
  self->member.load_permille = own_load (steer, now);
  fill_spare_slots (steer, now, &self->member);
  anvil_member_table_mark_changed (steer->members, now, self);
}

static void
send_gossip (anvil_steer_t *steer, anvil_node_t to)
{
  anvil_message_t message = { .kind = ANVIL_MESSAGE_GOSSIP };

  anvil_member_table_fill_gossip (steer->members, steer->random, &message.gossip);
  anvil_steer_fill_gossip_rows (steer, &message.gossip);
  anvil_drain_table_fill_gossip (steer->drains, &message.gossip);
  anvil_steer_send (steer, to, &message);
}

static void
gossip_to_peers (anvil_steer_t *steer, guint fanout)
{
  for (guint i = 0; i < fanout; i++)
    {
      anvil_node_t to = anvil_member_table_next_target (steer->members, steer->random);

      if (to != ANVIL_NO_NODE)
        send_gossip (steer, to);
    }
}

void
anvil_steer_gossip_tick (anvil_steer_t *steer, anvil_time_t now)
{
  anvil_member_table_expire (steer->members, now);
  if (now >= steer->next_heartbeat_at)
    {
      steer->next_heartbeat_at = now + anvil_member_table_heartbeat_interval (steer->members);
      anvil_steer_update_own_member (steer, now);
    }
  if (now < steer->next_gossip_at)
    return;
  steer->next_gossip_at = now + ANVIL_GOSSIP_INTERVAL;
  gossip_to_peers (steer, ANVIL_GOSSIP_FANOUT);
}

static void
merge_member (anvil_steer_t *steer, anvil_time_t now, const anvil_member_t *member)
{
  anvil_tracked_member_t *self = anvil_member_table_lookup (steer->members, steer->options.node);

  if (member->node != steer->options.node)
    {
      anvil_member_table_merge (steer->members, now, member);
      return;
    }
  /* Peers believe that this entry is in another state, such as dead: override it with a newer
   * version. */
  if (self != NULL && member->incarnation == self->member.incarnation
      && member->version >= self->member.version && member->state != self->member.state)
    {
      self->member.version = member->version;
      anvil_steer_update_own_member (steer, now);
    }
}

static void
merge_drain (anvil_steer_t *steer, anvil_time_t now, const anvil_drain_t *drain)
{
  anvil_upstream_state_t *upstream = anvil_steer_upstream_state (steer, drain->upstream);

  if (!anvil_drain_table_merge (steer->drains, now, drain) || drain->draining || upstream == NULL)
    return;
  /* The peer that ended the drain may not know what the VM list or the upstream reported. */
  if (upstream->listed_leaving)
    anvil_drain_table_observe (steer->drains, now, drain->upstream, ANVIL_DRAIN_FROM_VM_LIST, TRUE);
  else if (upstream->reported_draining && now - upstream->reported_at < ANVIL_DRAIN_SETTLE_TIME)
    anvil_drain_table_observe (steer->drains, now, drain->upstream, ANVIL_DRAIN_FROM_UPSTREAM,
                               TRUE);
  else
    upstream->warmup_started_at = now;
}

void
anvil_steer_receive_gossip (anvil_steer_t *steer,
                            anvil_time_t now,
                            anvil_node_t from,
                            const anvil_gossip_t *gossip)
{
  for (guint i = 0; i < gossip->n_members; i++)
    merge_member (steer, now, &gossip->members[i]);
  if (gossip->n_members > 0)
    anvil_steer_observe_generation (steer, now, gossip->members[0].generation, from);
  for (guint i = 0; steer->layout != NULL && i < gossip->n_rows; i++)
    anvil_steer_merge_row (steer, now, &gossip->rows[i]);
  for (guint i = 0; i < gossip->n_drains; i++)
    merge_drain (steer, now, &gossip->drains[i]);
}

static void
add_listed_entry (anvil_steer_t *steer, anvil_time_t now, const anvil_vm_t *vm)
{
  anvil_node_t node = anvil_node (vm->address, vm->peer_port);
  anvil_node_t *key = g_new (anvil_node_t, 1);
  anvil_tracked_member_t *entry = anvil_member_table_get_or_add (steer->members, now, node);

  *key = node;
  g_hash_table_add (steer->listed_nodes, key);
  entry->listed = TRUE;
  entry->listed_leaving = vm->leaving;
  steer->self_listed = steer->self_listed || node == steer->options.node;
}

/* State of an upstream's VM in the list. VMs are matched by address, since their names may differ
 * from those in the configuration. */
typedef enum
{
  LIST_ABSENT = 0,
  LIST_PRESENT,
  LIST_LEAVING,
} list_state_t;

static void
add_listed_upstream (anvil_steer_t *steer, const anvil_vm_t *vm)
{
  g_hash_table_insert (steer->listed_upstreams, GUINT_TO_POINTER (vm->address),
                       GUINT_TO_POINTER (vm->leaving ? LIST_LEAVING : LIST_PRESENT));
}

static void
apply_to_upstream (anvil_steer_t *steer, anvil_time_t now, guint index)
{
  anvil_upstream_state_t *upstream
      = g_array_index (steer->upstreams_by_index, anvil_upstream_state_t *, index);
  gconstpointer address = GUINT_TO_POINTER (steer->config->upstreams[index].address);
  list_state_t state = GPOINTER_TO_UINT (g_hash_table_lookup (steer->listed_upstreams, address));

  upstream->listed_leaving = state == LIST_LEAVING;
  if (state == LIST_LEAVING)
    anvil_drain_table_observe (steer->drains, now, upstream->key, ANVIL_DRAIN_FROM_VM_LIST, TRUE);
  else if (state == LIST_PRESENT
           && anvil_drain_table_source (steer->drains, upstream->key) == ANVIL_DRAIN_FROM_VM_LIST)
    anvil_drain_table_observe (steer->drains, now, upstream->key, ANVIL_DRAIN_FROM_VM_LIST, FALSE);
}

void
anvil_steer_apply_vm_list (anvil_steer_t *steer, anvil_time_t now)
{
  for (guint i = 0; i < steer->upstreams_by_index->len; i++)
    apply_to_upstream (steer, now, i);
}

void
anvil_steer_update_vm_list (anvil_steer_t *steer, anvil_time_t now, const anvil_vm_list_t *list)
{
  if (list->version < steer->list_version)
    return;
  steer->list_version = list->version;
  steer->list_received_at = now;
  steer->self_listed = FALSE;
  g_hash_table_remove_all (steer->listed_nodes);
  g_hash_table_remove_all (steer->listed_upstreams);
  for (guint i = 0; i < anvil_member_table_count (steer->members); i++)
    anvil_member_table_at (steer->members, i)->listed = FALSE;

  for (guint i = 0; i < list->n_vms; i++)
    {
      if (list->vms[i].kind == ANVIL_VM_ENTRY)
        add_listed_entry (steer, now, &list->vms[i]);
      else
        add_listed_upstream (steer, &list->vms[i]);
    }
  anvil_steer_apply_vm_list (steer, now);
}

void
anvil_steer_leave (anvil_steer_t *steer, anvil_time_t now)
{
  if (steer->leaving)
    return;
  steer->leaving = TRUE;
  steer->leave_started_at = now;
  if (steer->config != NULL)
    anvil_steer_lookups_reset (steer);
  anvil_steer_update_own_member (steer, now);
  gossip_to_peers (steer, LEAVE_FANOUT);
}
