#pragma once

#include "steer/quota-counter.h"
#include "steer/quota-loan.h"

/*
 * Simulation of entries that hold services and lend tokens to each other, in virtual time. Every
 * entry is a holder and may be a counter; messages take a time and may be lost.
 */

#define MAX_QUOTA_ENTRIES 10

/**
 * quota_sim_t - the entries, and what became of the requests of one tenant
 * @counter_of: entry that each entry takes for the counter
 * @silent: it neither receives messages nor runs
 * @side: entries of different sides don't reach each other
 * @latency: time that a message takes
 * @runs: anvil_time_t at which each request took its token
 * @n_messages: messages between entries
 */
typedef struct
{
  guint n_entries;
  anvil_time_t now;
  anvil_time_t latency;
  anvil_quota_counter_t *counters[MAX_QUOTA_ENTRIES];
  anvil_quota_loans_t *loans[MAX_QUOTA_ENTRIES];
  guint counter_of[MAX_QUOTA_ENTRIES];
  gboolean silent[MAX_QUOTA_ENTRIES];
  guint side[MAX_QUOTA_ENTRIES];
  gdouble share[MAX_QUOTA_ENTRIES];
  GQueue messages;
  GArray *runs;
  guint n_sent;
  guint n_over_quota;
  guint n_no_counter;
  anvil_time_t last_retry_after;
  guint n_messages;
  gdouble owed;
  anvil_dispatcher_limits_t limits;
  gdouble rate;
  gdouble burst;
} quota_sim_t;

void quota_sim_open (quota_sim_t *sim, guint n_entries, gdouble rate, gdouble burst);
void quota_sim_close (quota_sim_t *sim);

/** quota_sim_set_limit - a configuration with another limit reaches all entries; 0 for none */
void quota_sim_set_limit (quota_sim_t *sim, gdouble rate, gdouble burst);

/** quota_sim_move_counter - all entries of a side choose another counter */
void quota_sim_move_counter (quota_sim_t *sim, guint side, guint counter);

/** quota_sim_send - one request at an entry; returns its number */
guint64 quota_sim_send (quota_sim_t *sim, guint entry);

/** quota_sim_run - advances the time, and sends requests at entries [first, first + n) in turn */
void
quota_sim_run (quota_sim_t *sim, anvil_time_t length, gdouble per_second, guint first, guint n);

/** quota_sim_most_runs - most requests that ran in any window since a time */
guint quota_sim_most_runs (const quota_sim_t *sim, anvil_time_t since);

/** quota_sim_bound - requests that the guarantee allows in a window */
gdouble quota_sim_bound (const quota_sim_t *sim);
