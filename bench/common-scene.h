#pragma once

#include "common-measure.h"
#include "common-policy.h"

/** common_scene_kind_t - what happens in a scene */
typedef enum
{
  COMMON_SCENE_STEADY_50,
  COMMON_SCENE_STEADY_80,
  COMMON_SCENE_STEADY_95,
  COMMON_SCENE_ENTRY_LOST,
  COMMON_SCENE_UPLOAD_BURST,
  COMMON_SCENE_SHIFT_COLD,
  COMMON_SCENE_STORE_AWAY,
  COMMON_SCENE_ROLLING_DRAIN,
  COMMON_SCENE_REGION_LOST,
  COMMON_SCENE_REPORTS_FROZEN,
  COMMON_N_SCENES,
} common_scene_kind_t;

/** common_scene_name - "steady 50 %" and so on */
const char *common_scene_name (common_scene_kind_t kind);

/**
 * common_scene_run - runs a scene with one way to decide
 * @config: the deployment
 * @seed: of the arrivals, which are the same for every way, and of the rest
 */
common_figures_t
common_scene_run (common_scene_kind_t kind, common_way_t way, anvil_config_t *config, guint32 seed);
