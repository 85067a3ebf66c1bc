#pragma once

#include "steer/claims-row.h"

/* Rows of one transaction. */
#define CLAIMS_MAX_BATCH 64
/* Outcomes and releases wait this long for a transaction that carries a claim. */
#define CLAIMS_END_DELAY (200 * ANVIL_MS)
/* Keys under way at one entry. */
#define CLAIMS_MAX_KEYS 20000
/* Reads under way; the client's other connection stays free for the transaction. */
#define CLAIMS_MAX_READS 3
/* The interval grows up to this while the store is away or sheds. */
#define CLAIMS_MAX_INTERVAL ANVIL_SECOND

/**
 * claim_want_t - what is wanted of a key's row
 * @CLAIM_WANT_HELD: the request runs, nothing is to be written
 */
typedef enum
{
  CLAIM_WANT_CLAIM,
  CLAIM_WANT_HELD,
  CLAIM_WANT_RECORD,
  CLAIM_WANT_RELEASE,
} claim_want_t;

/** claim_place_t - where a key is in the flow of writes and reads */
typedef enum
{
  CLAIM_IDLE,
  CLAIM_TO_WRITE,
  CLAIM_WRITING,
  CLAIM_TO_READ,
  CLAIM_READING,
} claim_place_t;

/**
 * claim_key_t - one key under way
 * @row_key: key of its row
 * @want: what is wanted of the row
 * @written: what the transaction under way writes
 * @version: that the row should have, 0 for none
 * @row: the value to write
 * @uncertain: a claim was sent and may be in the table, or still get there
 */
typedef struct
{
  guint64 id;
  char *row_key;
  claim_want_t want;
  claim_want_t written;
  claim_place_t place;
  anvil_time_t deadline;
  guint64 version;
  claim_row_t row;
  gboolean uncertain;
} claim_key_t;

/**
 * anvil_claims - the keys under way at one entry
 * @by_id: keys whose request is still known, by its id
 * @by_row: all keys
 * @to_write: CLAIM_TO_WRITE that requests wait for, in order
 * @to_end: CLAIM_TO_WRITE that nobody waits for, in order
 * @to_read: CLAIM_TO_READ, in order
 * @batch: CLAIM_WRITING
 * @n_reads: CLAIM_READING
 * @wait: present least time between transactions or reads
 * @next_write: when the next transaction may start
 * @next_end: when a transaction without a claim may start, 0 if nothing waits for one
 * @next_read: when the next read may start
 */
struct anvil_claims
{
  anvil_claims_options_t options;
  anvil_claims_callbacks_t actions;
  void *context;
  guint64 nonces;
  GHashTable *by_id;
  GHashTable *by_row;
  GQueue to_write;
  GQueue to_end;
  GQueue to_read;
  claim_key_t *batch[CLAIMS_MAX_BATCH];
  guint n_batch;
  guint n_reads;
  anvil_time_t wait;
  anvil_time_t next_write;
  anvil_time_t next_end;
  anvil_time_t next_read;
};

/** anvil_claim_queue_write - the row is to be written, with the next transaction */
void anvil_claim_queue_write (anvil_claims_t *claims, claim_key_t *key);

/** anvil_claim_queue_read - the row is to be read back */
void anvil_claim_queue_read (anvil_claims_t *claims, claim_key_t *key);

/** anvil_claim_forget - drops a key that nothing is to be done for */
void anvil_claim_forget (anvil_claims_t *claims, claim_key_t *key);

/** anvil_claim_abandon - the request won't run; what may be in the table is released */
void anvil_claim_abandon (anvil_claims_t *claims, claim_key_t *key);

/** anvil_claim_hold - the claim is in the table: tells the request to run, or gives the key back
 */
void anvil_claim_hold (anvil_claims_t *claims, anvil_time_t now, claim_key_t *key);

/** anvil_claim_refuse - verdict other than ANVIL_CLAIM_RUN */
void anvil_claim_refuse (anvil_claims_t *claims,
                         claim_key_t *key,
                         anvil_claim_verdict_t verdict,
                         gint status);

/** anvil_claims_pump - starts the transaction and the reads that are due */
void anvil_claims_pump (anvil_claims_t *claims, anvil_time_t now);

/** anvil_claims_back_off - the store didn't answer, or shed */
void anvil_claims_back_off (anvil_claims_t *claims, anvil_time_t now);
