#pragma once

#include "config/submit.h"

#define FAKE_SUBMITTERS 3

typedef struct fake_registry fake_registry_t;

/* What a submitter asked for and hasn't been told of. */
typedef enum
{
  FAKE_ASKED_NOTHING,
  FAKE_ASKED_PUT,
  FAKE_ASKED_READ,
  FAKE_ASKED_CHECK,
  FAKE_ASKED_COMMIT,
} fake_asked_t;

/** fake_submitter_t - an operator who submits one file after the other */
typedef struct
{
  fake_registry_t *registry;
  anvil_submit_t *submit;
  char *id;
  char *file;
  gboolean expecting;
  guint64 expected;
  fake_asked_t asked;
  char *key;
  guint64 head_version;
  char *record;
  gboolean ended;
} fake_submitter_t;

/**
 * fake_registry_t - the table and the objects of operators' files, with several submitters
 * @random: order of events and faults
 * @down: the platform answers nothing and takes nothing
 * @rows: key to fake_row_t
 * @objects: name to text
 * @files: generation to the text that won it
 * @generation: the newest
 * @winners: submissions that took effect
 * @told_won: submissions that were told so
 * @told_lost: submissions that were told that nothing was changed
 * @write_file: text of the file of a submission
 */
struct fake_registry
{
  GRand *random;
  gboolean down;
  GHashTable *rows;
  GHashTable *objects;
  GPtrArray *files;
  fake_submitter_t submitters[FAKE_SUBMITTERS];
  guint next_id;
  guint64 generation;
  GHashTable *winners;
  GHashTable *told_won;
  GHashTable *told_lost;
  char *(*write_file) (guint submission);
};

fake_registry_t *fake_registry_new (GRand *random, char *(*write_file) (guint submission));
void fake_registry_drop (fake_registry_t *registry);

/** fake_registry_step - one submitter begins, gives up, or has an answer or none */
void fake_registry_step (fake_registry_t *registry);

/** fake_registry_accept - writes the next generation at once, without a submitter */
void fake_registry_accept (fake_registry_t *registry, const char *file);

/** fake_registry_head - value of the head's row, or NULL */
const char *fake_registry_head (const fake_registry_t *registry);

/** fake_registry_check - everyone was told the truth, and each generation has one winner */
void fake_registry_check (const fake_registry_t *registry);
