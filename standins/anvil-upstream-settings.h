#pragma once

#include "anvil-upstream-context.h"
#include "anvil/settings.h"

/* The settings of the program, by their place in its list. */
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

/** upstream_context_load - reads the deployment and the VMs; FALSE with @error if one is bad */
gboolean
upstream_context_load (upstream_context_t *context, const anvil_setting_t *items, GError **error);
void upstream_context_clear (upstream_context_t *context);
