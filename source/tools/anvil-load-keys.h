#pragma once

#include "anvil-load-cache.h"
#include "anvil-load-outcome.h"

/**
 * load_key_t - what callers were told about the requests of one key
 * @service: index of the service
 * @at_most_once: whether it may run at most once
 * @outcomes: requests by outcome
 * @last_entry: entry that it was sent to last
 */
typedef struct
{
  guint service;
  gboolean at_most_once;
  guint outcomes[LOAD_N_OUTCOMES];
  load_entry_t last_entry;
} load_key_t;

/** load_keys_t - every key of a run; a request without a key counts under its id */
typedef struct load_keys load_keys_t;

load_keys_t *load_keys_new (void);
void load_keys_drop (load_keys_t *keys);

/** load_keys_record - counts the outcome of a request */
void load_keys_record (load_keys_t *keys,
                       const char *key,
                       guint service,
                       gboolean once,
                       load_outcome_t outcome,
                       load_entry_t entry);

const load_key_t *load_keys_get (const load_keys_t *keys, const char *key);

/**
 * load_run_check_t - what the upstreams ran against what callers were told
 * @known: whether the upstreams' report is there
 * @runs: runs of all keys of this run
 * @repeated: keys that ran more than once, all of them safe to repeat
 * @ran_twice: keys that may run once and ran more often
 * @refused_but_ran: keys whose every request was refused or not sent, and that ran
 * @answered_without_run: keys with an answer that no upstream ran
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

/** load_key_runs_cb_t - runs of a key as the upstreams saw them */
typedef guint64 (*load_key_runs_cb_t) (void *context, const char *key);

/** load_keys_check_runs - holds every key against the upstreams' counts */
load_run_check_t
load_keys_check_runs (const load_keys_t *keys, load_key_runs_cb_t count, void *context);
