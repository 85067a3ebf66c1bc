#pragma once

#include "anvil/clock.h"
#include "anvil/platform.h"
#include "config/config-head.h"

/**
 * anvil_submit_result_t - result of a submission
 * @ANVIL_SUBMIT_ACCEPTED: the file is the next generation
 * @ANVIL_SUBMIT_CONFLICT: another submission was committed first; nothing was changed
 * @ANVIL_SUBMIT_UNAVAILABLE: the platform did not respond; nothing was changed
 * @ANVIL_SUBMIT_REFUSED: the file may not replace the one in force; nothing was changed
 * @ANVIL_SUBMIT_UNKNOWN: the file may have been or may still be accepted; the history tells
 */
typedef enum
{
  ANVIL_SUBMIT_ACCEPTED,
  ANVIL_SUBMIT_CONFLICT,
  ANVIL_SUBMIT_UNAVAILABLE,
  ANVIL_SUBMIT_REFUSED,
  ANVIL_SUBMIT_UNKNOWN,
} anvil_submit_result_t;

/**
 * anvil_submit_check_t - whether the submitted file may replace the one in force
 * @ANVIL_SUBMIT_CHECK_UNKNOWN: the file in force could not be read
 */
typedef enum
{
  ANVIL_SUBMIT_CHECK_ALLOWED,
  ANVIL_SUBMIT_CHECK_REFUSED,
  ANVIL_SUBMIT_CHECK_UNKNOWN,
} anvil_submit_check_t;

/**
 * anvil_submit_callbacks_t - requests and notifications of a submission
 * @put_object: store the file, then call anvil_submit_store_finished()
 * @read_rows: read the rows whose keys start with @prefix, then call anvil_submit_read_finished()
 * @commit: write @record as head row and as history row in one transaction, on condition that
 *   the head row has version @head_version and the history row is absent; then call
 *   anvil_submit_commit_finished()
 * @check: find out whether the file may replace the one that @before names, then call
 *   anvil_submit_check_finished(); not called for the first file
 * @ended: the submission has ended; @winner is the accepted record if it is known, this one or
 *   another
 */
typedef struct
{
  void (*put_object) (void *context, const char *name);
  void (*read_rows) (void *context, const char *prefix);
  void (*commit) (void *context, guint64 head_version, const char *history_key, const char *record);
  void (*check) (void *context, const anvil_config_head_t *before);
  void (*ended) (void *context, anvil_submit_result_t result, const anvil_config_head_t *winner);
} anvil_submit_callbacks_t;

/**
 * anvil_submit_t - the submission of a file as the next generation
 *
 * Uses neither sockets nor a clock. When the response to a commit is lost, the
 * history row of the generation is read back; if it is absent, the same commit is
 * repeated. It can't take effect twice, since both depend on the same version of
 * the head row.
 */
typedef struct anvil_submit anvil_submit_t;

/**
 * anvil_submit_new - creates a submission; anvil_submit_start() starts it
 * @file: the text of the file
 * @submission_id: unique identifier
 * @submitted_by: user who submits
 * @submitted_at: time as text
 */
anvil_submit_t *anvil_submit_new (anvil_str_t file,
                                  const char *submission_id,
                                  const char *submitted_by,
                                  const char *submitted_at,
                                  const anvil_submit_callbacks_t *callbacks,
                                  void *context);
void anvil_submit_drop (anvil_submit_t *submit);

/**
 * anvil_submit_expect_generation - makes the submission depend on the generation in force
 * @generation: the generation that must be in force, 0 for none
 *
 * If another generation is in force, the result is ANVIL_SUBMIT_CONFLICT. Without
 * this call the file may replace any generation.
 */
void anvil_submit_expect_generation (anvil_submit_t *submit, guint64 generation);

void anvil_submit_start (anvil_submit_t *submit);

/** anvil_submit_store_finished - result of put_object */
void anvil_submit_store_finished (anvil_submit_t *submit, anvil_commit_result_t result);

/** anvil_submit_read_finished - result of read_rows; @answered is FALSE if it failed */
void anvil_submit_read_finished (anvil_submit_t *submit,
                                 gboolean answered,
                                 const anvil_row_t *rows,
                                 guint n_rows);

/** anvil_submit_check_finished - result of check */
void anvil_submit_check_finished (anvil_submit_t *submit, anvil_submit_check_t check);

/** anvil_submit_commit_finished - result of commit */
void anvil_submit_commit_finished (anvil_submit_t *submit, anvil_commit_result_t result);

/** anvil_submit_timed_out - ends the submission; the result says what is known */
void anvil_submit_timed_out (anvil_submit_t *submit);

/** anvil_config_history_key - key of the history row of a generation; freed with g_free() */
char *anvil_config_history_key (guint64 generation);
