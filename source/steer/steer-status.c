/* Read access to the state of the decision core, for metrics and status pages. */

#include "steer/steer-internal.h"

const char *
anvil_refusal_reason_name (anvil_refusal_reason_t reason)
{
  static const char *const names[] = {
    [ANVIL_REFUSAL_NOT_READY] = "not-ready",
    [ANVIL_REFUSAL_QUEUE_FULL] = "queue-full",
    [ANVIL_REFUSAL_DEADLINE] = "deadline",
    [ANVIL_REFUSAL_NO_UPSTREAM] = "no-upstream",
    [ANVIL_REFUSAL_RETRIES_EXHAUSTED] = "retries",
    [ANVIL_REFUSAL_LEAVING] = "leaving",
    [ANVIL_REFUSAL_OTHER_GENERATION] = "other-generation",
  };

  return names[reason];
}

guint64
anvil_steer_generation (const anvil_steer_t *steer)
{
  return steer->generation;
}

const anvil_config_t *
anvil_steer_config (const anvil_steer_t *steer)
{
  return steer->config;
}

const anvil_steer_counters_t *
anvil_steer_counters (const anvil_steer_t *steer)
{
  return &steer->counters;
}

guint
anvil_steer_request_count (const anvil_steer_t *steer)
{
  return g_hash_table_size (steer->requests);
}

guint
anvil_steer_members (const anvil_steer_t *steer, anvil_member_t *members, guint max_members)
{
  guint n = MIN (max_members, anvil_member_table_count (steer->members));

  for (guint i = 0; i < n; i++)
    members[i] = anvil_member_table_at (steer->members, i)->member;
  return n;
}

gboolean
anvil_steer_seat_status (const anvil_steer_t *steer,
                         anvil_time_t now,
                         guint seat,
                         anvil_seat_status_t *status)
{
  if (steer->layout == NULL || seat >= steer->layout->n_seats)
    return FALSE;
  *status = (anvil_seat_status_t){
    .row = steer->seats[seat].row,
    .usable = anvil_steer_seat_usable (steer, now, seat),
    .adopted = steer->seats[seat].adopting,
  };
  return TRUE;
}

gboolean
anvil_steer_upstream_status (const anvil_steer_t *steer,
                             anvil_time_t now,
                             guint upstream,
                             anvil_upstream_status_t *status)
{
  const anvil_upstream_state_t *state;

  if (steer->config == NULL || upstream >= steer->config->n_upstreams)
    return FALSE;
  state = g_array_index (steer->upstreams_by_index, anvil_upstream_state_t *, upstream);
  *status = (anvil_upstream_status_t){
    .in_flight = state->in_flight,
    .accepting = anvil_steer_upstream_accepting (steer, now, state),
    .draining = steer->config->upstreams[upstream].draining
                || anvil_drain_table_is_draining (steer->drains, state->key),
    .ejected = now < state->ejected_until,
  };
  for (guint i = 0; i < state->n_slots; i++)
    {
      const anvil_slot_t *slot = &state->slots[i];

      status->owned
          += slot->seat != ANVIL_NO_INDEX && anvil_steer_seat_usable (steer, now, slot->seat);
      status->borrowed += slot->borrowed_nonce != 0;
      status->lent += slot->lent_nonce != 0 && now < slot->lent_until;
    }
  return TRUE;
}

gboolean
anvil_steer_link_status (const anvil_steer_t *steer,
                         anvil_time_t now,
                         guint link,
                         anvil_link_status_t *status)
{
  *status = (anvil_link_status_t){ 0 };
  if (steer->config == NULL || link >= steer->config->n_links)
    return FALSE;
  for (guint traffic = 0; traffic < ANVIL_N_TRAFFIC_CLASSES; traffic++)
    {
      const anvil_rate_bucket_t *bucket = g_array_index (steer->link_buckets, anvil_rate_bucket_t *,
                                                         link * ANVIL_N_TRAFFIC_CLASSES + traffic);

      status->share_bits_per_s += anvil_steer_bucket_share (steer, now, bucket);
      status->available_bits += (gint64) bucket->tokens;
      status->used_bits += bucket->total_used;
    }
  return TRUE;
}
