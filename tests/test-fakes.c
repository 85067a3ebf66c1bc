/* Tests of the virtual clock, the simulated platform and the simulated network, on which other
 * tests and the fuzzer rely. */

#include <check.h>
#include <stdlib.h>

#include "fake-net.h"
#include "world.h"

static void
append_timer_number (void *context, void *data)
{
  g_string_append_printf (context, "%u ", GPOINTER_TO_UINT (data));
}

START_TEST (test_clock_runs_events_in_order)
{
  fake_clock_t *clock = fake_clock_new ();
  GString *order = g_string_new (NULL);

  fake_clock_schedule (clock, 30, append_timer_number, order, GUINT_TO_POINTER (3), NULL);
  fake_clock_schedule (clock, 10, append_timer_number, order, GUINT_TO_POINTER (1), NULL);
  fake_clock_schedule (clock, 20, append_timer_number, order, GUINT_TO_POINTER (2), NULL);
  fake_clock_schedule (clock, 20, append_timer_number, order, GUINT_TO_POINTER (4), NULL);
  fake_clock_schedule (clock, 40, append_timer_number, order, GUINT_TO_POINTER (5), NULL);
  fake_clock_advance (clock, 30);
  ck_assert_str_eq (order->str, "1 2 4 3 ");
  ck_assert_int_eq (fake_clock_now (clock), 30);
  g_string_free (order, TRUE);
  fake_clock_drop (clock);
}
END_TEST

START_TEST (test_platform_writes_rows_conditionally)
{
  fake_platform_t *platform = fake_platform_new ();
  anvil_seat_row_t row = { .seat = 2, .epoch = 1, .holder = anvil_node (1, 1) };

  ck_assert_int_eq (fake_platform_write_row (platform, &row), ANVIL_ROW_WRITTEN);
  ck_assert_int_eq (fake_platform_write_row (platform, &row), ANVIL_ROW_CONFLICT);
  row.epoch = 2;
  platform->lose_write_responses = TRUE;
  ck_assert_int_eq (fake_platform_write_row (platform, &row), ANVIL_ROW_UNKNOWN);
  ck_assert_uint_eq (platform->rows[2].epoch, 2);
  fake_platform_drop (platform);
}
END_TEST

START_TEST (test_platform_accepts_one_of_two_conflicting_files)
{
  fake_platform_t *platform = fake_platform_new ();

  ck_assert_uint_eq (fake_platform_submit (platform, 0, 0, world_config (0)), 1);
  ck_assert_uint_eq (fake_platform_submit (platform, 0, 1, world_config (1)), 2);
  ck_assert_uint_eq (fake_platform_submit (platform, 0, 1, world_config (2)), 0);
  ck_assert_ptr_eq (fake_platform_file (platform, 2)->config, world_config (1));
  fake_platform_drop (platform);
}
END_TEST

START_TEST (test_platform_vm_list_lags)
{
  fake_platform_t *platform = fake_platform_new ();
  anvil_vm_t vm = { .name = anvil_str ("entry-1") };

  fake_platform_set_vm (platform, 0, &vm);
  vm.leaving = TRUE;
  fake_platform_set_vm (platform, 10 * ANVIL_SECOND, &vm);
  platform->list_lag = 5 * ANVIL_SECOND;
  ck_assert (!fake_platform_vm_list (platform, 12 * ANVIL_SECOND)->vms[0].leaving);
  ck_assert (fake_platform_vm_list (platform, 15 * ANVIL_SECOND)->vms[0].leaving);
  fake_platform_drop (platform);
}
END_TEST

static guint64
count_attempts (guint32 seed)
{
  world_t *world = world_new (seed, NULL);
  const world_op_t crowd = { .code = 100, .b = 1 };
  const world_op_t advance = { .a = 255 };
  guint64 n_attempts;

  for (guint i = 0; i < 40; i++)
    world_step (world, i % 2 == 0 ? &advance : &crowd);
  n_attempts = world->net->last_attempt;
  world_drop (world);
  return n_attempts;
}

START_TEST (test_net_is_deterministic_for_a_seed)
{
  ck_assert_uint_gt (count_attempts (7), 0);
  ck_assert_uint_eq (count_attempts (7), count_attempts (7));
}
END_TEST

START_TEST (test_net_holds_back_events_of_a_frozen_entry)
{
  world_t *world = world_new (1, NULL);
  guint ticks;

  fake_net_advance (world->net, 2 * ANVIL_SECOND);
  fake_net_freeze (world->net, 0);
  ticks = world->net->entries[0].ticks;
  fake_net_advance (world->net, 2 * ANVIL_SECOND);
  ck_assert_uint_eq (world->net->entries[0].ticks, ticks);
  ck_assert_uint_gt (world->net->entries[0].held_events.length, 0);
  fake_net_unfreeze (world->net, 0);
  ck_assert_uint_eq (world->net->entries[0].held_events.length, 0);
  ck_assert_uint_gt (world->net->entries[0].ticks, ticks);
  world_drop (world);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fakes");
  TCase *tcase = tcase_create ("fakes");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tcase, test_clock_runs_events_in_order);
  tcase_add_test (tcase, test_platform_writes_rows_conditionally);
  tcase_add_test (tcase, test_platform_accepts_one_of_two_conflicting_files);
  tcase_add_test (tcase, test_platform_vm_list_lags);
  tcase_add_test (tcase, test_net_is_deterministic_for_a_seed);
  tcase_add_test (tcase, test_net_holds_back_events_of_a_frozen_entry);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  world_configs_drop ();
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
