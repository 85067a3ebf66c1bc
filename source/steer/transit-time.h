#pragma once

#include "anvil/clock.h"

/*
 * How long messages of a peer were under way.
 *
 * Clocks of two VMs differ by an unknown offset, which is constant while both run. The
 * least difference between arrival and departure seen lately is the offset and the least
 * time under way; what a message took beyond that, it spent in queues: of the sender, of
 * the link, or unread in this process's sockets.
 */

/**
 * anvil_transit_t - what is known of one process of a peer; starts as zeroes
 * @n: messages so far
 * @least: least difference in the present period
 * @previous_least: in the period before
 * @period_started_at: start of the present period, CLOCK_BOOTTIME
 */
typedef struct
{
  guint64 n;
  anvil_time_t least;
  anvil_time_t previous_least;
  anvil_time_t period_started_at;
} anvil_transit_t;

/**
 * anvil_transit_add - takes a message into account
 * @now: when it is handled, CLOCK_BOOTTIME of this VM, microseconds
 * @sent_at: when it was sent, CLOCK_BOOTTIME of the sender's, microseconds
 *
 * Return: the time that it spent in queues, microseconds; 0 for the first message, and if the
 * clocks no longer belong together, as after a restart of the sender's VM.
 */
anvil_time_t anvil_transit_add (anvil_transit_t *transit, anvil_time_t now, anvil_time_t sent_at);
