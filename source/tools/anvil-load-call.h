#pragma once

#include <event2/event.h>

#include "anvil-load-cache.h"
#include "anvil-load-mix.h"
#include "anvil-load-outcome.h"
#include "anvil/config.h"

/**
 * load_caller_t - a simulated caller
 * @address: source address of its connections, IPv4 in host order
 * @region: index of the region that its address belongs to
 * @cache: its cached look-ups
 */
typedef struct
{
  guint32 address;
  guint region;
  load_cache_t *cache;
} load_caller_t;

/**
 * load_session_t - state that all calls share
 * @config: configuration of the deployment
 * @bootstrap: entries that look-ups are sent to
 * @rand: generator for the choice of entries
 * @lookups: look-ups, each counted once however many entries were tried
 * @failed_lookups: look-ups that got no usable response from any entry
 * @failovers: entries that could not be connected to while a request was sent
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
 * load_request_t - a request of a caller
 * @service: index of the service
 * @id: value of Anvil-Request-Id
 * @key: value of Idempotency-Key, or NULL
 * @scheduled_at: time of its arrival; the latency is measured from here
 * @is_repeat: whether a request with the same key was sent before
 * @previous_entry: entry that the key was last sent to; all 0 if there is none
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
 * load_result_t - result of a call
 * @fault: what is wrong with the response
 * @ended_at: when the response was complete or the call failed
 * @entry: last entry that the request was sent to
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
 * load_call_start - looks up the entries if needed and sends a request
 * @request: its strings are freed by the call
 * @callback: called once, possibly before this returns
 */
void load_call_start (load_session_t *session,
                      load_caller_t *caller,
                      load_request_t request,
                      load_call_cb_t callback,
                      void *context);
