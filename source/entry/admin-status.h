#pragma once

#include <jansson.h>

#include "anvil/steer.h"
#include "entry-settings.h"

/* JSON documents of the administration API, described in docs/ADMIN.md. Each function returns a new
 * reference. */

/** anvil_admin_status - response to GET /v1/status */
json_t *anvil_admin_status (const anvil_steer_t *steer,
                            const anvil_entry_settings_t *settings,
                            anvil_time_t now,
                            gboolean shutting_down);

/** anvil_admin_drain - response to GET /v1/drain */
json_t *anvil_admin_drain (const anvil_steer_t *steer, anvil_time_t now, gboolean shutting_down);
