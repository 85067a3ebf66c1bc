/* The right to use seats: questions to witnesses, their answers, adoption. */

#include "steer/steer-internal.h"

gboolean
anvil_steer_seat_usable (const anvil_steer_t *steer, anvil_time_t now, guint seat)
{
  const anvil_seat_lease_t *right = &steer->seats[seat].right;

  if (steer->options.faults.ignore_term && right->expires_at > 0)
    return TRUE;
  return anvil_seat_lease_valid (right, now);
}

gboolean
anvil_steer_wants_seat (const anvil_steer_t *steer, guint seat)
{
  const anvil_seat_state_t *state = &steer->seats[seat];

  return (state->holding && !state->releasing) || state->adopting;
}

void
anvil_steer_seats_reset (anvil_steer_t *steer, anvil_time_t now)
{
  guint n = steer->layout->n_seats;

  steer->forgot_grants = steer->seats != NULL;
  g_free (steer->seats);
  steer->seats = g_new0 (anvil_seat_state_t, MAX (n, 1u));
  for (guint seat = 0; seat < n; seat++)
    {
      steer->seats[seat].row.seat = (guint16) seat;
      steer->seats[seat].duty_from = now + ANVIL_GRANT_TERM + ANVIL_CLOCK_DRIFT_MARGIN;
    }
  steer->rows_known = FALSE;
  steer->rows_next = now;
}

/* Whether this entry answers as the witness that @witness is. */
static gboolean
on_duty (const anvil_steer_t *steer, anvil_time_t now, guint witness)
{
  const anvil_seat_state_t *state = &steer->seats[witness];

  return state->holding && !state->releasing && now >= state->duty_from;
}

/* A witness that was there from the first epoch on knows of every user. */
static gboolean
never_used (const anvil_steer_t *steer, const anvil_grant_t *grant, guint witness, guint64 epoch)
{
  return !steer->forgot_grants && grant->grantee == ANVIL_NO_NODE && epoch == 1
         && steer->seats[witness].row.epoch == 1;
}

/* Answers one question in the role of one witness; @since gets what the answer says of other users.
 */
static gboolean
answer_as (anvil_steer_t *steer,
           anvil_time_t now,
           guint witness_index,
           anvil_node_t from,
           const anvil_grant_request_t *ask,
           anvil_time_t *since)
{
  anvil_seat_state_t *state = &steer->seats[ask->seat];
  anvil_grant_t *grant = &state->given[witness_index];
  guint witness = steer->layout->witnesses[ask->seat][witness_index];
  gboolean granted;

  *since = 0;
  if (!on_duty (steer, now, witness))
    return FALSE;
  if (ask->generation < steer->generation && !steer->options.faults.ignore_old_generation)
    return FALSE;
  if (ask->epoch < state->row.epoch && from != state->row.holder)
    return FALSE;
  if (!anvil_steer_former_ended (steer, now, ask->seat)
      && !steer->options.faults.ignore_old_generation)
    return FALSE;

  granted = anvil_grant_try_acquire (grant, now, from, ask->incarnation, ask->requested_at,
                                     never_used (steer, grant, witness, ask->epoch));
  *since = grant->exclusive_since;
  return granted;
}

static void
right_changed (anvil_steer_t *steer, anvil_time_t now, guint seat, anvil_seat_lease_change_t change)
{
  if (change == ANVIL_SEAT_LEASE_UNCHANGED)
    return;
  if (change == ANVIL_SEAT_LEASE_TAKEN_OVER)
    anvil_steer_slots_taken_over (steer, now, seat);
  /* Two witnesses have heard nothing of the holder for a term. */
  if (steer->seats[seat].adopting)
    {
      const anvil_seat_row_t *row = &steer->seats[seat].row;

      steer->counters.adoptions++;
      anvil_member_table_declare_dead (steer->members, now, row->holder, row->incarnation);
    }
  anvil_steer_pump_all (steer, now);
}

static void
count_grant (anvil_steer_t *steer,
             anvil_time_t now,
             guint seat,
             guint witness_index,
             anvil_time_t asked_at,
             anvil_time_t unbroken)
{
  anvil_time_t from = steer->options.faults.count_from_answer ? now : asked_at;

  right_changed (steer, now, seat,
                 anvil_seat_lease_add_grant (&steer->seats[seat].right, steer->layout, now,
                                             witness_index, from, unbroken));
}

static void
ask_witness (anvil_steer_t *steer, anvil_time_t now, guint seat, guint witness_index)
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
  anvil_time_t since;

  if (steer->seats[witness].holding)
    {
      if (answer_as (steer, now, witness_index, steer->options.node, &message.grant_request,
                     &since))
        count_grant (steer, now, seat, witness_index, now, since);
      return;
    }
  if (row->holder != ANVIL_NO_NODE && row->holder != steer->options.node)
    anvil_steer_send (steer, row->holder, &message);
}

