#pragma once

#include "anvil/config.h"

/**
 * common_config_size_t - size of a generated configuration
 * @n_regions: regions, with a link between each two
 * @n_zones: zones, assigned to the regions in turn
 * @n_seats: seats, assigned to the zones in turn
 * @n_services: number of services
 * @n_upstreams: upstreams, spread evenly over services and zones
 * @n_blocks: client blocks of /24, assigned to the regions in turn
 */
typedef struct
{
  guint n_regions;
  guint n_zones;
  guint n_seats;
  guint n_services;
  guint n_upstreams;
  guint n_blocks;
} common_config_size_t;

/** common_config_generate - generates the YAML text; free with g_string_free() */
GString *common_config_generate (const common_config_size_t *size);

/** common_config_load - generates and parses a configuration; exits the process on an error */
anvil_config_t *common_config_load (const common_config_size_t *size);
