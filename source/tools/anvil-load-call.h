#pragma once

#include <event2/event.h>

#include "anvil-load-cache.h"
#include "anvil-load-mix.h"
#include "anvil-load-outcome.h"
#include "anvil/config.h"

/**
 * load_caller_t - one client: its address and the look-ups that it keeps
 * @address: IPv4 in host order, the source of its connections
 * @region: index of the region that its address belongs to
 * @cache: its look-ups
 */
typedef struct
{
  guint32 address;
  guint region;
  load_cache_t *cache;
} load_caller_t;

/**
 * load_session_t - what all calls of a run share
 * @base: event loop
 * @config: the deployment
 * @bootstrap: entries that are asked for a look-up
 * @n_bootstrap: how many
 * @rand: random numbers of choices
 * @lookups: look-ups that were asked for
 * @failed_lookups: look-ups that no entry answered
 * @failovers: entries that couldn't be connected to
 */
typedef struct
{
  struct event_base *base;
  const anvil_config_t *config;
  const load_entry_t *bootstrap;
  guint n_bootstrap;
  GRand *rand;
  guint64 lookups;
  guint64 failed_lookups;
  guint64 failovers;
} load_session_t;

/**
 * load_request_t - one request of a caller
 * @service: index of the service
 * @spec: what it sends
 * @id: its Anvil-Request-Id
 * @key: its Idempotency-Key, or NULL
 * @scheduled_at: when it was due; latency counts from here
 * @is_repeat: whether the key was sent before
 * @previous_entry: entry that the key was sent to before; all 0 if there is none
 */
typedef struct
{
  guint service;
  load_request_spec_t spec;
  char *id;
  char *key;
  anvil_time_t scheduled_at;
  gboolean is_repeat;
  load_entry_t previous_entry;
} load_request_t;

/**
 * load_result_t - how a call ended
 * @outcome: what the caller was told
 * @fault: what was wrong with the answer
 * @ended_at: when the last byte came or the call was given up
 * @entry: entry that it was sent to last
 */
typedef struct
{
  load_outcome_t outcome;
  load_fault_t fault;
  anvil_time_t ended_at;
  load_entry_t entry;
} load_result_t;

typedef void (*load_call_cb_t) (void *context,
                                const load_request_t *request,
                                const load_result_t *result);

/**
 * load_call_start - makes a call; @done runs once, possibly before this returns
 * @request: taken over, with its strings
 */
void load_call_start (load_session_t *client,
                      load_caller_t *caller,
                      load_request_t request,
                      load_call_cb_t done,
                      void *context);
