/* Seats: assignment of witnesses and slots, grants of witnesses, and leases. */

#include <check.h>
#include <stdlib.h>

#include "steer/seat-grant.h"
#include "steer/seat-layout.h"
#include "steer/seat-lease.h"

#define NODE_A 1
#define NODE_B 2

/* Three regions with two zones each; seats 0-2 in the first, 3-4 and 5-6 in the others. */
static anvil_region_t regions[] = { { .half = 0 }, { .half = 0 }, { .half = 0 } };
static anvil_zone_t zones[] = { { .region = 0 }, { .region = 0 }, { .region = 1 },
                                { .region = 1 }, { .region = 2 }, { .region = 2 } };
static anvil_seat_t seats[] = { { 0 }, { 0 }, { 1 }, { 2 }, { 3 }, { 4 }, { 5 } };
static const anvil_config_t config = {
  .regions = regions,
  .n_regions = G_N_ELEMENTS (regions),
  .zones = zones,
  .n_zones = G_N_ELEMENTS (zones),
  .seats = seats,
  .n_seats = G_N_ELEMENTS (seats),
};

START_TEST (test_witnesses_are_distinct_and_in_other_zones_and_regions)
{
  anvil_seat_layout_t *layout = anvil_seat_layout_new (&config);

  ck_assert_uint_eq (layout->majority, 2);
  for (guint seat = 0; seat < layout->n_seats; seat++)
    {
      const guint *witnesses = layout->witnesses[seat];

      ck_assert_uint_eq (witnesses[0], seat);
      ck_assert_uint_ne (witnesses[1], witnesses[2]);
      ck_assert_uint_eq (layout->region[witnesses[1]], layout->region[seat]);
      ck_assert_uint_ne (layout->zone[witnesses[1]], layout->zone[seat]);
      ck_assert_uint_ne (layout->region[witnesses[2]], layout->region[seat]);
    }
  anvil_seat_layout_drop (layout);
}
END_TEST

START_TEST (test_few_seats_have_a_majority)
{
  for (guint n = 1; n <= 3; n++)
    {
      anvil_config_t few = config;
      anvil_seat_layout_t *layout;

      few.n_seats = n;
      layout = anvil_seat_layout_new (&few);
      ck_assert_uint_eq (layout->n_witnesses, n);
      ck_assert_uint_gt (layout->majority + layout->majority, n);
      anvil_seat_layout_drop (layout);
    }
}
END_TEST

START_TEST (test_slots_are_assigned_within_a_region)
{
  anvil_seat_layout_t *layout = anvil_seat_layout_new (&config);

  for (guint64 key = 0; key < 100; key++)
    {
      guint owners = 0;

      for (guint slot = 0; slot < 3; slot++)
        {
          guint owner = anvil_seat_layout_slot_owner (layout, 0, key, slot);

          ck_assert_uint_eq (layout->region[owner], 0);
          owners |= 1u << owner;
        }
      ck_assert_uint_eq (owners, 7);
    }
  anvil_seat_layout_drop (layout);
}
END_TEST

START_TEST (test_grant_is_exclusive_until_it_expires)
{
  anvil_seat_grant_t grant = { 0 };

  ck_assert (anvil_seat_grant_try_acquire (&grant, 0, NODE_A, 1, 0, FALSE));
  ck_assert (!anvil_seat_grant_try_acquire (&grant, ANVIL_GRANT_TERM, NODE_B, 1, 0, FALSE));
  ck_assert (anvil_seat_grant_try_acquire (&grant, ANVIL_GRANT_TERM + ANVIL_CLOCK_DRIFT_MARGIN,
                                           NODE_B, 1, 0, FALSE));
  ck_assert (!anvil_seat_grant_try_acquire (&grant, ANVIL_GRANT_TERM + 2 * ANVIL_CLOCK_DRIFT_MARGIN,
                                            NODE_A, 1, 0, FALSE));
}
END_TEST

START_TEST (test_grant_to_a_newer_process_of_the_same_vm)
{
  anvil_seat_grant_t grant = { 0 };

  ck_assert (anvil_seat_grant_try_acquire (&grant, 0, NODE_A, 1, 0, FALSE));
  ck_assert (anvil_seat_grant_try_acquire (&grant, 10, NODE_A, 2, 0, FALSE));
  ck_assert (!anvil_seat_grant_try_acquire (&grant, 20, NODE_A, 1, 0, FALSE));
}
END_TEST

START_TEST (test_late_release_does_not_end_a_newer_grant)
{
  anvil_seat_grant_t grant = { 0 };

  ck_assert (anvil_seat_grant_try_acquire (&grant, 0, NODE_A, 1, 100, FALSE));
  anvil_seat_grant_release (&grant, 10, NODE_A, 1, 50);
  ck_assert (!anvil_seat_grant_try_acquire (&grant, 20, NODE_B, 1, 0, FALSE));
  anvil_seat_grant_release (&grant, 30, NODE_A, 1, 150);
  ck_assert (anvil_seat_grant_try_acquire (&grant, 40, NODE_B, 1, 0, FALSE));
}
END_TEST

START_TEST (test_request_sent_before_a_release_is_refused)
{
  anvil_seat_grant_t grant = { 0 };

  ck_assert (anvil_seat_grant_try_acquire (&grant, 0, NODE_A, 1, 100, FALSE));
  anvil_seat_grant_release (&grant, 10, NODE_A, 1, 150);
  ck_assert (!anvil_seat_grant_try_acquire (&grant, 20, NODE_A, 1, 120, FALSE));
}
END_TEST

