#pragma once

#include <jansson.h>

#include "anvil/clock.h"

/** platform_vms_t - the list of VMs, shown some time after it was set */
typedef struct platform_vms platform_vms_t;

platform_vms_t *platform_vms_new (void);
void platform_vms_drop (platform_vms_t *vms);

/** platform_vms_set - the true list; @list is borrowed */
void platform_vms_set (platform_vms_t *vms, anvil_time_t now, json_t *list);

/** platform_vms_advance - shows what was set at least @lag ago */
void platform_vms_advance (platform_vms_t *vms, anvil_time_t now, anvil_time_t lag);

/** platform_vms_shown - {"version":N,"vms":[...]} as of the last advance; a new reference */
json_t *platform_vms_shown (const platform_vms_t *vms);
