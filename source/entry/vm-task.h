#pragma once

#include "anvil/metrics.h"
#include "anvil/platform.h"
#include "anvil/steer.h"

/** anvil_vm_task_t - polls the platform's VM list for the core, less often while it is away */
typedef struct anvil_vm_task anvil_vm_task_t;

anvil_vm_task_t *anvil_vm_task_open (struct event_base *base,
                                     anvil_platform_t *platform,
                                     anvil_steer_t *steer,
                                     anvil_metrics_t *counters);

/** anvil_vm_task_close - after the platform's client was closed */
void anvil_vm_task_close (anvil_vm_task_t *task);
