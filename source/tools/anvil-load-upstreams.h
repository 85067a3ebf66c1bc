#pragma once

#include "anvil/clock.h"
#include "anvil/str.h"

/**
 * load_headroom_t - least spare capacity of a region or link during a run
 * @name: the region, or "FROM->TO"
 * @least_percent: spare share of its capacity at the fullest moment
 * @overruns: times that its capacity was exceeded
 */
typedef struct
{
  char *name;
  gdouble least_percent;
  guint64 overruns;
} load_headroom_t;

/**
 * load_drain_time_t - how long a leaving upstream took
 * @duration: from the start of the drain to the end of its last request
 */
typedef struct
{
  char *name;
  anvil_time_t duration;
} load_drain_time_t;

/**
 * load_upstream_report_t - the upstream stand-ins' report
 * @runs: runs by key (char * to guint64 *)
 * @regions: load_headroom_t
 * @links: load_headroom_t
 * @drains: load_drain_time_t
 */
typedef struct
{
  GHashTable *runs;
  GArray *regions;
  GArray *links;
  GArray *drains;
} load_upstream_report_t;

/** load_upstream_report_parse - parses GET /standin/report; NULL with @error if it isn't one */
load_upstream_report_t *load_upstream_report_parse (anvil_str_t json, GError **error);
void load_upstream_report_drop (load_upstream_report_t *upstreams);

/** load_upstream_report_runs - runs of a key, 0 if it never arrived */
guint64 load_upstream_report_runs (const load_upstream_report_t *upstreams, const char *key);
