#pragma once

#include "anvil/clock.h"
#include "anvil/node.h"
#include "anvil/platform.h"

/*
 * Claims of idempotency keys, so that a non-idempotent request runs at most once.
 *
 * A key is claimed by a conditional write to the platform's table before its
 * request is dispatched, and the outcome is recorded in the same row. This
 * module does no I/O and reads no clock: events are passed in with the current
 * time, and it acts through callbacks. docs/CLAIMS.md explains the design.
 */

/* Longest idempotency key, bytes. */
#define ANVIL_CLAIM_MAX_KEY 255

typedef struct anvil_claims anvil_claims_t;

/**
 * anvil_claim_verdict_t - what to do with a request that has an idempotency key
 * @ANVIL_CLAIM_RUN: the key is claimed for this request; dispatch it once
 * @ANVIL_CLAIM_RECORDED: an earlier request with this key was answered; its status is recorded
 * @ANVIL_CLAIM_UNKNOWN: an earlier request has claimed this key and its outcome is unknown
 * @ANVIL_CLAIM_UNAVAILABLE: the key could not be claimed in time; the request isn't run
 */
typedef enum
{
  ANVIL_CLAIM_RUN,
  ANVIL_CLAIM_RECORDED,
  ANVIL_CLAIM_UNKNOWN,
  ANVIL_CLAIM_UNAVAILABLE,
} anvil_claim_verdict_t;

/**
 * anvil_claim_outcome_t - how a request ended after ANVIL_CLAIM_RUN
 * @ANVIL_CLAIM_OUTCOME_ANSWERED: with a status, which is recorded
 * @ANVIL_CLAIM_OUTCOME_NOT_RUN: it certainly did not run; the key is released
 * @ANVIL_CLAIM_OUTCOME_UNKNOWN: it may have run; the claim stays in the table
 */
typedef enum
{
  ANVIL_CLAIM_OUTCOME_ANSWERED,
  ANVIL_CLAIM_OUTCOME_NOT_RUN,
  ANVIL_CLAIM_OUTCOME_UNKNOWN,
} anvil_claim_outcome_t;

/**
 * anvil_claim_t - a request to claim an idempotency key
 * @id: chosen by the user of this module, unique among the requests in progress
 * @service: name of the service that the request is for
 * @key: the idempotency key that the caller sent
 * @deadline: when to give up claiming the key, on the monotonic clock
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
 * anvil_claims_callbacks_t - actions that the claims request
 * @commit: run a transaction, then call anvil_claims_commit_finished(); one at a time
 * @read: read the rows whose key starts with @prefix, then call anvil_claims_read_finished() with
 *   the same prefix
 * @decided: the verdict on a request, exactly once unless it is cancelled; @status is set with
 *   ANVIL_CLAIM_RECORDED
 *
 * The result of @commit and @read may be passed in from inside the callback or later.
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

/** anvil_claims_faults_t - mechanisms that tests disable to check that their oracle notices */
typedef struct
{
  gboolean ignore_conflict;
  gboolean ignore_lost_answer;
  gboolean ignore_nonce;
  gboolean ignore_record;
  gboolean ignore_deadline;
  gboolean ignore_interval;
  gboolean release_unknown;
  gboolean skip_abandoned_release;
  gboolean skip_outcome_record;
  gboolean delete_released;
  gboolean skip_repeated_release;
} anvil_claims_faults_t;

/**
 * anvil_claims_options_t - identity of this entry and its write rate
 * @node: this entry
 * @incarnation: greater than at any earlier start of this entry
 * @commit_interval: minimum time between two transactions
 * @faults: for tests
 */
typedef struct
{
  anvil_node_t node;
  guint64 incarnation;
  anvil_time_t commit_interval;
  anvil_claims_faults_t faults;
} anvil_claims_options_t;

/* Default minimum time between two transactions of one entry. */
#define ANVIL_CLAIMS_COMMIT_INTERVAL (50 * ANVIL_MS)

anvil_claims_t *anvil_claims_new (const anvil_claims_options_t *options,
                                  const anvil_claims_callbacks_t *callbacks,
                                  void *context);

/** anvil_claims_drop - frees the state of this entry; rows in the table stay */
void anvil_claims_drop (anvil_claims_t *claims);

/** anvil_claims_submit - starts to claim a key; calls decided, possibly from inside this call */
void anvil_claims_submit (anvil_claims_t *claims, anvil_time_t now, const anvil_claim_t *claim);

/** anvil_claims_cancel - withdraws a request that has no verdict yet; it gets none */
void anvil_claims_cancel (anvil_claims_t *claims, anvil_time_t now, guint64 id);

/** anvil_claims_finished - reports how a request ended after ANVIL_CLAIM_RUN; once per request */
void anvil_claims_finished (anvil_claims_t *claims,
                            anvil_time_t now,
                            guint64 id,
                            anvil_claim_outcome_t outcome,
                            gint status);

/** anvil_claims_commit_finished - result of the transaction that the commit callback started */
void anvil_claims_commit_finished (anvil_claims_t *claims,
                                   anvil_time_t now,
                                   anvil_commit_result_t result);

/** anvil_claims_read_finished - result of a read; @rows are ignored if it failed */
void anvil_claims_read_finished (anvil_claims_t *claims,
                                 anvil_time_t now,
                                 const char *prefix,
                                 const anvil_row_t *rows,
                                 guint n_rows,
                                 gboolean failed);

/** anvil_claims_tick - expires requests past their deadline and starts writes and reads that are
 * due */
void anvil_claims_tick (anvil_claims_t *claims, anvil_time_t now);

/** anvil_claims_next_tick - when to call anvil_claims_tick() next, G_MAXINT64 for never */
anvil_time_t anvil_claims_next_tick (const anvil_claims_t *claims);

/** anvil_claims_pending - number of keys in progress: without a verdict, running, or to be written
 */
guint anvil_claims_pending (const anvil_claims_t *claims);
