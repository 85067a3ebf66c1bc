#pragma once

#include <jansson.h>

#include "anvil/clock.h"

/**
 * platform_faults_t - faults that the stand-in injects
 * @down: every call fails: its connection is closed without a response, and it has no effect
 * @delay: delay before a call is executed
 * @lose_answers_percent: percentage of calls that are executed, but get no response
 * @lose_requests_percent: percentage of calls that are neither executed nor get a response
 * @vm_lag: delay until a change of the VM list is visible
 * @freeze_vms: changes of the VM list don't become visible
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

/** platform_faults_parse - sets the faults in @json; FALSE and no change if one is invalid */
gboolean platform_faults_parse (platform_faults_t *faults, const json_t *json);
