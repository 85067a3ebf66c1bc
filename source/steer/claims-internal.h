#pragma once

#include "steer/claims-row.h"

/* Maximum rows in one transaction. */
#define CLAIMS_MAX_BATCH 64
/* Outcomes and releases are delayed by this, so that they join a transaction with claims. */
#define CLAIMS_FINISH_DELAY (200 * ANVIL_MS)
/* Maximum keys in progress at one entry. */
#define CLAIMS_MAX_KEYS 20000
/* Maximum concurrent reads; leaves one connection of the platform client for the transaction. */
#define CLAIMS_MAX_READS 3
/* Upper bound of the interval, which doubles while the store is unreachable or overloaded. */
#define CLAIMS_MAX_INTERVAL ANVIL_SECOND

/**
 * claim_goal_t - what is to become of a key's row
 * @CLAIM_GOAL_HOLD: the request runs; the row stays claimed and nothing is written
 */
typedef enum
{
  CLAIM_GOAL_CLAIM,
  CLAIM_GOAL_HOLD,
  CLAIM_GOAL_RECORD,
  CLAIM_GOAL_RELEASE,
} claim_goal_t;

/** claim_stage_t - whether a key's row is being written or read, or queued for it */
typedef enum
{
  CLAIM_IDLE,
  CLAIM_WRITE_QUEUED,
  CLAIM_WRITING,
  CLAIM_READ_QUEUED,
  CLAIM_READING,
} claim_stage_t;

/**
 * claim_key_t - a key in progress
 * @row_key: key of its row
 * @goal: what is to become of the row
 * @written: goal at the time at which the current transaction was sent
 * @version: version that the row must have to be written, 0 if it must be absent
 * @row: the value to write
 * @uncertain: a claim was sent that is in the table or may still reach it
 */
typedef struct
{
  guint64 id;
  char *row_key;
  claim_goal_t goal;
  claim_goal_t written;
  claim_stage_t stage;
  anvil_time_t deadline;
  guint64 version;
  claim_row_t row;
  gboolean uncertain;
} claim_key_t;

/**
 * anvil_claims - the keys in progress at one entry
 * @last_nonce: number of the last nonce, counted from 1
 * @by_id: keys whose request has no verdict yet or runs, by the request's id
 * @by_row: all keys, by the key of their row
 * @claim_queue: keys in CLAIM_WRITE_QUEUED whose request waits for its claim
 * @finish_queue: the other keys in CLAIM_WRITE_QUEUED: outcomes and releases
 * @read_queue: keys in CLAIM_READ_QUEUED
 * @batch: keys in CLAIM_WRITING
 * @n_reads: number of keys in CLAIM_READING
 * @interval: current minimum time between transactions, and between a failure and the next read
 * @next_commit_at: when the next transaction may start
 * @finish_commit_at: when outcomes and releases are written even without a claim, 0 for not set
 * @next_read_at: when the next read may start
 */
struct anvil_claims
{
  anvil_claims_options_t options;
  anvil_claims_callbacks_t callbacks;
  void *context;
  guint64 last_nonce;
  GHashTable *by_id;
  GHashTable *by_row;
  GQueue claim_queue;
  GQueue finish_queue;
  GQueue read_queue;
  claim_key_t *batch[CLAIMS_MAX_BATCH];
  guint n_batch;
  guint n_reads;
  anvil_time_t interval;
  anvil_time_t next_commit_at;
  anvil_time_t finish_commit_at;
  anvil_time_t next_read_at;
};

/** anvil_claim_queue_write - queues the row of a key for a transaction */
void anvil_claim_queue_write (anvil_claims_t *claims, claim_key_t *key);

/** anvil_claim_queue_read - queues the row of a key to be read back */
void anvil_claim_queue_read (anvil_claims_t *claims, claim_key_t *key);

/** anvil_claim_remove - removes and frees a key */
void anvil_claim_remove (anvil_claims_t *claims, claim_key_t *key);

/** anvil_claim_abandon - gives up a key whose request won't run; a claim that may be in the table
 * is released */
void anvil_claim_abandon (anvil_claims_t *claims, claim_key_t *key);

/** anvil_claim_confirm - the claim is in the table: lets the request run, or releases the key if
 * the request is late or cancelled */
void anvil_claim_confirm (anvil_claims_t *claims, anvil_time_t now, claim_key_t *key);

/** anvil_claim_refuse - ends a request with a verdict other than ANVIL_CLAIM_RUN */
void anvil_claim_refuse (anvil_claims_t *claims,
                         claim_key_t *key,
                         anvil_claim_verdict_t verdict,
                         gint status);

/** anvil_claims_start_due - starts the transaction and the reads that are due */
void anvil_claims_start_due (anvil_claims_t *claims, anvil_time_t now);

/** anvil_claims_back_off - doubles the interval after the store didn't answer or was overloaded */
void anvil_claims_back_off (anvil_claims_t *claims, anvil_time_t now);