static void
ask_witnesses (anvil_steer_t *steer, anvil_time_t now, guint seat)
{
  for (guint i = 0; i < steer->layout->n_witnesses; i++)
    ask_witness (steer, now, seat, i);
}

/* The second witness adopts a seat whose user has stopped asking. */
static void
consider_adoption (anvil_steer_t *steer, anvil_time_t now, guint seat)
{
  anvil_seat_state_t *state = &steer->seats[seat];
  guint adopter;

  if (steer->layout->n_witnesses < ANVIL_MAX_WITNESSES || state->holding || state->adopting)
    return;
  adopter = steer->layout->witnesses[seat][1];
  if (state->row.epoch == 0 || !on_duty (steer, now, adopter))
    return;
  if (now < state->row_since + ANVIL_GRANT_TERM + ANVIL_CLOCK_DRIFT_MARGIN)
    return;
  if (anvil_grant_active (&state->given[1], now) && state->given[1].grantee != steer->options.node)
    return;
  state->adopting = TRUE;
}

void
anvil_steer_grants_tick (anvil_steer_t *steer, anvil_time_t now)
{
  if (steer->config == NULL || now < steer->grants_next)
    return;
  steer->grants_next = now + ANVIL_GRANT_RENEW_INTERVAL;
  if (anvil_steer_stale (steer, now))
    return;
  for (guint seat = 0; seat < steer->layout->n_seats; seat++)
    {
      if (!steer->leaving)
        consider_adoption (steer, now, seat);
      if (anvil_steer_wants_seat (steer, seat))
        ask_witnesses (steer, now, seat);
    }
}

void
anvil_steer_release_right (anvil_steer_t *steer, anvil_time_t now, guint seat)
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
  anvil_seat_lease_release (&state->right, now);
  for (guint i = 0; i < steer->layout->n_witnesses; i++)
    {
      guint witness = steer->layout->witnesses[seat][i];
      anvil_node_t holder = steer->seats[witness].row.holder;

      if (holder == steer->options.node)
        anvil_grant_release (&state->given[i], now, steer->options.node, steer->options.incarnation,
                             now);
      else if (holder != ANVIL_NO_NODE)
        anvil_steer_send (steer, holder, &message);
    }
}

void
anvil_steer_give_up_seat (anvil_steer_t *steer, anvil_time_t now, guint seat)
{
  /* Work under a loan may start up to the end of this right, which then has to run out. */
  if (anvil_steer_seat_lent (steer, now, seat))
    steer->seats[seat].adopting = FALSE;
  else
    anvil_steer_release_right (steer, now, seat);
}

void
anvil_steer_receive_grant_ask (anvil_steer_t *steer,
                               anvil_time_t now,
                               anvil_node_t from,
                               const anvil_grant_request_t *ask)
{
  if (steer->config == NULL || ask->seat >= steer->layout->n_seats)
    return;
  anvil_steer_learn_generation (steer, now, ask->generation, from);
  /* The holder is back: an adopter gives the seat up at once. */
  if (steer->seats[ask->seat].adopting && from == steer->seats[ask->seat].row.holder
      && ask->generation >= steer->generation)
    anvil_steer_give_up_seat (steer, now, ask->seat);

  for (guint i = 0; i < steer->layout->n_witnesses; i++)
    {
      guint witness = steer->layout->witnesses[ask->seat][i];
      anvil_message_t message = {
        .kind = ANVIL_MESSAGE_GRANT_RESPONSE,
        .grant_response = {
          .seat = ask->seat,
          .witness = (guint16) witness,
          .incarnation = ask->incarnation,
          .requested_at = ask->requested_at,
          .generation = steer->generation,
        },
      };

      if (!steer->seats[witness].holding)
        continue;
      message.grant_response.granted
          = answer_as (steer, now, i, from, ask, &message.grant_response.exclusive_since);
      anvil_steer_send (steer, from, &message);
    }
}

void
anvil_steer_receive_grant_answer (anvil_steer_t *steer,
                                  anvil_time_t now,
                                  const anvil_grant_response_t *answer)
{
  guint index;

  if (steer->config == NULL || answer->seat >= steer->layout->n_seats
      || answer->witness >= steer->layout->n_seats)
    return;
  if (answer->incarnation != steer->options.incarnation || !answer->granted)
    return;
  index = anvil_seat_layout_witness_index (steer->layout, answer->seat, answer->witness);
  if (index == ANVIL_NO_INDEX || !anvil_steer_wants_seat (steer, answer->seat))
    return;
  count_grant (steer, now, answer->seat, index, answer->requested_at, answer->exclusive_since);
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

      if (steer->seats[witness].holding)
        anvil_grant_release (&steer->seats[release->seat].given[i], now, from, release->incarnation,
                             release->released_at);
    }
}
