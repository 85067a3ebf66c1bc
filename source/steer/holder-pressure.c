#include "steer/holder-pressure.h"

/* Pings, which tell the share, are as frequent. */
#define PERIOD (250 * ANVIL_MS)
/* A tenth of a short target latency: above it, a request whose caller could be served
 * elsewhere or later is better refused. */
#define MAX_DELAY (60 * ANVIL_MS)
/* Part of the accepted requests that are still accepted after a late period, and the part by which
 * they grow after another one, thousandths. */
#define KEPT_SHARE 800u
#define GROWTH 200u
#define MIN_ACCEPT_STEP 20u
/* Some requests always come, as the delay is known only by them. */
#define MAX_REFUSED_SHARE 950u
/* Callers return within this time: after half of it the share has changed noticeably. */
#define MAX_RETRY_AFTER (2 * ANVIL_SECOND)
/* A link that was reset loses messages. Longer than a round trip between distant regions. */
#define FIRST_INTERVAL (300 * ANVIL_MS)
#define ROUND_TRIPS 3
#define MAX_DOUBLINGS 3u

void
anvil_holder_pressure_add (anvil_holder_pressure_t *pressure, anvil_time_t delay)
{
  pressure->delay_sum += delay;
  pressure->n_delays++;
  pressure->n_late += delay > MAX_DELAY;
}

static void
adjust_refused_share (anvil_holder_pressure_t *pressure, anvil_time_t average, gboolean is_late)
{
  const guint accepted = ANVIL_FULL_REFUSED_SHARE - pressure->refused_share;

  if (!is_late)
    pressure->refused_share
        -= MIN (pressure->refused_share,
                MAX (accepted * GROWTH / ANVIL_FULL_REFUSED_SHARE, MIN_ACCEPT_STEP));
  /* While the delay falls, the requests that wait are served; that fewer come is enough. */
  else if (average >= pressure->average_delay)
    pressure->refused_share
        = MIN (ANVIL_FULL_REFUSED_SHARE - accepted * KEPT_SHARE / ANVIL_FULL_REFUSED_SHARE,
               MAX_REFUSED_SHARE);
}

gboolean
anvil_holder_pressure_tick (anvil_holder_pressure_t *pressure, anvil_time_t now)
{
  anvil_time_t average;
  gboolean is_late;

  if (now - pressure->period_started_at < PERIOD)
    return FALSE;
  average = pressure->n_delays > 0 ? pressure->delay_sum / pressure->n_delays : 0;
  is_late = 2 * pressure->n_late > pressure->n_delays;
  adjust_refused_share (pressure, average, is_late);
  *pressure = (anvil_holder_pressure_t){ .period_started_at = now,
                                         .average_delay = average,
                                         .refused_share = pressure->refused_share };
  return is_late;
}

gboolean
anvil_holder_refuses (guint share)
{
  return share > 0 && (guint) g_random_int_range (0, ANVIL_FULL_REFUSED_SHARE) < share;
}

anvil_time_t
anvil_holder_retry_after (void)
{
  return g_random_int_range (MAX_RETRY_AFTER / 2, MAX_RETRY_AFTER);
}

anvil_time_t
anvil_slot_request_interval (guint n_sent, anvil_time_t round_trip)
{
  const guint doublings = MIN (n_sent > 0 ? n_sent - 1 : 0, MAX_DOUBLINGS);

  return MAX (FIRST_INTERVAL, ROUND_TRIPS * round_trip) << doublings;
}
