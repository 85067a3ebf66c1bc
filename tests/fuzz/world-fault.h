#pragma once

#include "anvil/steer.h"

/**
 * world_fault_t - a safety mechanism of the core to disable, and the oracle that must then fail
 * @name: name of its field in anvil_steer_faults_t
 * @oracle: name of the oracle
 * @offset: offset of the field
 * @directed: random histories rarely reveal it; tests/test-oracles.c has a directed history
 */
typedef struct
{
  const char *name;
  const char *oracle;
  gsize offset;
  gboolean directed;
} world_fault_t;

/** world_faults - all faults; the last element has no name */
extern const world_fault_t world_faults[];

/** world_fault_set - disables a mechanism by name; FALSE if the name is unknown */
gboolean world_fault_set (anvil_steer_faults_t *faults, const char *name);
