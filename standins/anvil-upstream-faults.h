#pragma once

#include <jansson.h>

#include "anvil/clock.h"

/* lie_running of an upstream that tells the truth. */
#define UPSTREAM_REPORT_ACTUAL_RUNNING (-1)

/**
 * upstream_faults_t - faults of one upstream
 * @slow_factor: service times are multiplied by it
 * @shed: every request is turned away
 * @drain: no new work
 * @dead: nothing listens
 * @sick: the load report says unhealthy
 * @freeze_load: the load report stays as it is
 * @lie_running: what the load report says of running requests, or UPSTREAM_REPORT_ACTUAL_RUNNING
 * @truncate_percent: answers that end halfway
 * @close_percent: answers that are lost after the request ran
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
 * upstream_faults_parse - changes the faults that @json names; FALSE and no change if one is bad
 * @restart: result; whether "restart" was asked for
 * @mark: result; whether "mark" was asked for
 */
gboolean upstream_faults_parse (upstream_faults_t *faults,
                                const json_t *json,
                                gboolean *restart,
                                gboolean *mark);
