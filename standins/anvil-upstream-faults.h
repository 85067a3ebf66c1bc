#pragma once

#include <jansson.h>

#include "anvil/clock.h"

/* lie_running of an upstream that reports its actual number of running requests. */
#define UPSTREAM_REPORT_ACTUAL_RUNNING (-1)

/**
 * upstream_faults_t - faults of one upstream
 * @slow_factor: factor on service times
 * @shed: every request is rejected as overload
 * @drain: new requests are rejected, because the upstream drains
 * @dead: the upstream does not listen
 * @sick: the load report's "healthy" is false
 * @freeze_load: the load report is not updated
 * @lie_running: false number of running requests in the load report, or
 *   UPSTREAM_REPORT_ACTUAL_RUNNING
 * @truncate_percent: percentage of responses whose body is cut off in the middle
 * @close_percent: percentage of requests whose connection is closed after the run
 */
typedef struct
{
  gdouble slow_factor;
  gboolean shed;
  gboolean drain;
  gboolean dead;
  gboolean sick;
  gboolean freeze_load;
  gint lie_running;
  guint truncate_percent;
  guint close_percent;
} upstream_faults_t;

/**
 * upstream_faults_parse - sets the faults in @json; FALSE and no change if one is invalid
 * @restart: result; whether "restart" is set
 * @mark: result; whether "mark" is set
 */
gboolean upstream_faults_parse (upstream_faults_t *faults,
                                const json_t *json,
                                gboolean *restart,
                                gboolean *mark);
