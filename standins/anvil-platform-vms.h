#pragma once

#include <jansson.h>

#include "anvil/clock.h"

/** platform_vm_list_t - list of VMs whose changes are published with a delay */
typedef struct platform_vm_list platform_vm_list_t;

platform_vm_list_t *platform_vm_list_new (void);
void platform_vm_list_drop (platform_vm_list_t *vms);

/** platform_vm_list_set - sets the current list; @list is borrowed */
void platform_vm_list_set (platform_vm_list_t *vms, anvil_time_t now, json_t *list);

/** platform_vm_list_publish - publishes what was set at least @lag ago */
void platform_vm_list_publish (platform_vm_list_t *vms, anvil_time_t now, anvil_time_t lag);

/** platform_vm_list_published - published list, {"version":N,"vms":[...]}; a new reference */
json_t *platform_vm_list_published (const platform_vm_list_t *vms);
