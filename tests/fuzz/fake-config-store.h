#pragma once

#include "config/submit.h"

#define FAKE_N_SUBMITTERS 3

typedef struct fake_config_store fake_config_store_t;

/* What a submitter asked for and hasn't been told of. */
typedef enum
{
  FAKE_PENDING_NONE,
  FAKE_PENDING_PUT,
  FAKE_PENDING_READ,
  FAKE_PENDING_CHECK,
  FAKE_PENDING_COMMIT,
} fake_pending_call_t;

/** fake_submitter_t - an operator who submits one file after the other */
typedef struct
{
  fake_config_store_t *registry;
  anvil_submit_t *submit;
  char *id;
  char *file;
  gboolean expecting;
  guint64 expected;
  fake_pending_call_t asked;
  char *key;
  guint64 head_version;
  char *record;
  gboolean ended;
} fake_submitter_t;

/**
 * fake_config_store_t - the table and the objects of operators' files, with several submitters
 * @random: order of events and faults
 * @down: the platform answers nothing and takes nothing
 * @rows: key to fake_row_t
 * @objects: name to text
 * @files: generation to the text that won it
 * @generation: the newest
 * @winners: submissions that took effect
 * @reported_accepted: submissions that were told so
 * @reported_unchanged: submissions that were told that nothing was changed
 * @write_file: text of the file of a submission
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
  char *(*write_file) (guint submission);
};

fake_config_store_t *fake_config_store_new (GRand *random, char *(*write_file) (guint submission));
void fake_config_store_drop (fake_config_store_t *registry);

/** fake_config_store_step - one submitter begins, gives up, or has an answer or none */
void fake_config_store_step (fake_config_store_t *registry);

/** fake_config_store_commit - writes the next generation at once, without a submitter */
void fake_config_store_commit (fake_config_store_t *registry, const char *file);

/** fake_config_store_head - value of the head's row, or NULL */
const char *fake_config_store_head (const fake_config_store_t *registry);

/** fake_config_store_check - everyone was told the truth, and each generation has one winner */
void fake_config_store_check (const fake_config_store_t *registry);
