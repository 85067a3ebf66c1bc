#pragma once

#include "anvil/clock.h"
#include "anvil/str.h"

/**
 * load_headroom_t - minimum spare capacity of a region or link
 * @name: the region, or "FROM->TO"
 * @least_percent: spare part of its capacity at peak use; negative if the peak exceeded it
 * @overruns: how often its capacity was exceeded
 */
typedef struct
{
  char *name;
  gdouble least_percent;
  guint64 overruns;
} load_headroom_t;

/**
 * load_drain_time_t - how long an upstream took to drain
 * @name: the upstream
 * @duration: from the start of the drain to the end of its last request
 */
typedef struct
{
  char *name;
  anvil_time_t duration;
} load_drain_time_t;

/**
 * load_upstream_report_t - report of the stand-in for upstreams
 * @runs: number of runs by key (char * to guint64 *)
 * @regions: of load_headroom_t
 * @links: of load_headroom_t
 * @drains: of load_drain_time_t
 */
typedef struct
{
  GHashTable *runs;
  GArray *regions;
  GArray *links;
  GArray *drains;
} load_upstream_report_t;

/** load_upstream_report_parse - parses GET /standin/report; NULL with @error if it is invalid */
load_upstream_report_t *load_upstream_report_parse (anvil_str_t json, GError **error);
void load_upstream_report_drop (load_upstream_report_t *report);

/** load_upstream_report_runs - number of runs of a key, 0 if the report doesn't have it */
guint64 load_upstream_report_runs (const load_upstream_report_t *report, const char *key);
