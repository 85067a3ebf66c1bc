#pragma once

#include "anvil/config.h"
#include "config/submit.h"
#include "tools/anvil-config-session.h"

/**
 * anvil_config_submission_t - parameters and result of a submission
 * @file: text of the file
 * @config: the same file, parsed and valid
 * @after_generation: generation that must be in force when the file is submitted; negative for any
 * @timeout: how long steps that got no response are retried
 * @result: result; how it ended
 * @committed_head: result; head record of the generation that was submitted, if known: of this
 *   submission, or of the one that it lost to
 * @refusal_reason: result; why it was refused, or NULL
 */
typedef struct
{
  anvil_str_t file;
  const anvil_config_t *config;
  gint64 after_generation;
  anvil_time_t timeout;
  anvil_submit_result_t result;
  anvil_config_head_t committed_head;
  char *refusal_reason;
} anvil_config_submission_t;

/** anvil_config_run_submission - submits a file and blocks until the result is known */
void anvil_config_run_submission (anvil_config_session_t *session,
                                  anvil_config_submission_t *submission);

/** anvil_config_submission_clear - frees the results */
void anvil_config_submission_clear (anvil_config_submission_t *submission);
