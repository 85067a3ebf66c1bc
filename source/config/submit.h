#pragma once

#include "anvil/clock.h"
#include "anvil/platform.h"
#include "config/config-head.h"

/**
 * anvil_submit_result_t - how a submission ended
 * @ANVIL_SUBMIT_ACCEPTED: the file is the next generation
 * @ANVIL_SUBMIT_CONFLICT: another submission came first; nothing was changed
 * @ANVIL_SUBMIT_UNAVAILABLE: the platform couldn't be reached; nothing was changed
 * @ANVIL_SUBMIT_REFUSED: the file may not follow the one in force; nothing was changed
 * @ANVIL_SUBMIT_UNKNOWN: it may take effect yet; look at the history
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
 * anvil_submit_check_t - whether a file may follow the one in force
 * @ANVIL_SUBMIT_CHECK_UNKNOWN: not known, since the file in force couldn't be had
 */
typedef enum
{
  ANVIL_SUBMIT_CHECK_ALLOWED,
  ANVIL_SUBMIT_CHECK_REFUSED,
  ANVIL_SUBMIT_CHECK_UNKNOWN,
} anvil_submit_check_t;

/**
 * anvil_submit_callbacks_t - what a submission wants done
 * @put_object: store the file, then call anvil_submit_store_finished()
 * @read_rows: read the rows that start with @prefix, then call anvil_submit_read_finished()
 * @commit: write the head and its history in one transaction, if the head's
 *   version is @head_version and the history row is absent; then call
 *   anvil_submit_commit_finished()
 * @check: find out whether the file may follow the one in @before, then call
 *   anvil_submit_check_finished(); the first file is not checked
 * @ended: the submission is over; @winner is set if another won or this one did
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
 * anvil_submit_t - one submission, from the file to a known outcome
 *
 * Has no sockets and no clock. A write whose answer was lost is resolved by
 * reading its generation's history back; if that is absent, the same write is
 * tried again, which can't take effect twice since both depend on one version.
 */
typedef struct anvil_submit anvil_submit_t;

/**
 * anvil_submit_new - a submission that hasn't begun
 * @file: the text of the file
 * @submission: an identifier that no other submission has
 * @by: who submits
 * @at: when, as text
 */
anvil_submit_t *anvil_submit_new (anvil_str_t file,
                                  const char *submission,
                                  const char *by,
                                  const char *at,
                                  const anvil_submit_callbacks_t *actions,
                                  void *context);
void anvil_submit_drop (anvil_submit_t *submit);

/**
 * anvil_submit_expect_generation - makes the submission depend on the file that its author knew
 * @generation: the only one that it may follow, 0 for none
 *
 * If another is in force it has lost to that one. Without this call it follows
 * whatever is in force.
 */
void anvil_submit_expect_generation (anvil_submit_t *submit, guint64 generation);

/** anvil_submit_start - takes the first step */
void anvil_submit_start (anvil_submit_t *submit);

/** anvil_submit_store_finished - outcome of put_object */
void anvil_submit_store_finished (anvil_submit_t *submit, anvil_commit_result_t result);

/** anvil_submit_read_finished - outcome of read; @answered is FALSE when it failed */
void anvil_submit_read_finished (anvil_submit_t *submit,
                                 gboolean answered,
                                 const anvil_row_t *rows,
                                 guint n_rows);

/** anvil_submit_check_finished - outcome of check */
void anvil_submit_check_finished (anvil_submit_t *submit, anvil_submit_check_t check);

/** anvil_submit_commit_finished - outcome of commit */
void anvil_submit_commit_finished (anvil_submit_t *submit, anvil_commit_result_t result);

/** anvil_submit_timed_out - time is over; the outcome says what is known */
void anvil_submit_timed_out (anvil_submit_t *submit);

/** anvil_config_history_key - key of a generation's history row; freed with g_free() */
char *anvil_config_history_key (guint64 generation);
