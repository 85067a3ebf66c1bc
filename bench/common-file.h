#pragma once

#include "anvil/config.h"

/**
 * common_file_size_t - size of a generated operators' file
 * @regions: regions, linked each with each
 * @zones: zones of all regions, taken in turn
 * @seats: seats, spread over the zones in turn
 * @services: services
 * @upstreams: upstreams, spread over services and zones
 * @blocks: client blocks, /24 each, spread over the regions in turn
 */
typedef struct
{
  guint regions;
  guint zones;
  guint seats;
  guint services;
  guint upstreams;
  guint blocks;
} common_file_size_t;

/** common_file_text - the YAML text; freed with g_string_free() */
GString *common_file_text (const common_file_size_t *size);

/** common_file_load - the text, parsed; stops the process on a fault */
anvil_config_t *common_file_load (const common_file_size_t *size);
