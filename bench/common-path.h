#pragma once

#include <glib.h>

/** common_extent_t - how much the checks on the path of a request have to look at */
typedef enum
{
  COMMON_EXTENT_NONE,
  COMMON_EXTENT_ONE,
  COMMON_EXTENT_MANY,
  COMMON_N_EXTENTS,
} common_extent_t;

/** common_path_cost_t - mean time of the checks, in nanoseconds
 * @connection_ns: whether an upstream connection has carried a request's id; many are as many as
 *   it keeps
 * @entry_ns: whether an upstream pauses for an entry that keeps none, one or 1000 pauses
 * @dispatch_ns: a request at the holder, from its submission to its end; with many, 60 upstreams
 *   pause for each of 490 entries, but for one that takes the request
 * @tick_ns: one tick of the holder with 4000 requests of one entry queued; with many, all upstreams
 *   pause for it, and all their slots are free
 */
typedef struct
{
  gdouble connection_ns;
  gdouble entry_ns;
  gdouble dispatch_ns;
  gdouble tick_ns;
} common_path_cost_t;

const char *common_extent_name (common_extent_t extent);
common_path_cost_t common_path_cost (common_extent_t extent);
