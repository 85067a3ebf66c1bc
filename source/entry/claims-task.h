#pragma once

#include <event2/event.h>

#include "anvil/claims.h"
#include "anvil/metrics.h"
#include "anvil/platform.h"

/**
 * anvil_claims_task_t - claims idempotency keys in the platform's table
 *
 * Connects anvil_claims_t to the event loop and the platform client.
 */
typedef struct anvil_claims_task anvil_claims_task_t;

/** anvil_claims_decided_cb_t - the verdict on a request; may be called from within
 * anvil_claims_task_submit() */
typedef void (*anvil_claims_decided_cb_t) (void *context,
                                           guint64 id,
                                           anvil_claim_verdict_t verdict,
                                           gint status);

/**
 * anvil_claims_task_options_t - options of the task, pointers are borrowed
 * @node: address and port of this entry for peers
 * @incarnation: greater than at any earlier start of this entry
 */
typedef struct
{
  struct event_base *base;
  anvil_platform_t *platform;
  anvil_metrics_t *metrics;
  anvil_node_t node;
  guint64 incarnation;
} anvil_claims_task_options_t;

anvil_claims_task_t *anvil_claims_task_new (const anvil_claims_task_options_t *options,
                                            anvil_claims_decided_cb_t decided,
                                            void *context);

/** anvil_claims_task_drop - call it after the platform client was closed; no verdict follows */
void anvil_claims_task_drop (anvil_claims_task_t *task);

/**
 * anvil_claims_task_submit - claims a key; the callback receives the verdict
 * @deadline: of the request; the claim itself may time out earlier
 */
void anvil_claims_task_submit (anvil_claims_task_t *task,
                               guint64 id,
                               anvil_str_t service,
                               anvil_str_t key,
                               anvil_time_t deadline);

/** anvil_claims_task_cancel - the caller disconnected before the verdict; no verdict follows */
void anvil_claims_task_cancel (anvil_claims_task_t *task, guint64 id);

/** anvil_claims_task_finished - records the outcome of a request after ANVIL_CLAIM_RUN; call it
 * once per request */
void anvil_claims_task_finished (anvil_claims_task_t *task,
                                 guint64 id,
                                 anvil_claim_outcome_t outcome,
                                 gint status);

/** anvil_claims_task_pending - number of keys with unwritten changes; a graceful shutdown waits
 * until it is 0 or times out */
guint anvil_claims_task_pending (const anvil_claims_task_t *task);
