/* Choice of the region that serves a caller: each region serves callers according to its slots. */

#include <check.h>
#include <stdlib.h>

#include "steer/steer-internal.h"

/* Upstreams of 3 slots: sever has 4 in zapad and 1 in stred, juh 2 in stred and 4 in vychod. */
static const char config_text[]
    = "deployment: test\n"
      "halves: [{name: sever}, {name: juh}]\n"
      "regions:\n"
      "  - {name: zapad, zones: [zapad-a], clients: [10.1.0.0/16]}\n"
      "  - {name: stred, zones: [stred-a], clients: [10.2.0.0/16]}\n"
      "  - {name: vychod, zones: [vychod-a], clients: [10.3.0.0/16]}\n"
      "links:\n"
      "  - {between: [zapad, stred], mbit_per_s: 280, delay_ms: 35}\n"
      "  - {between: [zapad, vychod], mbit_per_s: 280, delay_ms: 35}\n"
      "  - {between: [stred, vychod], mbit_per_s: 280, delay_ms: 35}\n"
      "services:\n"
      "  - {name: galeria, owner: sever, shares: [{half: sever, percent: 50}, {half: juh, percent: "
      "50}],\n"
      "     idempotent: true, deadline_ms: 2000, queue: 10, request_kb: 1, response_kb: 60,\n"
      "     max_request_kb: 64, prefer: latency}\n"
      "upstreams:\n"
      "  - {service: galeria, half: sever, zone: zapad-a, address: 127.1.1.1, port: 80, count: 4, "
      "slots: 3,\n"
      "     connections: 330}\n"
      "  - {service: galeria, half: sever, zone: stred-a, address: 127.1.2.1, port: 80, count: 1, "
      "slots: 3,\n"
      "     connections: 330}\n"
      "  - {service: galeria, half: juh, zone: stred-a, address: 127.1.3.1, port: 80, count: 2, "
      "slots: 3,\n"
      "     connections: 330}\n"
      "  - {service: galeria, half: juh, zone: vychod-a, address: 127.1.4.1, port: 80, count: 4, "
      "slots: 3,\n"
      "     connections: 330}\n"
      "seats:\n"
      "  - {zone: zapad-a}\n"
      "  - {zone: stred-a}\n"
      "  - {zone: vychod-a}\n";

#define CLIENTS_PER_REGION 20000u
#define N_REGIONS 3u

static anvil_steer_t *
new_steer (void)
{
  static const anvil_steer_callbacks_t no_actions = { 0 };
  const anvil_steer_options_t options
      = { .node = 1, .incarnation = 1, .zone = anvil_str ("zapad-a"), .seed = 1 };
  anvil_steer_t *steer = anvil_steer_new (&options, &no_actions, NULL);
  GError *error = NULL;
  anvil_config_t *config = anvil_config_load ("test.yaml", anvil_str (config_text), &error);

  ck_assert_msg (config != NULL, "%s", error != NULL ? error->message : "");
  anvil_steer_configure (steer, 0, config, 1);
  anvil_config_drop (config);
  return steer;
}

START_TEST (test_regions_serve_callers_in_proportion_to_their_slots)
{
  /* Each region has a third of the callers. For sever, stred serves as many as its slots allow and
   * the rest of its callers go to zapad. */
  static const gdouble expected[2][N_REGIONS] = { { 0.8, 0.2, 0 }, { 0, 1.0 / 3, 2.0 / 3 } };
  anvil_steer_t *steer = new_steer ();

  for (guint half = 0; half < 2; half++)
    {
      const anvil_queue_t *queue = anvil_steer_queue (steer, 0, half);
      guint served[N_REGIONS] = { 0 };

      for (guint home = 0; home < N_REGIONS; home++)
        {
          for (guint client = 0; client < CLIENTS_PER_REGION; client++)
            served[anvil_steer_choose_region (steer, queue, home,
                                              (10u << 24) + ((home + 1) << 16) + client)]++;
        }
      for (guint region = 0; region < N_REGIONS; region++)
        ck_assert_double_eq_tol ((gdouble) served[region] / (N_REGIONS * CLIENTS_PER_REGION),
                                 expected[half][region], 0.01);
    }
  anvil_steer_drop (steer);
}
END_TEST

START_TEST (test_callers_are_served_by_their_own_region_first)
{
  anvil_steer_t *steer = new_steer ();
  const anvil_queue_t *sever = anvil_steer_queue (steer, 0, 0);

  for (guint client = 0; client < 1000; client++)
    {
      ck_assert_uint_eq (anvil_steer_choose_region (steer, sever, 0, client), 0);
      ck_assert_uint_eq (anvil_steer_choose_region (steer, sever, 2, client), 0);
    }
  anvil_steer_drop (steer);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("placement");
  TCase *tcase = tcase_create ("placement");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tcase, test_regions_serve_callers_in_proportion_to_their_slots);
  tcase_add_test (tcase, test_callers_are_served_by_their_own_region_first);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
