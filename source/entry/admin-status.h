#pragma once

#include <jansson.h>

#include "anvil/steer.h"
#include "entry-settings.h"

/* The JSON of the administration API, as docs/ADMIN.md gives it; new references. */

/** anvil_admin_status - the answer of /v1/status */
json_t *anvil_admin_status (const anvil_steer_t *steer,
                            const anvil_entry_settings_t *settings,
                            anvil_time_t now,
                            gboolean leaving);

/** anvil_admin_drain - the answer of /v1/drain */
json_t *anvil_admin_drain (const anvil_steer_t *steer, anvil_time_t now, gboolean leaving);
