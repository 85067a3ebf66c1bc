#pragma once

#include "anvil-upstream-context.h"
#include "anvil/settings.h"

/* Indices of the program's settings. */
enum
{
  UPSTREAM_CONFIG,
  UPSTREAM_ADMIN,
  UPSTREAM_VMS,
  UPSTREAM_SERVICE_MS,
  UPSTREAM_LOAD_LAG,
  UPSTREAM_BACKLOG,
  UPSTREAM_COLD_REQUESTS,
  UPSTREAM_COLD_FACTOR,
  UPSTREAM_CACHE_OBJECTS,
  UPSTREAM_SEED,
  UPSTREAM_N_SETTINGS,
};

/** upstream_context_load - initialises the context from the settings and the files that they name;
 * FALSE with @error if one is invalid */
gboolean
upstream_context_load (upstream_context_t *context, const anvil_setting_t *items, GError **error);
void upstream_context_clear (upstream_context_t *context);
