/* Rows of the platform's table, which name the holder of each seat: reads, claims, releases. */

#include <math.h>

#include "steer/steer-internal.h"

/* Interval of periodic reads of all rows. */
#define ROWS_READ_INTERVAL (10 * ANVIL_SECOND)
#define CLAIM_INTERVAL (250 * ANVIL_MS)
/* Time after which an unanswered write counts as lost, and the rows are read again. */
#define ROW_WRITE_TIMEOUT (5 * ANVIL_SECOND)
/* How long an entry without a seat waits before it claims one in another zone of its region, and
 * one in another region, so that entries there can claim it first. */
#define CLAIM_OTHER_ZONE_DELAY (2 * ANVIL_SECOND)
#define CLAIM_OTHER_REGION_DELAY (5 * ANVIL_SECOND)
/* How long an entry with a seat leaves a free one to entries without a seat. */
#define CLAIM_SECOND_SEAT_DELAY (15 * ANVIL_SECOND)

static gboolean
is_own_row (const anvil_steer_t *steer, const anvil_seat_row_t *row)
{
  return row->holder == steer->options.node && row->incarnation == steer->options.incarnation;
}

static guint
count_held_seats (const anvil_steer_t *steer)
{
  guint n_held = 0;

  for (guint seat = 0; seat < steer->layout->n_seats; seat++)
    n_held += steer->seats[seat].held && !steer->seats[seat].releasing;
  return n_held;
}

/* Marks a seat as held. Its new holder makes no grants until those of the previous one have
 * expired. */
static void
begin_holding (anvil_steer_t *steer, anvil_time_t now, anvil_seat_state_t *state)
{
  state->held = TRUE;
  state->releasing = FALSE;
  state->adopting = FALSE;
  state->witness_from = now;
  if (state->row.epoch > 1 && !steer->options.faults.ignore_wait_out)
    state->witness_from = now + ANVIL_GRANT_TERM + ANVIL_CLOCK_DRIFT_MARGIN;
  steer->next_grants_at = now;
}

void
anvil_steer_merge_row (anvil_steer_t *steer, anvil_time_t now, const anvil_seat_row_t *row)
{
  anvil_seat_state_t *state;
  gboolean own = is_own_row (steer, row);

  anvil_steer_old_layouts_update_row (steer, row);
  if (row->seat >= steer->layout->n_seats)
    return;
  state = &steer->seats[row->seat];
  if (row->epoch <= state->row.epoch)
    return;

  state->row = *row;
  state->row_changed_at = now;
  state->sends_left = (guint) ceil (log2 (anvil_member_table_count (steer->members) + 1)) + 2;
  if (own && !steer->leaving)
    {
      begin_holding (steer, now, state);
      return;
    }
  if (state->held)
    {
      state->held = FALSE;
      anvil_seat_lease_release (&state->lease, now);
      steer->unseated_since = now;
    }
  state->releasing = FALSE;
}

void
anvil_steer_rows_read (anvil_steer_t *steer,
                       anvil_time_t now,
                       const anvil_seat_row_t *rows,
                       guint n_rows)
{
  if (steer->config == NULL)
    return;
  for (guint i = 0; i < n_rows; i++)
    anvil_steer_merge_row (steer, now, &rows[i]);
  steer->rows_known = TRUE;
  steer->row_write_pending = FALSE;
}

void
anvil_steer_row_written (anvil_steer_t *steer,
                         anvil_time_t now,
                         const anvil_seat_row_t *next,
                         anvil_row_result_t result)
{
  steer->row_write_pending = FALSE;
  if (steer->config == NULL)
    return;
  if (result == ANVIL_ROW_WRITTEN)
    {
      anvil_steer_merge_row (steer, now, next);
      return;
    }
  steer->rows_known = FALSE;
  steer->next_rows_read_at = now;
}

static void
write_row (anvil_steer_t *steer, anvil_time_t now, guint seat, anvil_node_t holder)
{
  const anvil_seat_row_t next = {
    .seat = (guint16) seat,
    .epoch = steer->seats[seat].row.epoch + 1,
    .holder = holder,
    .incarnation = holder != ANVIL_NO_NODE ? steer->options.incarnation : 0,
    .list_version = steer->list_version,
  };

  steer->row_write_pending = TRUE;
  steer->row_write_started_at = now;
  steer->callbacks.write_row (steer->context, &next);
}

/* Whether a seat has no holder, or one that is missing in a VM list newer than its claim. */
static gboolean
holder_gone (const anvil_steer_t *steer, const anvil_seat_row_t *row)
{
  if (row->epoch == 0 || row->holder == ANVIL_NO_NODE)
    return TRUE;
  return steer->list_version > row->list_version
         && !g_hash_table_contains (steer->listed_nodes, &row->holder);
}

static anvil_time_t
claim_delay (const anvil_steer_t *steer, guint seat, gboolean seated)
{
  guint zone = steer->layout->zone[seat];
  anvil_time_t delay = seated ? CLAIM_SECOND_SEAT_DELAY : 0;

  if (zone == steer->zone)
    return delay;
  if (steer->layout->region[seat] == steer->region)
    return delay + CLAIM_OTHER_ZONE_DELAY;
  return 2 * delay + CLAIM_OTHER_REGION_DELAY;
}

