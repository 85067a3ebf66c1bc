/* Leases on seats: grant requests to witnesses, their responses, and adoption of seats. */

#include "steer/steer-internal.h"

gboolean
anvil_steer_seat_usable (const anvil_steer_t *steer, anvil_time_t now, guint seat)
{
  const anvil_seat_lease_t *lease = &steer->seats[seat].lease;

  if (steer->options.faults.ignore_term && lease->expires_at > 0)
    return TRUE;
  return anvil_seat_lease_valid (lease, now);
}

gboolean
anvil_steer_renews_seat (const anvil_steer_t *steer, guint seat)
{
  const anvil_seat_state_t *state = &steer->seats[seat];

  return (state->held && !state->releasing) || state->adopting;
}

void
anvil_steer_seats_reset (anvil_steer_t *steer, anvil_time_t now)
{
  guint n = steer->layout->n_seats;

  steer->grants_lost = steer->seats != NULL;
  g_free (steer->seats);
  steer->seats = g_new0 (anvil_seat_state_t, MAX (n, 1u));
  for (guint seat = 0; seat < n; seat++)
    {
      steer->seats[seat].row.seat = (guint16) seat;
      steer->seats[seat].witness_from = now + ANVIL_GRANT_TERM + ANVIL_CLOCK_DRIFT_MARGIN;
    }
  steer->rows_known = FALSE;
  steer->next_rows_read_at = now;
}

/* Whether this entry holds the seat @witness and may make grants as its holder. */
static gboolean
may_act_as_witness (const anvil_steer_t *steer, anvil_time_t now, guint witness)
{
  const anvil_seat_state_t *state = &steer->seats[witness];

  return state->held && !state->releasing && now >= state->witness_from;
}

/* Whether no entry can have been granted the seat before: this witness has made no grant of it, and
 * has not lost any, since both the seat and the witness seat are in their first epoch. */
static gboolean
never_used (const anvil_steer_t *steer,
            const anvil_seat_grant_t *grant,
            guint witness,
            guint64 epoch)
{
  return !steer->grants_lost && grant->grantee == ANVIL_NO_NODE && epoch == 1
         && steer->seats[witness].row.epoch == 1;
}

/* Decides a grant request as one witness. @exclusive_since is the requester's clock at its first
 * grant since which this witness has granted the seat to no other entry, 0 if it never granted it
 * to another. */
static gboolean
decide_grant (anvil_steer_t *steer,
              anvil_time_t now,
              guint witness_index,
              anvil_node_t from,
              const anvil_grant_request_t *request,
              anvil_time_t *exclusive_since)
{
  anvil_seat_state_t *state = &steer->seats[request->seat];
  anvil_seat_grant_t *grant = &state->grants[witness_index];
  guint witness = steer->layout->witnesses[request->seat][witness_index];
  gboolean granted;

  *exclusive_since = 0;
  if (!may_act_as_witness (steer, now, witness))
    return FALSE;
  if (request->generation < steer->generation && !steer->options.faults.ignore_old_generation)
    return FALSE;
  if (request->epoch < state->row.epoch && from != state->row.holder)
    return FALSE;
  if (!anvil_steer_old_leases_expired (steer, now, request->seat)
      && !steer->options.faults.ignore_old_generation)
    return FALSE;

  granted
      = anvil_seat_grant_try_acquire (grant, now, from, request->incarnation, request->requested_at,
                                      never_used (steer, grant, witness, request->epoch));
  *exclusive_since = grant->exclusive_since;
  return granted;
}

static void
handle_lease_change (anvil_steer_t *steer,
                     anvil_time_t now,
                     guint seat,
                     anvil_seat_lease_change_t change)
{
  if (change == ANVIL_SEAT_LEASE_UNCHANGED)
    return;
  if (change == ANVIL_SEAT_LEASE_TAKEN_OVER)
    anvil_steer_block_taken_over_slots (steer, now, seat);
  /* A majority of witnesses has had no grant request from the holder for a whole term. */
  if (steer->seats[seat].adopting)
    {
      const anvil_seat_row_t *row = &steer->seats[seat].row;

      steer->counters.adoptions++;
      anvil_member_table_declare_dead (steer->members, now, row->holder, row->incarnation);
    }
  anvil_steer_dispatch_all_waiting (steer, now);
}

static void
add_grant (anvil_steer_t *steer,
           anvil_time_t now,
           guint seat,
           guint witness_index,
           anvil_time_t requested_at,
           anvil_time_t exclusive_since)
{
  anvil_time_t term_start = steer->options.faults.count_from_answer ? now : requested_at;

  handle_lease_change (steer, now, seat,
                       anvil_seat_lease_add_grant (&steer->seats[seat].lease, steer->layout, now,
                                                   witness_index, term_start, exclusive_since));
}

static void
request_grant (anvil_steer_t *steer, anvil_time_t now, guint seat, guint witness_index)
{
  guint witness = steer->layout->witnesses[seat][witness_index];
  const anvil_seat_row_t *row = &steer->seats[witness].row;
  anvil_message_t message = {
    .kind = ANVIL_MESSAGE_GRANT_REQUEST,
    .grant_request = {
      .seat = (guint16) seat,
      .epoch = steer->seats[seat].row.epoch,
      .incarnation = steer->options.incarnation,
      .generation = steer->generation,
      .requested_at = now,
    },
  };
  anvil_time_t exclusive_since;

  if (steer->seats[witness].held)
    {
      if (decide_grant (steer, now, witness_index, steer->options.node, &message.grant_request,
                        &exclusive_since))
        add_grant (steer, now, seat, witness_index, now, exclusive_since);
      return;
    }
  if (row->holder != ANVIL_NO_NODE && row->holder != steer->options.node)
    anvil_steer_send (steer, row->holder, &message);
}

