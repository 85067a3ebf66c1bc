#pragma once

#include "anvil/clock.h"

/*
 * Keeps the requests for slots within what their holder has time for.
 *
 * A holder that gets more requests than it can handle answers all of them too late, unless
 * some aren't sent. It measures how long requests waited until it read them, and tells its
 * peers which part of the new ones to refuse at once. Requesters ask again for what isn't
 * answered, since messages may be lost, but ever more rarely: a late answer isn't a lost one.
 */

/* Value of @refused_share for which no new request is sent. */
#define ANVIL_FULL_REFUSED_SHARE 1000u

/**
 * anvil_holder_pressure_t - requests that a holder gets; starts as zeroes
 * @period_started_at: start of the period in which delays are averaged, monotonic clock
 * @delay_sum: delays of this period, microseconds
 * @n_delays: requests of this period
 * @n_late: those of them that waited for too long
 * @average_delay: of the last period, microseconds
 * @refused_share: part of new requests that requesters should refuse, thousandths
 */
typedef struct
{
  anvil_time_t period_started_at;
  anvil_time_t delay_sum;
  guint n_delays;
  guint n_late;
  anvil_time_t average_delay;
  guint refused_share;
} anvil_holder_pressure_t;

/** anvil_holder_pressure_add - a request was read that had waited for @delay microseconds, in this
 * process's sockets or on the way */
void anvil_holder_pressure_add (anvil_holder_pressure_t *pressure, anvil_time_t delay);

/**
 * anvil_holder_pressure_tick - adjusts the share at the end of each period
 *
 * Return: whether a period has ended in which most requests waited for too long. One link that is
 * slow or was cut delays only the requests of its entry.
 */
gboolean anvil_holder_pressure_tick (anvil_holder_pressure_t *pressure, anvil_time_t now);

/** anvil_holder_refuses - whether a request is among the part that an entry names as refused, or as
 * declined, thousandths */
gboolean anvil_holder_refuses (guint share);

/** anvil_holder_retry_after - when the caller of such a request should retry, microseconds; spread
 * evenly over the time in which the share falls if fewer requests come */
anvil_time_t anvil_holder_retry_after (void);

/**
 * anvil_slot_request_interval - time until a request without an answer is repeated
 * @n_sent: how often it was sent so far, 1 or more
 * @round_trip: to the holder and back, as pings take it now, microseconds
 */
anvil_time_t anvil_slot_request_interval (guint n_sent, anvil_time_t round_trip);
