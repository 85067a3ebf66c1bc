#pragma once

#include "anvil/clock.h"
#include "anvil/node.h"
#include "anvil/platform.h"

/*
 * Claims of idempotency keys: a non-idempotent request runs at most once.
 *
 * Pure: events go in with the time, actions come out through callbacks. A key
 * is claimed by a conditional write before its request is dispatched; the
 * outcome is recorded in the same row. docs/CLAIMS.md has the reasons.
 */

/* Longest key of a caller, bytes. */
#define ANVIL_CLAIM_MAX_KEY 255

typedef struct anvil_claims anvil_claims_t;

/**
 * anvil_claim_verdict_t - what to do with a request that has a key
 * @ANVIL_CLAIM_RUN: the key is claimed for this request; dispatch it once
 * @ANVIL_CLAIM_RECORDED: a request with this key was answered before
 * @ANVIL_CLAIM_UNKNOWN: a request with this key was claimed before, its outcome isn't known
 * @ANVIL_CLAIM_UNAVAILABLE: not claimed in time, not run
 */
typedef enum
{
  ANVIL_CLAIM_RUN,
  ANVIL_CLAIM_RECORDED,
  ANVIL_CLAIM_UNKNOWN,
  ANVIL_CLAIM_UNAVAILABLE,
} anvil_claim_verdict_t;

/**
 * anvil_claim_outcome_t - how a request ended that was told to run
 * @ANVIL_CLAIM_OUTCOME_ANSWERED: with a status, which is recorded
 * @ANVIL_CLAIM_OUTCOME_NOT_RUN: truly not run; the key is given back
 * @ANVIL_CLAIM_OUTCOME_UNKNOWN: it may have run; the claim stays
 */
typedef enum
{
  ANVIL_CLAIM_OUTCOME_ANSWERED,
  ANVIL_CLAIM_OUTCOME_NOT_RUN,
  ANVIL_CLAIM_OUTCOME_UNKNOWN,
} anvil_claim_outcome_t;

/**
 * anvil_claim_t - a request that wants its key
 * @id: chosen by the caller of this core, unique among those under way
 * @service: name of its service
 * @key: the caller's key
 * @deadline: when the wait for the claim ends, monotonic
 * @expires_at_s: wall clock in seconds after which the row may be removed
 */
typedef struct
{
  guint64 id;
  anvil_str_t service;
  anvil_str_t key;
  anvil_time_t deadline;
  gint64 expires_at_s;
} anvil_claim_t;

/**
 * anvil_claims_callbacks_t - what the core wants done
 * @commit: one transaction, then anvil_claims_commit_finished(); one at a time
 * @read: the rows under a prefix, then anvil_claims_read_finished() with the same prefix
 * @decided: the verdict on a request, once each; @status goes with ANVIL_CLAIM_RECORDED
 *
 * @commit and @read may be answered from inside the callback or later.
 */
typedef struct
{
  void (*commit) (void *context,
                  const anvil_row_t *conditions,
                  guint n_conditions,
                  const anvil_row_t *writes,
                  guint n_writes);
  void (*read) (void *context, const char *prefix);
  void (*decided) (void *context, guint64 id, anvil_claim_verdict_t verdict, gint status);
} anvil_claims_callbacks_t;

/** anvil_claims_faults_t - mechanisms that tests switch off to see their oracle fail */
typedef struct
{
  gboolean ignore_conflict;
  gboolean ignore_lost_answer;
  gboolean ignore_nonce;
  gboolean ignore_record;
  gboolean ignore_deadline;
  gboolean ignore_interval;
  gboolean release_lost;
  gboolean forget_abandoned;
  gboolean forget_outcome;
  gboolean delete_released;
  gboolean ignore_overtaken;
} anvil_claims_faults_t;

/**
 * anvil_claims_options_t - who claims, and how often it writes
 * @node: this entry
 * @incarnation: greater than at any earlier start
 * @commit_interval: least time between two transactions
 */
typedef struct
{
  anvil_node_t node;
  guint64 incarnation;
  anvil_time_t commit_interval;
  anvil_claims_faults_t faults;
} anvil_claims_options_t;

/* Least time between two transactions of one entry, the default. */
#define ANVIL_CLAIMS_COMMIT_INTERVAL (50 * ANVIL_MS)

anvil_claims_t *anvil_claims_new (const anvil_claims_options_t *options,
                                  const anvil_claims_callbacks_t *actions,
                                  void *context);

/** anvil_claims_drop - forgets everything; claims in the table stay */
void anvil_claims_drop (anvil_claims_t *claims);

/** anvil_claims_submit - a request with a key; decided follows, perhaps at once */
void anvil_claims_submit (anvil_claims_t *claims, anvil_time_t now, const anvil_claim_t *claim);

/** anvil_claims_cancel - the caller left before the verdict; none follows */
void anvil_claims_cancel (anvil_claims_t *claims, anvil_time_t now, guint64 id);

/** anvil_claims_finished - how a request ended after ANVIL_CLAIM_RUN; once each */
void anvil_claims_finished (
    anvil_claims_t *claims, anvil_time_t now, guint64 id, anvil_claim_outcome_t end, gint status);

/** anvil_claims_commit_finished - outcome of the transaction under way */
void anvil_claims_commit_finished (anvil_claims_t *claims,
                                   anvil_time_t now,
                                   anvil_commit_result_t result);

/** anvil_claims_read_finished - answer to a read; @rows is NULL with @failed when there was none */
void anvil_claims_read_finished (anvil_claims_t *claims,
                                 anvil_time_t now,
                                 const char *prefix,
                                 const anvil_row_t *rows,
                                 guint n_rows,
                                 gboolean failed);

/** anvil_claims_tick - does what is due */
void anvil_claims_tick (anvil_claims_t *claims, anvil_time_t now);

/** anvil_claims_next_tick - when to call anvil_claims_tick() next, G_MAXINT64 for never */
anvil_time_t anvil_claims_next_tick (const anvil_claims_t *claims);

/** anvil_claims_pending - keys that something is still to be written or decided for */
guint anvil_claims_pending (const anvil_claims_t *claims);
