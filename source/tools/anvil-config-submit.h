#pragma once

#include "anvil/config.h"
#include "config/submit.h"
#include "tools/anvil-config-session.h"

/**
 * anvil_config_submission_t - a submission and how it ended
 * @file: text of the file
 * @config: the file, checked
 * @after_generation: the only generation that it may follow, or a negative number for any
 * @timeout: longest time for steps that have no answer
 * @result: result; how it ended
 * @committed_head: result; the record of the generation that it was for, if known
 * @refusal_reason: result; why it was refused, or NULL; freed with g_free()
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

/** anvil_config_run_submission - submits and waits for the end */
void anvil_config_run_submission (anvil_config_session_t *session,
                                  anvil_config_submission_t *submission);

/** anvil_config_submission_clear - frees the results */
void anvil_config_submission_clear (anvil_config_submission_t *submission);
