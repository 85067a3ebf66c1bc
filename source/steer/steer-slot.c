/* Slots of upstreams: which seat owns each, and whether a request may start in it. Also ejection of
 * upstreams and their health reports. */

#include "steer/steer-internal.h"

anvil_upstream_state_t *
anvil_steer_upstream_state (const anvil_steer_t *steer, guint64 key)
{
  return g_hash_table_lookup (steer->upstreams, &key);
}

anvil_time_t
anvil_steer_max_request_time (const anvil_steer_t *steer, const anvil_upstream_state_t *upstream)
{
  if (upstream->index == ANVIL_NO_INDEX)
    return 0;
  return steer->config->services[steer->config->upstreams[upstream->index].service].deadline;
}

static gboolean
is_lent (const anvil_steer_t *steer, anvil_time_t now, const anvil_slot_t *slot)
{
  return slot->lent_nonce != 0 && now < slot->lent_until
         && !steer->options.faults.ignore_lent_slots;
}

gboolean
anvil_steer_owned_slot_free (const anvil_steer_t *steer, anvil_time_t now, const anvil_slot_t *slot)
{
  if (slot->seat == ANVIL_NO_INDEX || slot->request != 0 || slot->borrowed_nonce != 0)
    return FALSE;
  if (now < slot->busy_until || is_lent (steer, now, slot))
    return FALSE;
  return anvil_steer_seat_usable (steer, now, slot->seat);
}

static gboolean
borrowed_slot_free (const anvil_steer_t *steer, anvil_time_t now, const anvil_slot_t *slot)
{
  if (slot->borrowed_nonce == 0 || slot->request != 0 || now < slot->busy_until)
    return FALSE;
  return now < slot->borrowed_until || steer->options.faults.ignore_loan_term;
}

gboolean
anvil_steer_slot_free (const anvil_steer_t *steer, anvil_time_t now, const anvil_slot_t *slot)
{
  return anvil_steer_owned_slot_free (steer, now, slot) || borrowed_slot_free (steer, now, slot);
}

gboolean
anvil_steer_upstream_accepting (const anvil_steer_t *steer,
                                anvil_time_t now,
                                const anvil_upstream_state_t *upstream)
{
  if (upstream->index == ANVIL_NO_INDEX)
    return FALSE;
  if (!steer->options.faults.ignore_drain)
    {
      if (steer->config->upstreams[upstream->index].draining)
        return FALSE;
      if (anvil_drain_table_is_draining (steer->drains, upstream->key))
        return FALSE;
    }
  if (now < upstream->ejected_until || now < upstream->backoff_until)
    return FALSE;
  return upstream->in_flight < anvil_upstream_warmup_slots (upstream, now);
}

guint
anvil_steer_count_free_slots (const anvil_steer_t *steer,
                              anvil_time_t now,
                              const anvil_queue_t *queue)
{
  guint count = 0;

  for (guint i = 0; i < queue->upstreams->len; i++)
    {
      const anvil_upstream_state_t *upstream
          = g_array_index (queue->upstreams, anvil_upstream_state_t *, i);

      if (!anvil_steer_upstream_accepting (steer, now, upstream))
        continue;
      for (guint slot = 0; slot < upstream->n_slots; slot++)
        count += anvil_steer_owned_slot_free (steer, now, &upstream->slots[slot]);
    }
  return count;
}

gboolean
anvil_steer_seat_has_loans (const anvil_steer_t *steer, anvil_time_t now, guint seat)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, steer->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const anvil_upstream_state_t *upstream = value;

      for (guint i = 0; i < upstream->n_slots; i++)
        {
          const anvil_slot_t *slot = &upstream->slots[i];

          if (slot->seat == seat && slot->lent_nonce != 0 && now < slot->lent_until)
            return TRUE;
        }
    }
  return FALSE;
}

