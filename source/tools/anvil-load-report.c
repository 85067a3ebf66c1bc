#include "anvil-load-report.h"

load_verdict_t
load_report_verdict (const load_report_t *report, gboolean report_requested)
{
  load_verdict_t verdict = {
    .ran_twice = report->run_check.ran_twice,
    .refused_but_ran = report->run_check.refused_but_ran,
    .answered_without_run = report->run_check.answered_without_run,
    .runs_unknown = report_requested && !report->run_check.known,
  };

  for (guint i = 0; i < report->config->n_services; i++)
    {
      verdict.no_outcome += load_tally_pending (&report->tallies[i]);
      verdict.wrong += load_tally_wrong (&report->tallies[i]);
    }
  return verdict;
}

gboolean
load_verdict_passed (const load_verdict_t *verdict)
{
  return verdict->no_outcome == 0 && verdict->wrong == 0 && verdict->ran_twice == 0
         && verdict->refused_but_ran == 0 && verdict->answered_without_run == 0
         && verdict->runs_unknown == 0;
}

static gdouble
to_ms (anvil_time_t time)
{
  return (gdouble) time / ANVIL_MS;
}

static void
append_services (const load_report_t *report, GString *out)
{
  g_string_append_printf (out, "%-14s %8s %8s %8s %8s %8s %7s %9s %9s %9s\n", "service", "requests",
                          "answered", "refused", "unknown", "not sent", "wrong", "p50 ms", "p99 ms",
                          "worst ms");
  for (guint i = 0; i < report->config->n_services; i++)
    {
      const load_tally_t *tally = &report->tallies[i];

      g_string_append_printf (out,
                              "%-14s %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT
                              " %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT
                              " %7" G_GUINT64_FORMAT " %9.1f %9.1f %9.1f\n",
                              report->config->services[i].name.data, tally->started,
                              tally->outcomes[LOAD_ANSWERED], tally->outcomes[LOAD_REFUSED],
                              tally->outcomes[LOAD_UNKNOWN], tally->outcomes[LOAD_NOT_SENT],
                              load_tally_wrong (tally),
                              to_ms (load_histogram_percentile (tally->latency, 50)),
                              to_ms (load_histogram_percentile (tally->latency, 99)),
                              to_ms (load_histogram_worst (tally->latency)));
    }
}

static void
append_upstream_report (const load_upstream_report_t *report, GString *out)
{
  g_string_append (out, "\nleast headroom by region\n");
  for (guint i = 0; i < report->regions->len; i++)
    {
      const load_headroom_t *region = &g_array_index (report->regions, load_headroom_t, i);

      g_string_append_printf (out, "  %-20s %6.1f %%  overruns %" G_GUINT64_FORMAT "\n",
                              region->name, region->least_percent, region->overruns);
    }
  g_string_append (out, "least headroom by link\n");
  for (guint i = 0; i < report->links->len; i++)
    {
      const load_headroom_t *link = &g_array_index (report->links, load_headroom_t, i);

      g_string_append_printf (out, "  %-20s %6.1f %%  overruns %" G_GUINT64_FORMAT "\n", link->name,
                              link->least_percent, link->overruns);
    }
  if (report->drains->len == 0)
    g_string_append (out, "drain time: no upstream left\n");
  for (guint i = 0; i < report->drains->len; i++)
    {
      const load_drain_time_t *drain = &g_array_index (report->drains, load_drain_time_t, i);

      g_string_append_printf (out, "drain time of %s: %.1f ms\n", drain->name,
                              to_ms (drain->duration));
    }
}

static void
append_verdict (const load_verdict_t *verdict, GString *out)
{
  g_string_append_printf (out,
                          "verdict: %s no_outcome=%" G_GUINT64_FORMAT " wrong=%" G_GUINT64_FORMAT
                          " ran_twice=%" G_GUINT64_FORMAT " refused_but_ran=%" G_GUINT64_FORMAT
                          " answered_without_run=%" G_GUINT64_FORMAT
                          " runs_unknown=%" G_GUINT64_FORMAT "\n",
                          load_verdict_passed (verdict) ? "kept" : "BROKEN", verdict->no_outcome,
                          verdict->wrong, verdict->ran_twice, verdict->refused_but_ran,
                          verdict->answered_without_run, verdict->runs_unknown);
}