/* Seat that this entry may claim now, or ANVIL_NO_INDEX. */
static guint
choose_claim (const anvil_steer_t *steer, anvil_time_t now)
{
  gboolean seated = count_held_seats (steer) > 0;
  anvil_time_t best_delay = G_MAXINT64;
  guint best = ANVIL_NO_INDEX;

  for (guint i = 0; i < steer->layout->n_seats; i++)
    {
      guint seat = (i + (guint) steer->options.node) % steer->layout->n_seats;
      const anvil_seat_state_t *state = &steer->seats[seat];
      anvil_time_t delay = claim_delay (steer, seat, seated);
      anvil_time_t since = MAX (steer->unseated_since, seated ? state->row_changed_at : 0);

      if (state->held || delay >= best_delay)
        continue;
      /* The holder is an earlier process of this VM, which has ended since its address is in use
       * here. */
      if (state->row.holder == steer->options.node
          && state->row.incarnation < steer->options.incarnation)
        return seat;
      if (!holder_gone (steer, &state->row) || now < since + delay)
        continue;
      best = seat;
      best_delay = delay;
    }
  return best;
}

/* Whether a live entry in a zone has no seat. */
static gboolean
has_unseated_member (const anvil_steer_t *steer, guint zone)
{
  for (guint i = 0; i < anvil_member_table_count (steer->members); i++)
    {
      const anvil_member_t *member = &anvil_member_table_at (steer->members, i)->member;
      gboolean seated = FALSE;

      if (member->node == steer->options.node || member->state != ANVIL_MEMBER_ALIVE
          || member->incarnation == 0)
        continue;
      if (member->zone_hash != anvil_str_hash (steer->config->zones[zone].name))
        continue;
      for (guint seat = 0; seat < steer->layout->n_seats; seat++)
        seated = seated || steer->seats[seat].row.holder == member->node;
      if (!seated)
        return TRUE;
    }
  return FALSE;
}

static void
release_seat (anvil_steer_t *steer, anvil_time_t now, guint seat)
{
  steer->seats[seat].releasing = TRUE;
  anvil_steer_release_lease (steer, now, seat);
  write_row (steer, now, seat, ANVIL_NO_NODE);
}

/* Repeats a release whose write may not have taken effect; the seat stays unused until it has. */
static gboolean
repeat_release (anvil_steer_t *steer, anvil_time_t now)
{
  for (guint seat = 0; seat < steer->layout->n_seats; seat++)
    {
      if (!steer->seats[seat].releasing)
        continue;
      write_row (steer, now, seat, ANVIL_NO_NODE);
      return TRUE;
    }
  return FALSE;
}

/* Releases one of several seats if an entry in the seat's zone has none. */
static void
release_spare_seat (anvil_steer_t *steer, anvil_time_t now)
{
  if (count_held_seats (steer) < 2)
    return;
  for (guint seat = 0; seat < steer->layout->n_seats; seat++)
    {
      if (!steer->seats[seat].held || steer->seats[seat].releasing
          || anvil_steer_seat_has_loans (steer, now, seat))
        continue;
      if (!has_unseated_member (steer, steer->layout->zone[seat]))
        continue;
      release_seat (steer, now, seat);
      return;
    }
}

void
anvil_steer_release_seats (anvil_steer_t *steer, anvil_time_t now)
{
  if (steer->row_write_pending)
    return;
  for (guint seat = 0; seat < steer->layout->n_seats; seat++)
    {
      if (steer->seats[seat].adopting)
        anvil_steer_stop_adopting (steer, now, seat);
      if (!steer->seats[seat].held || steer->seats[seat].releasing
          || anvil_steer_seat_has_loans (steer, now, seat))
        continue;
      release_seat (steer, now, seat);
      return;
    }
}

void
anvil_steer_rows_tick (anvil_steer_t *steer, anvil_time_t now)
{
  guint seat;

  if (steer->config == NULL)
    return;
  if (steer->row_write_pending && now >= steer->row_write_started_at + ROW_WRITE_TIMEOUT)
    {
      steer->row_write_pending = FALSE;
      steer->rows_known = FALSE;
    }
  if (now >= steer->next_rows_read_at)
    {
      anvil_time_t interval = steer->rows_known ? ROWS_READ_INTERVAL : ANVIL_SECOND;

      steer->next_rows_read_at
          = now + interval + g_rand_int_range (steer->random, 0, (gint32) (interval / 4));
      steer->callbacks.read_rows (steer->context);
    }
  if (now < steer->next_claim_at || !steer->rows_known || steer->row_write_pending)
    return;

  steer->next_claim_at = now + CLAIM_INTERVAL;
  if (repeat_release (steer, now) || steer->leaving || !steer->self_listed)
    return;
  seat = choose_claim (steer, now);
  if (seat != ANVIL_NO_INDEX)
    write_row (steer, now, seat, steer->options.node);
  else
    release_spare_seat (steer, now);
}

void
anvil_steer_fill_gossip_rows (anvil_steer_t *steer, anvil_gossip_t *gossip)
{
  guint n = steer->layout != NULL ? steer->layout->n_seats : 0;

  gossip->n_rows = 0;
  for (guint pass = 0; pass < 2; pass++)
    {
      for (guint i = 0; i < n && gossip->n_rows < ANVIL_MAX_GOSSIP_ROWS; i++)
        {
          anvil_seat_state_t *state = &steer->seats[(steer->row_gossip_offset + i) % n];

          /* The first pass takes rows that changed recently, the second fills up with others. */
          if (state->row.epoch == 0 || (state->sends_left > 0) != (pass == 0))
            continue;
          gossip->rows[gossip->n_rows++] = state->row;
          if (state->sends_left > 0)
            state->sends_left--;
        }
    }
  steer->row_gossip_offset += ANVIL_MAX_GOSSIP_ROWS;
}
