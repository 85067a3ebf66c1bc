#pragma once

#include <jansson.h>

#include "anvil/clock.h"

/**
 * platform_faults_t - faults of the stand-in
 * @down: every call's connection is closed without an answer and without effect
 * @delay: time before a call takes effect
 * @lose_answers_percent: calls that take effect and then end without an answer
 * @lose_requests_percent: calls that end without effect and without an answer
 * @vm_lag: age of the list of VMs
 * @freeze_vms: the list doesn't follow at all
 */
typedef struct
{
  gboolean down;
  anvil_time_t delay;
  guint lose_answers_percent;
  guint lose_requests_percent;
  anvil_time_t vm_lag;
  gboolean freeze_vms;
} platform_faults_t;

/** platform_faults_parse - changes the faults that @json names; FALSE and no change if one is bad
 */
gboolean platform_faults_parse (platform_faults_t *faults, const json_t *json);
