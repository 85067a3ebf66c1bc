#pragma once

#include <jansson.h>

#include "anvil-load-keys.h"
#include "anvil-load-tally.h"
#include "anvil-load-upstreams.h"
#include "anvil/config.h"

/**
 * load_report_t - the figures of a run; borrows what it points to
 * @config: the deployment
 * @seed: seed of the run
 * @duration: time in which requests were due
 * @tallies: one for each service
 * @run_check: what the upstreams ran
 * @upstream_report: the upstreams' own report, NULL if it wasn't asked for
 * @lookups: look-ups that were asked for
 * @failed_lookups: look-ups that no entry answered
 * @failovers: entries that couldn't be connected to
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
 * load_verdict_t - what a run must keep; each figure must be 0
 * @no_outcome: requests without an outcome
 * @wrong: wrong or truncated answers
 * @runs_unknown: 1 if the upstreams' report was asked for and not had
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

/** load_report_verdict - the verdict; @runs_wanted tells whether the upstreams were to be asked */
load_verdict_t load_report_verdict (const load_report_t *report, gboolean runs_wanted);

/** load_verdict_passed - whether every figure is 0 */
gboolean load_verdict_passed (const load_verdict_t *verdict);

/** load_report_text - appends the report as tables */
void load_report_text (const load_report_t *report, const load_verdict_t *verdict, GString *out);

/** load_report_json - the report as an object; a new reference */
json_t *load_report_json (const load_report_t *report, const load_verdict_t *verdict);
