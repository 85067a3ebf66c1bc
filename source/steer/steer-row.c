/* The seats' rows in the platform's table: who holds a seat for good. */

#include <math.h>

#include "steer/steer-internal.h"

/* How often the rows are read when nothing asks for it. */
#define ROWS_READ_INTERVAL (10 * ANVIL_SECOND)
#define CLAIM_INTERVAL (250 * ANVIL_MS)
/* A write whose answer doesn't come is given up, and the rows are read again. */
#define ROW_WRITE_TIMEOUT (5 * ANVIL_SECOND)
/* How long an entry without a seat waits for one in its own zone, then in its region. */
#define CLAIM_ZONE_PATIENCE (2 * ANVIL_SECOND)
#define CLAIM_REGION_PATIENCE (5 * ANVIL_SECOND)
/* How long an entry with a seat leaves the seat of a VM that is gone to others. */
#define CLAIM_SECOND_SEAT_PATIENCE (15 * ANVIL_SECOND)

static gboolean
is_own (const anvil_steer_t *steer, const anvil_seat_row_t *row)
{
  return row->holder == steer->options.node && row->incarnation == steer->options.incarnation;
}

static guint
count_held (const anvil_steer_t *steer)
{
  guint held = 0;

  for (guint seat = 0; seat < steer->layout->n_seats; seat++)
    held += steer->seats[seat].holding && !steer->seats[seat].releasing;
  return held;
}

/* Begins to hold a seat. A new witness may not grant before its predecessor's grants have ended. */
static void
begin_holding (anvil_steer_t *steer, anvil_time_t now, anvil_seat_state_t *state)
{
  state->holding = TRUE;
  state->releasing = FALSE;
  state->adopting = FALSE;
  state->duty_from = now;
  if (state->row.epoch > 1 && !steer->options.faults.ignore_wait_out)
    state->duty_from = now + ANVIL_GRANT_TERM + ANVIL_CLOCK_DRIFT_MARGIN;
  steer->grants_next = now;
}

void
anvil_steer_merge_row (anvil_steer_t *steer, anvil_time_t now, const anvil_seat_row_t *row)
{
  anvil_seat_state_t *state;
  gboolean own = is_own (steer, row);

  anvil_steer_former_row (steer, row);
  if (row->seat >= steer->layout->n_seats)
    return;
  state = &steer->seats[row->seat];
  if (row->epoch <= state->row.epoch)
    return;

  state->row = *row;
  state->row_since = now;
  state->credit = (guint) ceil (log2 (anvil_member_table_count (steer->members) + 1)) + 2;
  if (own && !steer->leaving)
    {
      begin_holding (steer, now, state);
      return;
    }
  if (state->holding)
    {
      state->holding = FALSE;
      anvil_seat_lease_release (&state->right, now);
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
  steer->rows_next = now;
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
  steer->row_write_at = now;
  steer->actions.write_row (steer->context, &next);
}

/* A holder is gone for good when a list newer than the one that had it doesn't have it. */
static gboolean
holder_gone (const anvil_steer_t *steer, const anvil_seat_row_t *row)
{
  if (row->epoch == 0 || row->holder == ANVIL_NO_NODE)
    return TRUE;
  return steer->list_version > row->list_version
         && !g_hash_table_contains (steer->listed_nodes, &row->holder);
}

static anvil_time_t
patience_for (const anvil_steer_t *steer, guint seat, gboolean seated)
{
  guint zone = steer->layout->zone[seat];
  anvil_time_t patience = seated ? CLAIM_SECOND_SEAT_PATIENCE : 0;

  if (zone == steer->zone)
    return patience;
  if (steer->layout->region[seat] == steer->region)
    return patience + CLAIM_ZONE_PATIENCE;
  return 2 * patience + CLAIM_REGION_PATIENCE;
}

/* Seat that this entry may claim now, or ANVIL_NO_INDEX. */
static guint
choose_claim (const anvil_steer_t *steer, anvil_time_t now)
{
  gboolean seated = count_held (steer) > 0;
  anvil_time_t best_patience = G_MAXINT64;
  guint best = ANVIL_NO_INDEX;

  for (guint i = 0; i < steer->layout->n_seats; i++)
    {
      guint seat = (i + (guint) steer->options.node) % steer->layout->n_seats;
      const anvil_seat_state_t *state = &steer->seats[seat];
      anvil_time_t patience = patience_for (steer, seat, seated);
      anvil_time_t since = MAX (steer->unseated_since, seated ? state->row_since : 0);

      if (state->holding || patience >= best_patience)
        continue;
      /* An earlier process of this VM has ended, or this one couldn't have its address. */
      if (state->row.holder == steer->options.node
          && state->row.incarnation < steer->options.incarnation)
        return seat;
      if (!holder_gone (steer, &state->row) || now < since + patience)
        continue;
      best = seat;
      best_patience = patience;
    }
  return best;
}

/* Whether a live member of a zone has no seat. */
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
  anvil_steer_release_right (steer, now, seat);
  write_row (steer, now, seat, ANVIL_NO_NODE);
}

/* Writes a release again that may not have taken effect; the seat isn't used meanwhile. */
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

/* An entry with several seats hands one to an entry of the seat's zone that has none. */
static void
hand_over (anvil_steer_t *steer, anvil_time_t now)
{
  if (count_held (steer) < 2)
    return;
  for (guint seat = 0; seat < steer->layout->n_seats; seat++)
    {
      if (!steer->seats[seat].holding || steer->seats[seat].releasing
          || anvil_steer_seat_lent (steer, now, seat))
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
        anvil_steer_give_up_seat (steer, now, seat);
      if (!steer->seats[seat].holding || steer->seats[seat].releasing
          || anvil_steer_seat_lent (steer, now, seat))
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
  if (steer->row_write_pending && now >= steer->row_write_at + ROW_WRITE_TIMEOUT)
    {
      steer->row_write_pending = FALSE;
      steer->rows_known = FALSE;
    }
  if (now >= steer->rows_next)
    {
      anvil_time_t interval = steer->rows_known ? ROWS_READ_INTERVAL : ANVIL_SECOND;

      steer->rows_next
          = now + interval + g_rand_int_range (steer->random, 0, (gint32) (interval / 4));
      steer->actions.read_rows (steer->context);
    }
  if (now < steer->claims_next || !steer->rows_known || steer->row_write_pending)
    return;

  steer->claims_next = now + CLAIM_INTERVAL;
  if (repeat_release (steer, now) || steer->leaving || !steer->listed)
    return;
  seat = choose_claim (steer, now);
  if (seat != ANVIL_NO_INDEX)
    write_row (steer, now, seat, steer->options.node);
  else
    hand_over (steer, now);
}

void
anvil_steer_gossip_rows (anvil_steer_t *steer, anvil_gossip_t *gossip)
{
  guint n = steer->layout != NULL ? steer->layout->n_seats : 0;

  gossip->n_rows = 0;
  for (guint pass = 0; pass < 2; pass++)
    {
      for (guint i = 0; i < n && gossip->n_rows < ANVIL_MAX_GOSSIP_ROWS; i++)
        {
          anvil_seat_state_t *state = &steer->seats[(steer->row_rotation + i) % n];

          /* The first pass takes what is new, the second fills up. */
          if (state->row.epoch == 0 || (state->credit > 0) != (pass == 0))
            continue;
          gossip->rows[gossip->n_rows++] = state->row;
          if (state->credit > 0)
            state->credit--;
        }
    }
  steer->row_rotation += ANVIL_MAX_GOSSIP_ROWS;
}
