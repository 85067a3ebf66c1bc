#pragma once

#include "config/submit.h"

#define FAKE_N_SUBMITTERS 3

typedef struct fake_config_store fake_config_store_t;

/* The call whose result a submitter waits for. */
typedef enum
{
  FAKE_PENDING_NONE,
  FAKE_PENDING_PUT,
  FAKE_PENDING_READ,
  FAKE_PENDING_CHECK,
  FAKE_PENDING_COMMIT,
} fake_pending_call_t;

/**
 * fake_submitter_t - an operator who submits one file after the other
 * @id: id of the submission
 * @expects_generation: the submission is valid only after @expected_generation
 * @row_key: name, prefix or key of the pending call
 * @record: value that the pending commit writes
 */
typedef struct
{
  fake_config_store_t *store;
  anvil_submit_t *submit;
  char *id;
  char *file;
  gboolean expects_generation;
  guint64 expected_generation;
  fake_pending_call_t pending;
  char *row_key;
  guint64 head_version;
  char *record;
  gboolean finished;
} fake_submitter_t;

/**
 * fake_config_store_t - simulated table and object store of configuration files, with submitters
 * @random: chooses the order of events, and the faults
 * @down: calls fail and have no effect
 * @rows: fake_row_t by key
 * @objects: text of a file by object name
 * @files: text of the committed file, by generation - 1
 * @next_id: number of the next submission
 * @generation: newest committed generation
 * @winners: ids of the submissions that took effect
 * @reported_accepted: ids of the submissions that were reported as accepted
 * @reported_unchanged: ids of the submissions that were reported as without effect
 * @format_file: returns the text of the file of a submission
 */
struct fake_config_store
{
  GRand *random;
  gboolean down;
  GHashTable *rows;
  GHashTable *objects;
  GPtrArray *files;
  fake_submitter_t submitters[FAKE_N_SUBMITTERS];
  guint next_id;
  guint64 generation;
  GHashTable *winners;
  GHashTable *reported_accepted;
  GHashTable *reported_unchanged;
  char *(*format_file) (guint submission);
};

fake_config_store_t *fake_config_store_new (GRand *random, char *(*format_file) (guint submission));
void fake_config_store_drop (fake_config_store_t *store);

/** fake_config_store_step - a random submitter starts, times out, or gets the result of its call */
void fake_config_store_step (fake_config_store_t *store);

/** fake_config_store_commit - commits the next generation directly, without a submitter */
void fake_config_store_commit (fake_config_store_t *store, const char *file);

/** fake_config_store_head - value of the row of the newest generation, NULL if there is none */
const char *fake_config_store_head (const fake_config_store_t *store);

/** fake_config_store_check - aborts on a wrong result of a submitter, or if a generation does not
 * have exactly one winner
 */
void fake_config_store_check (const fake_config_store_t *store);
