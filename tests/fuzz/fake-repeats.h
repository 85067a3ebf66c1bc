#pragma once

#include "anvil/dispatcher.h"

/*
 * Simulation in virtual time of requests whose runs sometimes take long: one service, one class of
 * routes, and a requester that reacts to late runs as relay-job-repeat.c does.
 */

/**
 * fake_late_reaction_t - what the requester does about a late run
 * @FAKE_LATE_WAIT: nothing
 * @FAKE_LATE_REPEAT: a second run beside it
 * @FAKE_LATE_RERUN: cancels it and runs the request again
 */
typedef enum
{
  FAKE_LATE_WAIT,
  FAKE_LATE_REPEAT,
  FAKE_LATE_RERUN,
} fake_late_reaction_t;

/**
 * fake_repeats_options_t - the load
 * @share: limit of second runs
 * @share_ends: when the share becomes 0, or 0 for never
 * @has_class_share: the class of the routes has a limit of its own, @class_share
 * @retry_extra: see anvil_dispatcher_limits_t
 * @n_holders: dispatchers that share the requests; with more than one, they know that they may be
 *   divided
 * @per_second: requests a second
 * @n_upstreams: with 4 slots each
 * @run: usual run time; runs vary by a fifth
 * @long_share: share of the runs that take 7 times as long
 * @all_runs_long: the requests of that share are long wherever they run
 * @kind: of the route
 * @stalled_from: when the upstream that gets the next request stops answering, or 0 for never
 * @length: time in which requests arrive
 */
typedef struct
{
  fake_late_reaction_t reaction;
  gdouble share;
  anvil_time_t share_ends;
  gboolean has_class_share;
  gdouble class_share;
  gdouble retry_extra;
  guint n_holders;
  gdouble per_second;
  guint n_upstreams;
  anvil_time_t run;
  gdouble long_share;
  gboolean all_runs_long;
  anvil_route_kind_t kind;
  anvil_time_t stalled_from;
  anvil_time_t length;
  guint32 seed;
} fake_repeats_options_t;

/**
 * fake_repeats_results_t - outcome of the requests after the first 5 s
 * @p99: latency of answered requests, microseconds
 * @served: share of the requests that were answered before their deadline
 * @begun: second runs, of all requests
 * @won: those whose answer was the first
 * @begun_while_waiting: second runs that began while tasks waited
 * @begun_after_end: those that began after the share had become 0
 * @largest_share: largest share of second runs in any 10 s, counted when one begins
 * @runs: runs that took a slot, of all requests
 * @work: time that slots were in use, microseconds
 * @n_requests: requests in all
 */
typedef struct
{
  anvil_time_t p50;
  anvil_time_t p99;
  anvil_time_t p999;
  gdouble served;
  guint begun;
  guint won;
  guint begun_while_waiting;
  guint begun_after_end;
  gdouble largest_share;
  guint runs;
  anvil_time_t work;
  guint n_requests;
} fake_repeats_results_t;

/** fake_repeats_defaults - 200 requests a second with a share of 0.05, on upstreams that are half
 * busy, for 40 s */
fake_repeats_options_t fake_repeats_defaults (void);

fake_repeats_results_t fake_repeats_run (const fake_repeats_options_t *options);
