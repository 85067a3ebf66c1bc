/* Compares what a requester may do about a late run, in virtual time: wait, run the request a
 * second time beside it, or cancel it and run the request again. */

#include <stdio.h>
#include <stdlib.h>

#include "fake-repeats.h"

typedef struct
{
  const char *name;
  gdouble long_share;
  gboolean all_runs_long;
  gdouble per_second;
  gboolean stalls;
} load_t;

static const load_t loads[] = {
  { .name = "3 in 100 runs 7 times as long", .long_share = 0.03, .per_second = 200 },
  { .name = "the same, 0.8 of the slots busy", .long_share = 0.03, .per_second = 320 },
  { .name = "the same, beyond the slots", .long_share = 0.03, .per_second = 600 },
  { .name = "the same, an upstream stalls", .long_share = 0.03, .per_second = 200, .stalls = TRUE },
  { .name = "long requests, wherever they run",
    .long_share = 0.03,
    .all_runs_long = TRUE,
    .per_second = 200 },
};

static const struct
{
  const char *name;
  fake_late_reaction_t reaction;
} reactions[] = { { "wait", FAKE_LATE_WAIT },
                  { "second run", FAKE_LATE_REPEAT },
                  { "cancel, run again", FAKE_LATE_RERUN } };

static gdouble
ms (anvil_time_t time)
{
  return (gdouble) time / (gdouble) ANVIL_MS;
}

static void
compare (const load_t *load)
{
  fake_repeats_options_t options = fake_repeats_defaults ();
  anvil_time_t plain_work = 0;

  options.long_share = load->long_share;
  options.all_runs_long = load->all_runs_long;
  options.per_second = load->per_second;
  options.stalled_from = load->stalls ? options.length / 2 : 0;
  printf ("%s\n", load->name);
  for (gsize i = 0; i < G_N_ELEMENTS (reactions); i++)
    {
      fake_repeats_results_t results;

      options.reaction = reactions[i].reaction;
      results = fake_repeats_run (&options);
      if (i == 0)
        plain_work = results.work;
      printf ("  %-18s p50 %6.0f  p99 %6.0f  p99.9 %6.0f ms  served %.4f  more runs %5.2f %%  "
              "slot time %+6.2f %%\n",
              reactions[i].name, ms (results.p50), ms (results.p99), ms (results.p999),
              results.served, 100.0 * results.begun / MAX (results.n_requests, 1),
              100.0 * ((gdouble) results.work / (gdouble) MAX (plain_work, 1) - 1));
    }
}

int
main (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (loads); i++)
    compare (&loads[i]);
  return EXIT_SUCCESS;
}
