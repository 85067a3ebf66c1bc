#pragma once

#include "anvil-load-cache.h"
#include "anvil-load-outcome.h"

/**
 * load_key_t - outcomes of the requests with one idempotency key
 * @service: index of the service
 * @at_most_once: whether upstreams may run it at most once
 * @outcomes: number of requests by outcome
 * @last_entry: last entry that a request was sent to
 */
typedef struct
{
  guint service;
  gboolean at_most_once;
  guint outcomes[LOAD_N_OUTCOMES];
  load_entry_t last_entry;
} load_key_t;

/** load_keys_t - outcomes by key; a request without a key is recorded under its id */
typedef struct load_keys load_keys_t;

load_keys_t *load_keys_new (void);
void load_keys_drop (load_keys_t *keys);

/** load_keys_record - records the outcome of a request */
void load_keys_record (load_keys_t *keys,
                       const char *key,
                       guint service,
                       gboolean at_most_once,
                       load_outcome_t outcome,
                       load_entry_t entry);

const load_key_t *load_keys_get (const load_keys_t *keys, const char *key);

/**
 * load_run_check_t - the upstreams' runs of requests, compared with the outcomes for callers
 * @known: whether the upstreams' report was read; all counts are 0 if not
 * @runs: runs of all keys
 * @repeated: keys of idempotent services that ran more than once, which is allowed
 * @ran_twice: keys that may run at most once, but ran more than once
 * @refused_but_ran: keys that ran although all their requests were refused or not sent
 * @answered_without_run: keys with a response that ran on no upstream
 */
typedef struct
{
  gboolean known;
  guint64 runs;
  guint64 repeated;
  guint64 ran_twice;
  guint64 refused_but_ran;
  guint64 answered_without_run;
} load_run_check_t;

/** load_key_runs_cb_t - returns how often a key ran, by the upstreams' report */
typedef guint64 (*load_key_runs_cb_t) (void *context, const char *key);

/** load_keys_check_runs - compares the outcomes of all keys with the upstreams' runs */
load_run_check_t
load_keys_check_runs (const load_keys_t *keys, load_key_runs_cb_t get_runs, void *context);