static void
request_grants (anvil_steer_t *steer, anvil_time_t now, guint seat)
{
  for (guint i = 0; i < steer->layout->n_witnesses; i++)
    request_grant (steer, now, seat, i);
}

/* Adopts a seat as its second witness once the holder's grant has expired without renewal. */
static void
maybe_adopt (anvil_steer_t *steer, anvil_time_t now, guint seat)
{
  anvil_seat_state_t *state = &steer->seats[seat];
  guint adopter;

  if (steer->layout->n_witnesses < ANVIL_MAX_WITNESSES || state->held || state->adopting)
    return;
  adopter = steer->layout->witnesses[seat][1];
  if (state->row.epoch == 0 || !may_act_as_witness (steer, now, adopter))
    return;
  if (now < state->row_changed_at + ANVIL_GRANT_TERM + ANVIL_CLOCK_DRIFT_MARGIN)
    return;
  if (anvil_seat_grant_active (&state->grants[1], now)
      && state->grants[1].grantee != steer->options.node)
    return;
  state->adopting = TRUE;
}

void
anvil_steer_grants_tick (anvil_steer_t *steer, anvil_time_t now)
{
  if (steer->config == NULL || now < steer->next_grants_at)
    return;
  steer->next_grants_at = now + ANVIL_GRANT_RENEW_INTERVAL;
  if (anvil_steer_config_outdated (steer, now))
    return;
  for (guint seat = 0; seat < steer->layout->n_seats; seat++)
    {
      if (!steer->leaving)
        maybe_adopt (steer, now, seat);
      if (anvil_steer_renews_seat (steer, seat))
        request_grants (steer, now, seat);
    }
}

void
anvil_steer_release_lease (anvil_steer_t *steer, anvil_time_t now, guint seat)
{
  anvil_seat_state_t *state = &steer->seats[seat];
  anvil_message_t message = {
    .kind = ANVIL_MESSAGE_GRANT_RELEASE,
    .grant_release = {
      .seat = (guint16) seat,
      .incarnation = steer->options.incarnation,
      .released_at = now,
    },
  };

  state->adopting = FALSE;
  anvil_seat_lease_release (&state->lease, now);
  for (guint i = 0; i < steer->layout->n_witnesses; i++)
    {
      guint witness = steer->layout->witnesses[seat][i];
      anvil_node_t holder = steer->seats[witness].row.holder;

      if (holder == steer->options.node)
        anvil_seat_grant_release (&state->grants[i], now, steer->options.node,
                                  steer->options.incarnation, now);
      else if (holder != ANVIL_NO_NODE)
        anvil_steer_send (steer, holder, &message);
    }
}

void
anvil_steer_stop_adopting (anvil_steer_t *steer, anvil_time_t now, guint seat)
{
  /* Borrowers may start requests until this lease ends, so it has to expire by itself. */
  if (anvil_steer_seat_has_loans (steer, now, seat))
    steer->seats[seat].adopting = FALSE;
  else
    anvil_steer_release_lease (steer, now, seat);
}

void
anvil_steer_receive_grant_request (anvil_steer_t *steer,
                                   anvil_time_t now,
                                   anvil_node_t from,
                                   const anvil_grant_request_t *request)
{
  if (steer->config == NULL || request->seat >= steer->layout->n_seats)
    return;
  anvil_steer_observe_generation (steer, now, request->generation, from);
  /* The holder responds again: stop adopting its seat at once. */
  if (steer->seats[request->seat].adopting && from == steer->seats[request->seat].row.holder
      && request->generation >= steer->generation)
    anvil_steer_stop_adopting (steer, now, request->seat);

  for (guint i = 0; i < steer->layout->n_witnesses; i++)
    {
      guint witness = steer->layout->witnesses[request->seat][i];
      anvil_message_t message = {
        .kind = ANVIL_MESSAGE_GRANT_RESPONSE,
        .grant_response = {
          .seat = request->seat,
          .witness = (guint16) witness,
          .incarnation = request->incarnation,
          .requested_at = request->requested_at,
          .generation = steer->generation,
        },
      };

      if (!steer->seats[witness].held)
        continue;
      message.grant_response.granted
          = decide_grant (steer, now, i, from, request, &message.grant_response.exclusive_since);
      anvil_steer_send (steer, from, &message);
    }
}

void
anvil_steer_receive_grant_response (anvil_steer_t *steer,
                                    anvil_time_t now,
                                    const anvil_grant_response_t *response)
{
  guint index;

  if (steer->config == NULL || response->seat >= steer->layout->n_seats
      || response->witness >= steer->layout->n_seats)
    return;
  if (response->incarnation != steer->options.incarnation || !response->granted)
    return;
  index = anvil_seat_layout_witness_index (steer->layout, response->seat, response->witness);
  if (index == ANVIL_NO_INDEX || !anvil_steer_renews_seat (steer, response->seat))
    return;
  add_grant (steer, now, response->seat, index, response->requested_at, response->exclusive_since);
}

void
anvil_steer_receive_grant_release (anvil_steer_t *steer,
                                   anvil_time_t now,
                                   anvil_node_t from,
                                   const anvil_grant_release_t *release)
{
  if (steer->config == NULL || release->seat >= steer->layout->n_seats)
    return;
  for (guint i = 0; i < steer->layout->n_witnesses; i++)
    {
      guint witness = steer->layout->witnesses[release->seat][i];

      if (steer->seats[witness].held)
        anvil_seat_grant_release (&steer->seats[release->seat].grants[i], now, from,
                                  release->incarnation, release->released_at);
    }
}