void
anvil_steer_block_taken_over_slots (anvil_steer_t *steer, anvil_time_t now, guint seat)
{
  GHashTableIter iter;
  gpointer value;

  if (steer->options.faults.ignore_busy_after_takeover)
    return;
  g_hash_table_iter_init (&iter, steer->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      anvil_upstream_state_t *upstream = value;
      anvil_time_t until
          = now + anvil_steer_max_request_time (steer, upstream) + ANVIL_REQUEST_END_MARGIN;

      for (guint i = 0; i < upstream->n_slots; i++)
        {
          if (upstream->slots[i].seat == seat)
            upstream->slots[i].busy_until = MAX (upstream->slots[i].busy_until, until);
        }
    }
}

/* Seat that owns a slot under one configuration; ANVIL_NO_INDEX if it has no such slot. */
static guint
owner_under (const anvil_steer_t *steer,
             const anvil_config_t *config,
             const anvil_upstream_state_t *upstream,
             guint slot)
{
  guint index = anvil_config_lookup_upstream_key (config, upstream->key);

  if (index == ANVIL_NO_INDEX || slot >= config->upstreams[index].slots)
    return ANVIL_NO_INDEX;
  return anvil_seat_layout_slot_owner (steer->layout, anvil_config_upstream_region (config, index),
                                       upstream->key, slot);
}

/* Seat that owns a slot under all configurations that may be in force somewhere, or ANVIL_NO_INDEX.
 */
static guint
agreed_owner (const anvil_steer_t *steer, const anvil_upstream_state_t *upstream, guint slot)
{
  guint owner = owner_under (steer, steer->config, upstream, slot);

  for (guint i = 0; i < steer->old_generations->len && !steer->options.faults.ignore_old_generation;
       i++)
    {
      const anvil_config_t *old
          = g_array_index (steer->old_generations, anvil_old_generation_t, i).config;
      guint old_owner = owner_under (steer, old, upstream, slot);

      if (old_owner != ANVIL_NO_INDEX && old_owner != owner)
        return ANVIL_NO_INDEX;
    }
  return owner;
}

static void
assign_upstream (anvil_steer_t *steer,
                 anvil_time_t now,
                 anvil_upstream_state_t *upstream,
                 gboolean first)
{
  anvil_time_t until = now + ANVIL_LOAN_TERM + anvil_steer_max_request_time (steer, upstream)
                       + ANVIL_REQUEST_END_MARGIN;

  for (guint i = 0; i < upstream->n_slots; i++)
    {
      anvil_slot_t *slot = &upstream->slots[i];
      guint owner
          = upstream->index != ANVIL_NO_INDEX ? agreed_owner (steer, upstream, i) : ANVIL_NO_INDEX;

      /* Requests of the previous owner, or of its borrowers, may still run in the slot. */
      if (owner != slot->seat && owner != ANVIL_NO_INDEX && !first)
        slot->busy_until = MAX (slot->busy_until, until);
      slot->seat = owner;
    }
}

void
anvil_steer_slots_assign (anvil_steer_t *steer, anvil_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, steer->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    assign_upstream (steer, now, value, FALSE);
}

static anvil_upstream_state_t *
new_upstream (anvil_steer_t *steer, anvil_time_t now, const anvil_upstream_t *upstream)
{
  anvil_upstream_state_t *state = g_new0 (anvil_upstream_state_t, 1);

  state->key = upstream->key;
  state->index = ANVIL_NO_INDEX;
  for (guint i = 0; i < ANVIL_MAX_SLOTS; i++)
    state->slots[i].seat = ANVIL_NO_INDEX;
  /* Under the first configuration all upstreams are new; warming all up would leave no capacity. */
  if (steer->configured_at != now)
    state->warmup_started_at = now;
  g_hash_table_insert (steer->upstreams, &state->key, state);
  return state;
}

static void
clear_indexes (anvil_steer_t *steer)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, steer->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((anvil_upstream_state_t *) value)->index = ANVIL_NO_INDEX;
  g_array_set_size (steer->upstreams_by_index, 0);
}

