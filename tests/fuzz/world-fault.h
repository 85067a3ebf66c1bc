#pragma once

#include "anvil/steer.h"

/**
 * world_fault_t - a mechanism of the core that can be switched off, and the oracle that must fail
 * @name: name of its field in anvil_steer_faults_t
 * @oracle: name of the oracle
 * @offset: where the field is
 * @directed: seeds are unlikely to meet it; tests/test-oracles.c has a history for it
 */
typedef struct
{
  const char *name;
  const char *oracle;
  gsize offset;
  gboolean directed;
} world_fault_t;

/** world_faults - all of them; the last has no name */
extern const world_fault_t world_faults[];

/** world_fault_set - switches one mechanism off by name; FALSE if there is none */
gboolean world_fault_set (anvil_steer_faults_t *faults, const char *name);