START_TEST (test_lease_term_starts_at_the_request)
{
  anvil_seat_layout_t *layout = anvil_seat_layout_new (&config);
  anvil_seat_lease_t lease = { 0 };

  /* Answers that arrive after the term has ended grant nothing. */
  anvil_seat_lease_add_grant (&lease, layout, 2 * ANVIL_GRANT_TERM, 0, ANVIL_SECOND, 0);
  anvil_seat_lease_add_grant (&lease, layout, 2 * ANVIL_GRANT_TERM, 1, ANVIL_SECOND, 0);
  ck_assert (!anvil_seat_lease_valid (&lease, 2 * ANVIL_GRANT_TERM));
  anvil_seat_layout_drop (layout);
}
END_TEST

START_TEST (test_lease_needs_a_majority_at_the_time_of_use)
{
  anvil_seat_layout_t *layout = anvil_seat_layout_new (&config);
  anvil_seat_lease_t lease = { 0 };

  ck_assert_int_eq (anvil_seat_lease_add_grant (&lease, layout, 10, 0, 1, 0),
                    ANVIL_SEAT_LEASE_UNCHANGED);
  ck_assert (!anvil_seat_lease_valid (&lease, 10));
  ck_assert_int_eq (anvil_seat_lease_add_grant (&lease, layout, 20, 2, 5, 0),
                    ANVIL_SEAT_LEASE_RESUMED);
  ck_assert (anvil_seat_lease_valid (&lease, 20));
  ck_assert (anvil_seat_lease_valid (&lease, ANVIL_GRANT_TERM));
  ck_assert (!anvil_seat_lease_valid (&lease, 1 + ANVIL_GRANT_TERM));
  anvil_seat_layout_drop (layout);
}
END_TEST

START_TEST (test_lease_after_a_gap_reports_use_by_another)
{
  anvil_seat_layout_t *layout = anvil_seat_layout_new (&config);
  anvil_time_t later = 10 * ANVIL_SECOND;

  for (guint used_by_other = 0; used_by_other <= 1; used_by_other++)
    {
      anvil_seat_lease_t lease = { 0 };
      anvil_time_t exclusive_since = used_by_other ? later - ANVIL_SECOND : 1;

      anvil_seat_lease_add_grant (&lease, layout, 10, 0, 1, 0);
      anvil_seat_lease_add_grant (&lease, layout, 10, 1, 1, 0);
      ck_assert_int_eq (anvil_seat_lease_add_grant (&lease, layout, later, 0, later, 1),
                        ANVIL_SEAT_LEASE_UNCHANGED);
      ck_assert_int_eq (
          anvil_seat_lease_add_grant (&lease, layout, later, 1, later, exclusive_since),
          used_by_other ? ANVIL_SEAT_LEASE_TAKEN_OVER : ANVIL_SEAT_LEASE_RESUMED);
    }
  anvil_seat_layout_drop (layout);
}
END_TEST

START_TEST (test_grant_reports_use_by_another_after_a_lost_answer)
{
  anvil_seat_grant_t grant = { 0 };

  ck_assert (anvil_seat_grant_try_acquire (&grant, 0, NODE_A, 1, 50, TRUE));
  ck_assert_int_eq (grant.exclusive_since, 0);
  ck_assert (anvil_seat_grant_try_acquire (&grant, 3 * ANVIL_SECOND, NODE_B, 1, 60, FALSE));
  ck_assert (anvil_seat_grant_try_acquire (&grant, 6 * ANVIL_SECOND, NODE_A, 1, 100, FALSE));
  ck_assert_int_eq (grant.exclusive_since, 100);
  /* If the first answer was lost, the second reports the same start of exclusive use. */
  ck_assert (anvil_seat_grant_try_acquire (&grant, 7 * ANVIL_SECOND, NODE_A, 1, 200, FALSE));
  ck_assert_int_eq (grant.exclusive_since, 100);
}
END_TEST

START_TEST (test_grants_requested_before_a_release_are_ignored)
{
  anvil_seat_layout_t *layout = anvil_seat_layout_new (&config);
  anvil_seat_lease_t lease = { 0 };

  anvil_seat_lease_release (&lease, 100);
  anvil_seat_lease_add_grant (&lease, layout, 110, 0, 90, 0);
  anvil_seat_lease_add_grant (&lease, layout, 110, 1, 90, 0);
  ck_assert (!anvil_seat_lease_valid (&lease, 110));
  anvil_seat_layout_drop (layout);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("seat");
  TCase *tcase = tcase_create ("seat");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tcase, test_witnesses_are_distinct_and_in_other_zones_and_regions);
  tcase_add_test (tcase, test_few_seats_have_a_majority);
  tcase_add_test (tcase, test_slots_are_assigned_within_a_region);
  tcase_add_test (tcase, test_grant_is_exclusive_until_it_expires);
  tcase_add_test (tcase, test_grant_to_a_newer_process_of_the_same_vm);
  tcase_add_test (tcase, test_late_release_does_not_end_a_newer_grant);
  tcase_add_test (tcase, test_request_sent_before_a_release_is_refused);
  tcase_add_test (tcase, test_lease_term_starts_at_the_request);
  tcase_add_test (tcase, test_lease_needs_a_majority_at_the_time_of_use);
  tcase_add_test (tcase, test_lease_after_a_gap_reports_use_by_another);
  tcase_add_test (tcase, test_grant_reports_use_by_another_after_a_lost_answer);
  tcase_add_test (tcase, test_grants_requested_before_a_release_are_ignored);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
