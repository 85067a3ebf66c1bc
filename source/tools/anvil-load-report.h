#pragma once

#include <jansson.h>

#include "anvil-load-keys.h"
#include "anvil-load-tally.h"
#include "anvil-load-upstreams.h"
#include "anvil/config.h"

/**
 * load_report_t - results of a run of anvil-load; borrows what it points to
 * @config: configuration of the deployment
 * @seed: seed of the run
 * @duration: time in which requests arrived
 * @tallies: one for each service
 * @run_check: comparison with the upstreams' runs of requests
 * @upstream_report: the upstreams' report, NULL if it was not requested or not received
 * @lookups: look-ups of entries
 * @failed_lookups: look-ups that got no usable response from any entry
 * @failovers: entries that could not be connected to while a request was sent
 */
typedef struct
{
  const anvil_config_t *config;
  guint32 seed;
  anvil_time_t duration;
  const load_tally_t *tallies;
  load_run_check_t run_check;
  const load_upstream_report_t *upstream_report;
  guint64 lookups;
  guint64 failed_lookups;
  guint64 failovers;
} load_report_t;

/**
 * load_verdict_t - counts of faults; a run passes if all of them are 0
 * @no_outcome: requests without an outcome
 * @wrong: responses with a load_fault_t
 * @ran_twice: as in load_run_check_t
 * @refused_but_ran: as in load_run_check_t
 * @answered_without_run: as in load_run_check_t
 * @runs_unknown: 1 if the upstreams' report was requested, but not received
 */
typedef struct
{
  guint64 no_outcome;
  guint64 wrong;
  guint64 ran_twice;
  guint64 refused_but_ran;
  guint64 answered_without_run;
  guint64 runs_unknown;
} load_verdict_t;

/**
 * load_report_verdict - counts the faults
 * @report_requested: whether the upstreams' report was requested
 */
load_verdict_t load_report_verdict (const load_report_t *report, gboolean report_requested);

/** load_verdict_passed - whether every figure is 0 */
gboolean load_verdict_passed (const load_verdict_t *verdict);

/** load_report_text - appends the report as text */
void load_report_text (const load_report_t *report, const load_verdict_t *verdict, GString *out);

/** load_report_json - the report as a JSON object; a new reference */
json_t *load_report_json (const load_report_t *report, const load_verdict_t *verdict);
