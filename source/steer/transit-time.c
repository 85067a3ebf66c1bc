#include "steer/transit-time.h"

/* The least difference is that of the present and the last period, so that drifting clocks and
 * changed routes are followed. */
#define PERIOD (30 * ANVIL_SECOND)
/* A link that holds a message back for longer has been closed. */
#define MAX_QUEUED_TIME (20 * ANVIL_SECOND)

static void
begin (anvil_transit_t *transit, anvil_time_t now, anvil_time_t difference)
{
  *transit = (anvil_transit_t){
    .n = 1, .least = difference, .previous_least = difference, .period_started_at = now
  };
}

anvil_time_t
anvil_transit_add (anvil_transit_t *transit, anvil_time_t now, anvil_time_t sent_at)
{
  const anvil_time_t difference = now - sent_at;
  anvil_time_t queued;

  if (transit->n++ == 0)
    {
      begin (transit, now, difference);
      return 0;
    }
  if (now - transit->period_started_at >= PERIOD)
    {
      transit->previous_least = transit->least;
      transit->least = difference;
      transit->period_started_at = now;
    }
  transit->least = MIN (transit->least, difference);
  queued = difference - MIN (transit->least, transit->previous_least);
  if (queued <= MAX_QUEUED_TIME)
    return queued;
  begin (transit, now, difference);
  return 0;
}
