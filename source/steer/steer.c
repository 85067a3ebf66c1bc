/* The decision core as a whole: creation, periodic work, shutdown, and dispatch of messages. */

#include "steer/steer-internal.h"

/* How long a shutdown waits for the rows that release its seats. */
#define RELEASE_TIMEOUT (2 * ANVIL_SECOND)

static void
drop_old_generation (gpointer data)
{
  anvil_config_drop (((anvil_old_generation_t *) data)->config);
}

anvil_steer_t *
anvil_steer_new (const anvil_steer_options_t *options,
                 const anvil_steer_callbacks_t *callbacks,
                 void *context)
{
  anvil_steer_t *steer = g_new0 (anvil_steer_t, 1);
  const guint64 nonce_seed[] = { options->node, options->incarnation };

  steer->options = *options;
  steer->zone_name = anvil_str_dup (options->zone);
  steer->options.zone = anvil_str (steer->zone_name);
  steer->callbacks = *callbacks;
  steer->context = context;
  steer->random = g_rand_new_with_seed (options->seed);
  steer->zone = ANVIL_NO_INDEX;
  steer->region = ANVIL_NO_INDEX;
  steer->retry_budget.tokens = ANVIL_RETRY_BURST;
  /* Responses to loan requests of an earlier incarnation must not match requests of this one. */
  steer->next_nonce = anvil_str_hash (
      (anvil_str_t){ .data = (const char *) nonce_seed, .length = sizeof nonce_seed });
  steer->zone_hashes = g_array_new (FALSE, FALSE, sizeof (guint64));
  steer->lookups = g_array_new (FALSE, TRUE, sizeof (anvil_cached_lookup_t));
  steer->members = anvil_member_table_new (options->node);
  steer->drains = anvil_drain_table_new ();
  steer->old_generations = g_array_new (FALSE, FALSE, sizeof (anvil_old_generation_t));
  g_array_set_clear_func (steer->old_generations, drop_old_generation);
  steer->old_layouts = g_array_new (FALSE, FALSE, sizeof (anvil_old_layout_t));
  g_array_set_clear_func (steer->old_layouts, anvil_old_layout_drop);
  steer->old_layout_rows = g_array_new (FALSE, TRUE, sizeof (anvil_seat_row_t));
  steer->listed_nodes = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  steer->listed_upstreams = g_hash_table_new (NULL, NULL);
  steer->upstreams = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  steer->upstreams_by_index = g_array_new (FALSE, FALSE, sizeof (anvil_upstream_state_t *));
  steer->buckets = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  steer->link_buckets = g_array_new (FALSE, FALSE, sizeof (gpointer));
  steer->shift_buckets = g_array_new (FALSE, FALSE, sizeof (gpointer));
  steer->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  steer->pending_loans = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  anvil_loan_backoffs_open (&steer->loan_backoffs);
  return steer;
}

void
anvil_steer_drop (anvil_steer_t *steer)
{
  if (steer == NULL)
    return;
  for (guint i = 0; steer->queues != NULL && i < steer->queues->len; i++)
    anvil_queue_drop (g_array_index (steer->queues, anvil_queue_t *, i));
  g_clear_pointer (&steer->queues, g_array_unref);
  anvil_loan_backoffs_close (&steer->loan_backoffs);
  g_hash_table_unref (steer->pending_loans);
  g_hash_table_unref (steer->requests);
  g_array_unref (steer->shift_buckets);
  g_array_unref (steer->link_buckets);
  g_hash_table_unref (steer->buckets);
  g_array_unref (steer->upstreams_by_index);
  g_hash_table_unref (steer->upstreams);
  g_hash_table_unref (steer->listed_upstreams);
  g_hash_table_unref (steer->listed_nodes);
  g_array_unref (steer->old_generations);
  g_array_unref (steer->old_layouts);
  g_array_unref (steer->old_layout_rows);
  g_array_unref (steer->lookups);
  g_array_unref (steer->zone_hashes);
  anvil_drain_table_drop (steer->drains);
  anvil_member_table_drop (steer->members);
  anvil_seat_layout_drop (steer->layout);
  anvil_config_drop (steer->config);
  g_free (steer->seats);
  g_rand_free (steer->random);
  g_free (steer->zone_name);
  g_free (steer);
}

/* Releases the seats once no requests are left, so that other entries can claim them at once. */
static void
leave_tick (anvil_steer_t *steer, anvil_time_t now)
{
  if (steer->leaving && steer->config != NULL && anvil_steer_request_count (steer) == 0
      && now >= steer->leave_started_at + ANVIL_LOOKUP_TTL)
    anvil_steer_release_seats (steer, now);
}

void
anvil_steer_tick (anvil_steer_t *steer, anvil_time_t now)
{
  anvil_steer_rows_tick (steer, now);
  anvil_steer_grants_tick (steer, now);
  anvil_steer_gossip_tick (steer, now);
  anvil_steer_retire_old_generations (steer, now);
  anvil_steer_loans_tick (steer, now);
  anvil_steer_requests_tick (steer, now);
  leave_tick (steer, now);
}

gboolean
anvil_steer_leave_complete (const anvil_steer_t *steer, anvil_time_t now)
{
  if (!steer->leaving || anvil_steer_request_count (steer) > 0
      || now < steer->leave_started_at + ANVIL_LOOKUP_TTL)
    return FALSE;
  if (steer->config == NULL || now >= steer->leave_started_at + ANVIL_LOOKUP_TTL + RELEASE_TIMEOUT)
    return TRUE;
  for (guint seat = 0; seat < steer->layout->n_seats; seat++)
    {
      if (steer->seats[seat].held)
        return FALSE;
    }
  return TRUE;
}

void
anvil_steer_receive (anvil_steer_t *steer,
                     anvil_time_t now,
                     anvil_node_t from,
                     const anvil_message_t *message)
{
  switch (message->kind)
    {
    case ANVIL_MESSAGE_GOSSIP:
      anvil_steer_receive_gossip (steer, now, from, &message->gossip);
      return;
    case ANVIL_MESSAGE_GRANT_REQUEST:
      anvil_steer_receive_grant_request (steer, now, from, &message->grant_request);
      return;
    case ANVIL_MESSAGE_GRANT_RESPONSE:
      anvil_steer_observe_generation (steer, now, message->grant_response.generation, from);
      anvil_steer_receive_grant_response (steer, now, &message->grant_response);
      return;
    case ANVIL_MESSAGE_GRANT_RELEASE:
      anvil_steer_receive_grant_release (steer, now, from, &message->grant_release);
      return;
    case ANVIL_MESSAGE_LOAN_REQUEST:
      anvil_steer_receive_loan_request (steer, now, from, &message->loan_request);
      return;
    case ANVIL_MESSAGE_LOAN_RESPONSE:
      anvil_steer_receive_loan_response (steer, now, from, &message->loan_response);
      return;
    case ANVIL_MESSAGE_LOAN_RETURN:
      anvil_steer_receive_loan_return (steer, now, from, &message->loan_return);
      return;
    }
}