void
anvil_steer_slots_configure (anvil_steer_t *steer, anvil_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  clear_indexes (steer);
  for (guint i = 0; i < steer->config->n_upstreams; i++)
    {
      const anvil_upstream_t *upstream = &steer->config->upstreams[i];
      anvil_upstream_state_t *state = anvil_steer_upstream_state (steer, upstream->key);

      if (state == NULL)
        state = new_upstream (steer, now, upstream);
      state->index = i;
      state->n_slots = MAX (state->n_slots, upstream->slots);
      g_array_append_val (steer->upstreams_by_index, state);
    }
  g_hash_table_iter_init (&iter, steer->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    assign_upstream (steer, now, value, steer->configured_at == now);
}

/* Whether at most half of an upstream's service, half and region is ejected, including this one. */
static gboolean
may_eject (const anvil_steer_t *steer, anvil_time_t now, const anvil_upstream_state_t *upstream)
{
  const anvil_upstream_t *self = &steer->config->upstreams[upstream->index];
  guint alike = 0;
  guint ejected = 0;

  for (guint i = 0; i < steer->upstreams_by_index->len; i++)
    {
      const anvil_upstream_t *other = &steer->config->upstreams[i];

      if (other->service != self->service || other->half != self->half)
        continue;
      if (anvil_config_upstream_region (steer->config, i)
          != anvil_config_upstream_region (steer->config, upstream->index))
        continue;
      alike++;
      ejected += now < g_array_index (steer->upstreams_by_index, anvil_upstream_state_t *, i)
                           ->ejected_until;
    }
  return 2 * (ejected + 1) <= alike;
}

void
anvil_steer_upstream_failed (anvil_steer_t *steer,
                             anvil_time_t now,
                             anvil_upstream_state_t *upstream)
{
  if (!anvil_upstream_record_failure (upstream) || upstream->index == ANVIL_NO_INDEX
      || !may_eject (steer, now, upstream))
    return;
  anvil_upstream_eject (upstream, now);
  steer->counters.ejections++;
}

/* Whether a health report of no drain ends a known drain. Reports may be stale, and an upstream may
 * not know that the platform is removing its VM. So a report only ends a drain that the upstream
 * itself reported long ago, or an old one known from peers while a recent VM list doesn't confirm
 * it. */
static gboolean
may_end_drain (const anvil_steer_t *steer,
               anvil_time_t now,
               anvil_time_t requested_at,
               const anvil_upstream_state_t *upstream)
{
  anvil_time_t age = anvil_drain_table_age (steer->drains, requested_at, upstream->key);

  if (upstream->listed_leaving)
    return FALSE;
  switch (anvil_drain_table_source (steer->drains, upstream->key))
    {
    case ANVIL_DRAIN_FROM_UPSTREAM:
      return age >= ANVIL_DRAIN_SETTLE_TIME;
    case ANVIL_DRAIN_FROM_VM_LIST:
      return FALSE;
    case ANVIL_DRAIN_FROM_PEER:
      return age >= ANVIL_DRAIN_PEER_ONLY_TIMEOUT
             && now - steer->list_received_at < ANVIL_DRAIN_SETTLE_TIME;
    }
  return FALSE;
}

void
anvil_steer_health_report (anvil_steer_t *steer,
                           anvil_time_t now,
                           guint64 upstream,
                           anvil_time_t requested_at,
                           guint running,
                           gboolean healthy,
                           gboolean draining)
{
  anvil_upstream_state_t *state = anvil_steer_upstream_state (steer, upstream);

  if (state == NULL)
    return;
  state->unhealthy = !healthy;
  state->reported_draining = draining;
  state->reported_at = requested_at;
  if (!draining && !may_end_drain (steer, now, requested_at, state))
    return;
  if (anvil_drain_table_observe (steer->drains, now, upstream, ANVIL_DRAIN_FROM_UPSTREAM, draining)
      && !draining)
    state->warmup_started_at = now;
}
