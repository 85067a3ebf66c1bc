#pragma once

#include "anvil/metrics.h"
#include "anvil/platform.h"
#include "anvil/steer.h"

/** anvil_vm_task_t - polls the platform's VM list for the decision core, less often while calls
 * fail */
typedef struct anvil_vm_task anvil_vm_task_t;

anvil_vm_task_t *anvil_vm_task_open (struct event_base *base,
                                     anvil_platform_t *platform,
                                     anvil_steer_t *steer,
                                     anvil_metrics_t *metrics);

/** anvil_vm_task_close - call it after the platform client was closed */
void anvil_vm_task_close (anvil_vm_task_t *task);
