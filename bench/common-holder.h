#pragma once

#include "anvil/dispatcher.h"

/*
 * Simulation of the holder of a large service, its requesters and its upstreams, in virtual time.
 *
 * The holder has a share of a processor. Each message and each comparison of a queued task with an
 * upstream takes some of it; messages wait in the order of their arrival until it has time. The
 * decisions are those of the product, so are the rules by which requesters ask again or give up
 * asking.
 */

#define HOLDER_SIM_UPSTREAMS 327u
#define HOLDER_SIM_SLOTS 5u
#define HOLDER_SIM_OBJECTS 321u
#define HOLDER_SIM_REQUESTERS 28u
/* Time of a request from its arrival to its target, and to its deadline. */
#define HOLDER_SIM_TARGET (600 * ANVIL_MS)
#define HOLDER_SIM_TIMEOUT (1500 * ANVIL_MS)

typedef struct holder_sim holder_sim_t;

/**
 * holder_sim_options_t - the holder and its load
 * @per_second: requests of callers
 * @processor_share: of one core; 0 if it has all that it needs
 * @message_us: processor time that a message takes, microseconds
 * @compare_us: that of a comparison of a queued task with an upstream
 * @warm: the upstreams are warm for all objects from the start
 */
typedef struct
{
  gdouble per_second;
  gdouble processor_share;
  gdouble message_us;
  gdouble compare_us;
  gboolean warm;
} holder_sim_options_t;

/**
 * holder_sim_result_t - what became of the requests that arrived since the last call
 * @n: requests that have ended
 * @served: answered before their deadline, share
 * @on_time: answered before their target, share
 * @refused: refused, share
 * @held: neither when their deadline passed, share
 * @median_refusal: median time until a refusal, microseconds; 0 without any
 * @n_compared: comparisons of queued tasks with upstreams
 * @most_compared: most of them within one tick of the dispatcher
 * @submit_ns: processor time that submissions really took; the others for ends of runs and ticks
 * @longest_tick_ns: most that a tick really took
 */
typedef struct
{
  guint n;
  gdouble served;
  gdouble on_time;
  gdouble refused;
  gdouble held;
  anvil_time_t median_refusal;
  guint64 n_compared;
  guint64 most_compared;
  guint64 submit_ns;
  guint64 finish_ns;
  guint64 tick_ns;
  guint64 longest_tick_ns;
} holder_sim_result_t;

holder_sim_t *holder_sim_new (const holder_sim_options_t *options);
void holder_sim_drop (holder_sim_t *sim);

/** holder_sim_run - advances the time */
holder_sim_result_t holder_sim_run (holder_sim_t *sim, anvil_time_t length);

/** holder_sim_set_rate - changes the requests of callers a second */
void holder_sim_set_rate (holder_sim_t *sim, gdouble per_second);