void
load_report_text (const load_report_t *report, const load_verdict_t *verdict, GString *out)
{
  g_string_append_printf (out, "deployment %s, %.0f s, seed %u\n\n",
                          report->config->deployment.data,
                          (gdouble) report->duration / ANVIL_SECOND, report->seed);
  append_services (report, out);
  g_string_append_printf (out,
                          "\nlook-ups %" G_GUINT64_FORMAT " (%" G_GUINT64_FORMAT
                          " failed), next entry tried %" G_GUINT64_FORMAT "\n",
                          report->lookups, report->failed_lookups, report->failovers);
  if (report->upstream_report != NULL)
    append_upstream_report (report->upstream_report, out);
  if (report->run_check.known)
    g_string_append_printf (out,
                            "runs %" G_GUINT64_FORMAT
                            ", keys safe to repeat that ran again %" G_GUINT64_FORMAT "\n",
                            report->run_check.runs, report->run_check.repeated);
  append_verdict (verdict, out);
}

static json_t *
json_service (const anvil_service_t *service, const load_tally_t *tally)
{
  return json_pack (
      "{s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:f, s:f, s:f}", "name", service->name.data,
      "requests", (json_int_t) tally->started, "repeats", (json_int_t) tally->repeats, "answered",
      (json_int_t) tally->outcomes[LOAD_ANSWERED], "refused",
      (json_int_t) tally->outcomes[LOAD_REFUSED], "unknown",
      (json_int_t) tally->outcomes[LOAD_UNKNOWN], "not_sent",
      (json_int_t) tally->outcomes[LOAD_NOT_SENT], "no_outcome",
      (json_int_t) load_tally_pending (tally), "wrong", (json_int_t) load_tally_wrong (tally),
      "p50_ms", to_ms (load_histogram_percentile (tally->latency, 50)), "p99_ms",
      to_ms (load_histogram_percentile (tally->latency, 99)), "worst_ms",
      to_ms (load_histogram_worst (tally->latency)));
}

static json_t *
json_headrooms (const GArray *headrooms)
{
  json_t *array = json_array ();

  for (guint i = 0; i < headrooms->len; i++)
    {
      const load_headroom_t *headroom = &g_array_index (headrooms, load_headroom_t, i);

      json_array_append_new (array, json_pack ("{s:s, s:f, s:I}", "name", headroom->name,
                                               "least_percent", headroom->least_percent, "overruns",
                                               (json_int_t) headroom->overruns));
    }
  return array;
}

static json_t *
json_drains (const GArray *drains)
{
  json_t *array = json_array ();

  for (guint i = 0; i < drains->len; i++)
    {
      const load_drain_time_t *drain = &g_array_index (drains, load_drain_time_t, i);

      json_array_append_new (
          array, json_pack ("{s:s, s:f}", "upstream", drain->name, "ms", to_ms (drain->duration)));
    }
  return array;
}

static json_t *
json_verdict (const load_verdict_t *verdict)
{
  return json_pack ("{s:b, s:I, s:I, s:I, s:I, s:I, s:I}", "kept", load_verdict_passed (verdict),
                    "no_outcome", (json_int_t) verdict->no_outcome, "wrong",
                    (json_int_t) verdict->wrong, "ran_twice", (json_int_t) verdict->ran_twice,
                    "refused_but_ran", (json_int_t) verdict->refused_but_ran,
                    "answered_without_run", (json_int_t) verdict->answered_without_run,
                    "runs_unknown", (json_int_t) verdict->runs_unknown);
}

json_t *
load_report_json (const load_report_t *report, const load_verdict_t *verdict)
{
  json_t *services = json_array ();
  json_t *root = json_pack (
      "{s:s, s:f, s:I, s:I, s:I, s:I}", "deployment", report->config->deployment.data, "seconds",
      (gdouble) report->duration / ANVIL_SECOND, "seed", (json_int_t) report->seed, "lookups",
      (json_int_t) report->lookups, "failed_lookups", (json_int_t) report->failed_lookups,
      "failovers", (json_int_t) report->failovers);

  for (guint i = 0; i < report->config->n_services; i++)
    json_array_append_new (services,
                           json_service (&report->config->services[i], &report->tallies[i]));
  json_object_set_new (root, "services", services);
  if (report->upstream_report != NULL)
    {
      json_object_set_new (root, "regions", json_headrooms (report->upstream_report->regions));
      json_object_set_new (root, "links", json_headrooms (report->upstream_report->links));
      json_object_set_new (root, "drains", json_drains (report->upstream_report->drains));
    }
  if (report->run_check.known)
    json_object_set_new (root, "runs",
                         json_pack ("{s:I, s:I}", "all", (json_int_t) report->run_check.runs,
                                    "repeated", (json_int_t) report->run_check.repeated));
  json_object_set_new (root, "verdict", json_verdict (verdict));
  return root;
}
