#pragma once

#include "anvil/config.h"

/** anvil_config_index_t - hash tables and arrays for the lookups of a configuration */
typedef struct anvil_config_index anvil_config_index_t;

/** anvil_config_index_new - indexes a configuration whose arrays are complete */
anvil_config_index_t *anvil_config_index_new (const anvil_config_t *config);
void anvil_config_index_drop (anvil_config_index_t *index);
