#pragma once

#include <event2/event.h>

#include "anvil/claims.h"
#include "anvil/metrics.h"
#include "anvil/platform.h"

/**
 * anvil_claims_task_t - claims of this entry, written to the platform's table
 *
 * Belongs to the event loop; keeps the timer that the core asks for.
 */
typedef struct anvil_claims_task anvil_claims_task_t;

/** anvil_claims_decided_cb_t - the verdict on a request; may come from inside submit */
typedef void (*anvil_claims_decided_cb_t) (void *context,
                                           guint64 id,
                                           anvil_claim_verdict_t verdict,
                                           gint status);

/**
 * anvil_claims_task_parts_t - what the task works with, all borrowed
 * @node: this entry
 * @incarnation: greater than at any earlier start
 */
typedef struct
{
  struct event_base *base;
  anvil_platform_t *platform;
  anvil_metrics_t *counters;
  anvil_node_t node;
  guint64 incarnation;
} anvil_claims_task_parts_t;

anvil_claims_task_t *anvil_claims_task_new (const anvil_claims_task_parts_t *parts,
                                            anvil_claims_decided_cb_t decided,
                                            void *context);

/** anvil_claims_task_drop - after the platform's client was closed; no verdict follows */
void anvil_claims_task_drop (anvil_claims_task_t *task);

/**
 * anvil_claims_task_submit - asks for a key; the verdict follows
 * @deadline: of the request; the wait for the claim is bounded besides
 */
void anvil_claims_task_submit (anvil_claims_task_t *task,
                               guint64 id,
                               anvil_str_t service,
                               anvil_str_t key,
                               anvil_time_t deadline);

/** anvil_claims_task_cancel - the caller left before the verdict; none follows */
void anvil_claims_task_cancel (anvil_claims_task_t *task, guint64 id);

/** anvil_claims_task_finished - how a request ended after ANVIL_CLAIM_RUN; once each */
void anvil_claims_task_finished (anvil_claims_task_t *task,
                                 guint64 id,
                                 anvil_claim_outcome_t end,
                                 gint status);

/** anvil_claims_task_busy - keys with something to write; a graceful shutdown waits for 0, bounded
 */
guint anvil_claims_task_busy (const anvil_claims_task_t *task);
