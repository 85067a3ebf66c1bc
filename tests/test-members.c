/* Membership of entries: which are reachable, hold a service, or are returned to callers. */

#include <check.h>
#include <stdlib.h>

#include "anvil/members.h"

#define SELF ((anvil_node_t) 1)

static anvil_members_t *members;
static anvil_time_t now;

static const char *
region_of (void *context, const char *zone)
{
  if (zone == NULL)
    return NULL;
  return g_str_has_prefix (zone, "west") ? "west" : "east";
}

static anvil_member_info_t
info (const char *zone, guint64 incarnation)
{
  return (anvil_member_info_t){ .name = anvil_str ("vm"),
                                .zone = anvil_str (zone),
                                .incarnation = incarnation,
                                .caller_port = 80,
                                .ready = TRUE };
}

static void
set_up (void)
{
  const anvil_member_info_t self = info ("west-a", 1);

  now = 10 * ANVIL_SECOND;
  members = anvil_members_new (SELF, &self, region_of, NULL);
}

static void
tear_down (void)
{
  anvil_members_drop (members);
}

static gboolean
answer_ping (anvil_node_t node, const char *zone, guint64 incarnation)
{
  const anvil_member_info_t peer_info = info (zone, incarnation);

  anvil_members_add (members, now, node);
  return anvil_members_ping_answered (members, now, node, &peer_info, now - ANVIL_MS);
}

static guint
count_entries_for_caller (const char *region)
{
  anvil_node_t nodes[8];

  return anvil_members_entries_for_caller (members, now, anvil_str (region), 0, nodes, 8);
}

START_TEST (test_unreachable_peer_is_not_returned_to_callers)
{
  answer_ping (2, "west-b", 1);
  ck_assert_uint_eq (count_entries_for_caller ("west"), 2);
  now += 700 * ANVIL_MS;
  ck_assert_uint_eq (count_entries_for_caller ("west"), 2);
  now += 100 * ANVIL_MS;
  ck_assert_uint_eq (count_entries_for_caller ("west"), 1);
}
END_TEST

START_TEST (test_callers_get_entries_of_their_region_if_one_serves_there)
{
  anvil_member_info_t leaving = info ("east-a", 1);

  answer_ping (2, "west-b", 1);
  answer_ping (3, "east-a", 1);
  ck_assert_uint_eq (count_entries_for_caller ("east"), 1);
  ck_assert_uint_eq (count_entries_for_caller ("west"), 2);
  leaving.leaving = TRUE;
  anvil_members_ping_answered (members, now, 3, &leaving, now);
  ck_assert_uint_eq (count_entries_for_caller ("east"), 2);
}
END_TEST

START_TEST (test_every_entry_chooses_the_same_holder)
{
  anvil_members_t *other;
  const anvil_member_info_t second = info ("west-b", 1);
  const anvil_member_info_t first = info ("west-a", 1);

  other = anvil_members_new (2, &second, region_of, NULL);
  anvil_members_add (other, now, SELF);
  anvil_members_ping_answered (other, now, SELF, &first, now);
  anvil_members_add (other, now, 3);
  anvil_members_ping_answered (other, now, 3, &first, now);
  answer_ping (2, "west-b", 1);
  answer_ping (3, "west-a", 1);
  for (guint i = 0; i < 50; i++)
    {
      char *service = g_strdup_printf ("service-%u", i);

      ck_assert_uint_eq (anvil_members_holder (members, now, anvil_str (service), "west"),
                         anvil_members_holder (other, now, anvil_str (service), "west"));
      g_free (service);
    }
  anvil_members_drop (other);
}
END_TEST

/* Guards against a second entry that is the holder itself, or that others don't agree on. */
START_TEST (test_the_second_in_rank_is_the_holder_once_the_first_is_gone)
{
  anvil_node_t second;

  ck_assert_uint_eq (anvil_members_second (members, now, anvil_str ("photos"), "west"),
                     ANVIL_NO_NODE);
  answer_ping (2, "west-a", 1);
  answer_ping (3, "west-b", 1);
  second = anvil_members_second (members, now, anvil_str ("photos"), "west");
  ck_assert_uint_ne (second, anvil_members_holder (members, now, anvil_str ("photos"), "west"));
  if (anvil_members_holder (members, now, anvil_str ("photos"), "west") != SELF)
    {
      anvil_members_remove (members,
                            anvil_members_holder (members, now, anvil_str ("photos"), "west"));
      ck_assert_uint_eq (anvil_members_holder (members, now, anvil_str ("photos"), "west"), second);
    }
}
END_TEST

START_TEST (test_holder_is_in_region_of_slots_if_an_entry_is_reachable_there)
{
  answer_ping (2, "west-b", 1);
  answer_ping (3, "east-a", 1);
  ck_assert_uint_eq (anvil_members_holder (members, now, anvil_str ("photos"), "east"), 3);
  now += 5 * ANVIL_SECOND;
  ck_assert_uint_eq (anvil_members_holder (members, now, anvil_str ("photos"), "east"), SELF);
}
END_TEST

START_TEST (test_entry_with_most_processor_time_is_holder)
{
  anvil_member_info_t large = info ("west-b", 1);

  large.cpu_millicores = 500;
  answer_ping (2, "west-a", 1);
  answer_ping (4, "west-a", 1);
  anvil_members_add (members, now, 3);
  anvil_members_ping_answered (members, now, 3, &large, now);
  for (guint i = 0; i < 20; i++)
    {
      char *service = g_strdup_printf ("service-%u", i);

      ck_assert_uint_eq (anvil_members_holder (members, now, anvil_str (service), "west"), 3);
      g_free (service);
    }
}
END_TEST

START_TEST (test_peers_report_since_when_they_read_the_store)
{
  anvil_member_info_t reading = info ("west-b", 1);

  answer_ping (2, "west-b", 1);
  ck_assert_int_eq (anvil_members_store_ok_since (members, now), 0);
  reading.store_ok_for = 4 * ANVIL_SECOND;
  anvil_members_ping_answered (members, now, 2, &reading, now - ANVIL_MS);
  ck_assert_int_eq (anvil_members_store_ok_since (members, now), now - 4 * ANVIL_SECOND);
  now += 5 * ANVIL_SECOND;
  ck_assert_int_eq (anvil_members_store_ok_since (members, now), 0);
}
END_TEST

START_TEST (test_an_outdated_entry_holds_no_service)
{
  anvil_member_info_t outdated = info ("east-a", 1);

  answer_ping (3, "east-a", 1);
  ck_assert_uint_eq (anvil_members_holder (members, now, anvil_str ("photos"), "east"), 3);
  outdated.outdated = TRUE;
  anvil_members_ping_answered (members, now, 3, &outdated, now);
  ck_assert_uint_eq (anvil_members_holder (members, now, anvil_str ("photos"), "east"), SELF);
  ck_assert_uint_eq (count_entries_for_caller ("east"), 1);
  anvil_members_self (members)->outdated = TRUE;
  answer_ping (2, "west-b", 1);
  ck_assert_uint_eq (anvil_members_holder (members, now, anvil_str ("photos"), "west"), 2);
}
END_TEST

START_TEST (test_an_entry_knows_its_peers_once_it_has_heard_of_or_waited_for_each)
{
  answer_ping (2, "west-b", 1);
  ck_assert (!anvil_members_update_known (members, now));
  anvil_members_add (members, now, 3);
  anvil_members_list_read (members);
  now += ANVIL_MEMBERS_ANSWER_TIME - ANVIL_MS;
  ck_assert (!anvil_members_update_known (members, now));
  ck_assert (!anvil_members_self (members)->knows_peers);
  now += ANVIL_MS;
  ck_assert (anvil_members_update_known (members, now));
  ck_assert (anvil_members_self (members)->knows_peers);
  anvil_members_add (members, now, 4);
  ck_assert (!anvil_members_update_known (members, now));
  ck_assert (anvil_members_self (members)->knows_peers);
}
END_TEST

START_TEST (test_an_entry_alone_in_the_list_knows_that_at_once)
{
  ck_assert (!anvil_members_update_known (members, now));
  anvil_members_list_read (members);
  ck_assert (anvil_members_update_known (members, now));
}
END_TEST

/* Guards against entries that start together and all act as the holder of a service, each until it
 * has heard of the others. */
START_TEST (test_an_entry_that_does_not_know_its_peers_holds_nothing_beside_one_that_does)
{
  anvil_member_info_t peer = info ("east-a", 1);

  peer.knows_peers = TRUE;
  anvil_members_add (members, now, 3);
  anvil_members_ping_answered (members, now, 3, &peer, now);
  for (guint i = 0; i < 50; i++)
    {
      char *service = g_strdup_printf ("service-%u", i);

      ck_assert_uint_eq (anvil_members_holder (members, now, anvil_str (service), "west"), 3);
      g_free (service);
    }
  anvil_members_list_read (members);
  ck_assert (anvil_members_update_known (members, now));
  ck_assert_uint_eq (anvil_members_holder (members, now, anvil_str ("photos"), "west"), SELF);
}
END_TEST

START_TEST (test_pings_can_be_requested_before_they_are_due)
{
  const anvil_peer_t *peer;

  answer_ping (2, "west-b", 1);
  peer = anvil_members_lookup (members, 2);
  anvil_members_at (members, 0)->pinged_at = now;
  anvil_members_request_ping (members, 2);
  ck_assert_int_eq (peer->pinged_at, 0);
  anvil_members_at (members, 0)->pinged_at = now;
  anvil_members_request_pings (members);
  ck_assert_int_eq (peer->pinged_at, 0);
}
END_TEST

START_TEST (test_readers_of_the_store_come_in_turn_from_the_longest_on)
{
  anvil_member_info_t reading = info ("west-b", 1);

  answer_ping (2, "west-b", 1);
  ck_assert_uint_eq (anvil_members_next_store_reader (members, now, ANVIL_NO_NODE), ANVIL_NO_NODE);
  reading.reads_store = TRUE;
  for (anvil_node_t node = 3; node <= 5; node++)
    {
      reading.store_ok_for = (anvil_time_t) node * ANVIL_SECOND;
      anvil_members_add (members, now, node);
      anvil_members_ping_answered (members, now, node, &reading, now - ANVIL_MS);
    }
  ck_assert_uint_eq (anvil_members_next_store_reader (members, now, ANVIL_NO_NODE), 5);
  ck_assert_uint_eq (anvil_members_next_store_reader (members, now, 5), 4);
  ck_assert_uint_eq (anvil_members_next_store_reader (members, now, 4), 3);
  ck_assert_uint_eq (anvil_members_next_store_reader (members, now, 3), 5);
}
END_TEST

/* 300 entries: an entry pings those of its own region and the next holders often. */
START_TEST (test_few_of_hundreds_of_peers_are_pinged_often)
{
  const anvil_held_service_t services[]
      = { { .service = anvil_str ("photos"), .region = "east" },
          { .service = anvil_str ("booking"), .region = "east" } };
  anvil_node_t holder;
  guint n_pinged_often = 0;

  for (anvil_node_t node = 2; node <= 300; node++)
    answer_ping (node, node % 3 == 0 ? "west-b" : "east-a", 1);
  holder = anvil_members_holder (members, now, anvil_str ("photos"), "east");
  anvil_members_update_ping_set (members, now, services, 2);
  for (guint i = 0; i < anvil_members_count (members); i++)
    {
      const anvil_peer_t *peer = anvil_members_at (members, i);

      n_pinged_often += peer->pinged_often;
      if (g_strcmp0 (peer->region, "west") == 0)
        ck_assert (peer->pinged_often);
    }
  ck_assert_uint_ge (n_pinged_often, 100 + 4);
  ck_assert_uint_le (n_pinged_often, 100 + 2 * 4);
  ck_assert (anvil_members_lookup (members, holder)->pinged_often);
  ck_assert_uint_eq (anvil_members_holder (members, now, anvil_str ("photos"), "east"), holder);
}
END_TEST

START_TEST (test_next_holder_is_pinged_often_in_advance)
{
  const anvil_held_service_t service = { .service = anvil_str ("photos"), .region = "east" };
  anvil_node_t first;
  anvil_node_t next;

  for (anvil_node_t node = 2; node <= 300; node++)
    answer_ping (node, "east-a", 1);
  anvil_members_update_ping_set (members, now, &service, 1);
  first = anvil_members_holder (members, now, anvil_str ("photos"), "east");
  anvil_members_remove (members, first);
  next = anvil_members_holder (members, now, anvil_str ("photos"), "east");
  ck_assert_uint_ne (next, first);
  ck_assert (anvil_members_lookup (members, next)->pinged_often);
}
END_TEST

START_TEST (test_silent_peer_expires_and_can_be_added_again)
{
  answer_ping (2, "west-b", 1);
  ck_assert (!anvil_members_expired (anvil_members_lookup (members, 2), now + 60 * ANVIL_SECOND));
  ck_assert (anvil_members_expired (anvil_members_lookup (members, 2), now + 200 * ANVIL_SECOND));
  now += 100 * ANVIL_SECOND;
  anvil_members_add (members, now, 2);
  ck_assert (!anvil_members_expired (anvil_members_lookup (members, 2), now + 100 * ANVIL_SECOND));
  anvil_members_remove (members, 2);
  ck_assert_ptr_null (anvil_members_lookup (members, 2));
  answer_ping (2, "west-b", 2);
  ck_assert_uint_eq (count_entries_for_caller ("west"), 2);
}
END_TEST

START_TEST (test_restart_of_a_peer_is_detected)
{
  ck_assert (!answer_ping (2, "west-b", 1));
  ck_assert (!answer_ping (2, "west-b", 1));
  ck_assert (answer_ping (2, "west-b", 2));
}
END_TEST

/* The new process pings as soon as it has started, so its ping mostly comes first. */
START_TEST (test_restart_of_a_peer_is_detected_behind_its_own_ping)
{
  const anvil_member_info_t restarted = info ("west-b", 2);

  answer_ping (2, "west-b", 1);
  anvil_members_update_info (members, now, 2, &restarted);
  now += 10 * ANVIL_MS;
  ck_assert (answer_ping (2, "west-b", 2));
  now += 10 * ANVIL_MS;
  ck_assert (!answer_ping (2, "west-b", 2));
}
END_TEST

/* A process that was suspended reads the bytes of a peer's former connection after those of the new
 * one. */
START_TEST (test_the_answer_to_an_earlier_ping_changes_nothing)
{
  anvil_member_info_t former = info ("west-b", 1);
  const anvil_peer_t *peer;

  answer_ping (2, "west-b", 1);
  now += ANVIL_SECOND;
  ck_assert (answer_ping (2, "west-b", 2));
  former.leaving = TRUE;
  former.store_ok_for = ANVIL_SECOND;
  former.config_version = 7;
  ck_assert (!anvil_members_ping_answered (members, now, 2, &former, now - ANVIL_SECOND));
  peer = anvil_members_lookup (members, 2);
  ck_assert_uint_eq (peer->info.incarnation, 2);
  ck_assert_int_eq (peer->info.config_version, 0);
  ck_assert_int_eq (peer->store_ok_since, 0);
  ck_assert (!peer->info.leaving);
  now += 10 * ANVIL_MS;
  ck_assert (!answer_ping (2, "west-b", 2));
}
END_TEST

START_TEST (test_answer_counts_from_when_the_ping_was_sent)
{
  const anvil_member_info_t peer_info = info ("west-b", 1);

  anvil_members_add (members, now, 2);
  anvil_members_ping_answered (members, now, 2, &peer_info, now - 5 * ANVIL_SECOND);
  anvil_members_ping_answered (members, now, 2, &peer_info, now + 5 * ANVIL_SECOND);
  ck_assert (!anvil_members_reachable (members, now + 5 * ANVIL_SECOND,
                                       anvil_members_lookup (members, 2)));
}
END_TEST

/* Guards against quotas that are cut for entries that ended, and not cut for those cut off. */
START_TEST (test_share_of_reachable_entries_counts_those_that_may_act)
{
  anvil_member_info_t peer_info = info ("west-b", 2);

  peer_info.knows_peers = TRUE;
  ck_assert_double_eq (anvil_members_reachable_share (members, now), 1);
  for (anvil_node_t node = 2; node <= 4; node++)
    {
      anvil_members_add (members, now, node);
      anvil_members_ping_answered (members, now, node, &peer_info, now - ANVIL_MS);
    }
  ck_assert_double_eq (anvil_members_reachable_share (members, now), 1);
  now += 10 * ANVIL_SECOND;
  ck_assert_double_eq (anvil_members_reachable_share (members, now), 0.25);
  /* Its process ended, with a reset of the link. */
  anvil_members_process_ended (members, 2);
  ck_assert_double_eq (anvil_members_reachable_share (members, now), 1.0 / 3);
  peer_info.leaving = TRUE;
  anvil_members_update_info (members, now, 3, &peer_info);
  ck_assert_double_eq (anvil_members_reachable_share (members, now), 0.5);
  peer_info = info ("west-b", 3);
  anvil_members_update_info (members, now, 4, &peer_info);
  ck_assert_double_eq (anvil_members_reachable_share (members, now), 1);
  /* It answers again. */
  peer_info.knows_peers = TRUE;
  anvil_members_ping_answered (members, now, 2, &peer_info, now - ANVIL_MS);
  now += 10 * ANVIL_SECOND;
  ck_assert_double_eq (anvil_members_reachable_share (members, now), 0.5);
}
END_TEST

START_TEST (test_a_silent_peer_that_was_not_leaving_may_act_for_others)
{
  anvil_member_info_t leaving = info ("west-b", 2);

  anvil_members_add (members, now, 9);
  now += 10 * ANVIL_SECOND;
  ck_assert (!anvil_members_may_be_divided (members, now));
  answer_ping (2, "west-b", 2);
  ck_assert (!anvil_members_may_be_divided (members, now));
  now += 10 * ANVIL_SECOND;
  ck_assert (anvil_members_may_be_divided (members, now));
  leaving.leaving = TRUE;
  anvil_members_update_info (members, now, 2, &leaving);
  ck_assert (!anvil_members_may_be_divided (members, now));
}
END_TEST

/* Guards against an answer that is dated by a later ping, which would make it look newer. */
START_TEST (test_the_latest_pings_can_be_dated)
{
  anvil_peer_t peer = { 0 };

  ck_assert_int_eq (anvil_peer_ping_sent_at (&peer, 0), -1);
  for (guint i = 1; i <= ANVIL_DATED_PINGS + 1; i++)
    anvil_peer_add_ping (&peer, i, i * ANVIL_SECOND);
  ck_assert_int_eq (anvil_peer_ping_sent_at (&peer, 1), -1);
  for (guint i = 2; i <= ANVIL_DATED_PINGS + 1; i++)
    ck_assert_int_eq (anvil_peer_ping_sent_at (&peer, i), i * ANVIL_SECOND);
}
END_TEST

START_TEST (test_with_a_revoke_time_callers_get_entries_with_fresh_proofs_if_there_are_any)
{
  answer_ping (2, "west-b", 1);
  answer_ping (3, "east-a", 1);
  anvil_members_set_revoke_time (members, ANVIL_SECOND);
  ck_assert_uint_eq (count_entries_for_caller ("west"), 2);
  anvil_members_self (members)->config_proof_age = ANVIL_SECOND;
  ck_assert_uint_eq (count_entries_for_caller ("west"), 1);
  anvil_members_at (members, 0)->info.config_proof_age = -1;
  /* The entry of the other region. */
  ck_assert_uint_eq (count_entries_for_caller ("west"), 1);
  anvil_members_at (members, 1)->info.config_proof_age = ANVIL_SECOND;
  ck_assert_uint_eq (count_entries_for_caller ("west"), 3);
  anvil_members_at (members, 1)->info.leaving = TRUE;
  ck_assert_uint_eq (count_entries_for_caller ("west"), 2);
  anvil_members_set_revoke_time (members, 0);
  anvil_members_at (members, 1)->info.leaving = FALSE;
  ck_assert_uint_eq (count_entries_for_caller ("east"), 1);
}
END_TEST

/* Guards against a holder that counts as ended though its VM runs a new process. */
START_TEST (test_a_new_process_has_not_ended)
{
  const anvil_member_info_t same = info ("west-b", 1);
  const anvil_member_info_t next = info ("west-b", 2);

  answer_ping (2, "west-b", 1);
  anvil_members_process_ended (members, 2);
  /* A message of the former process may be read late. */
  anvil_members_update_info (members, now, 2, &same);
  ck_assert (anvil_members_lookup (members, 2)->process_ended);
  anvil_members_update_info (members, now, 2, &next);
  ck_assert (!anvil_members_lookup (members, 2)->process_ended);
}
END_TEST

/* Guards against entries that are named though they can't be used, and against some that never are.
 */
START_TEST (test_reachable_entries_are_picked_in_turn)
{
  const anvil_member_info_t leaving = { .name = anvil_str ("vm"),
                                        .zone = anvil_str ("west-a"),
                                        .incarnation = 1,
                                        .ready = TRUE,
                                        .leaving = TRUE };
  anvil_node_t nodes[4];
  guint n_named[6] = { 0 };

  for (anvil_node_t node = 2; node <= 4; node++)
    answer_ping (node, "west-a", 1);
  anvil_members_ping_answered (members, now, 4, &leaving, now);
  anvil_members_add (members, now, 5);
  for (guint i = 0; i < 4; i++)
    {
      ck_assert_uint_eq (anvil_members_pick (members, now, 9, nodes, 1), 1);
      n_named[nodes[0]]++;
    }
  ck_assert_uint_eq (n_named[2], 2);
  ck_assert_uint_eq (n_named[3], 2);
  ck_assert_uint_eq (anvil_members_pick (members, now, 3, nodes, 4), 1);
  ck_assert_uint_eq (nodes[0], 2);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("members");
  TCase *tests = tcase_create ("members");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_test (tests, test_unreachable_peer_is_not_returned_to_callers);
  tcase_add_test (tests, test_callers_get_entries_of_their_region_if_one_serves_there);
  tcase_add_test (tests, test_every_entry_chooses_the_same_holder);
  tcase_add_test (tests, test_holder_is_in_region_of_slots_if_an_entry_is_reachable_there);
  tcase_add_test (tests, test_entry_with_most_processor_time_is_holder);
  tcase_add_test (tests, test_the_second_in_rank_is_the_holder_once_the_first_is_gone);
  tcase_add_test (tests, test_peers_report_since_when_they_read_the_store);
  tcase_add_test (tests, test_an_outdated_entry_holds_no_service);
  tcase_add_test (tests, test_an_entry_knows_its_peers_once_it_has_heard_of_or_waited_for_each);
  tcase_add_test (tests, test_an_entry_alone_in_the_list_knows_that_at_once);
  tcase_add_test (tests,
                  test_an_entry_that_does_not_know_its_peers_holds_nothing_beside_one_that_does);
  tcase_add_test (tests, test_pings_can_be_requested_before_they_are_due);
  tcase_add_test (tests, test_readers_of_the_store_come_in_turn_from_the_longest_on);
  tcase_add_test (tests, test_few_of_hundreds_of_peers_are_pinged_often);
  tcase_add_test (tests, test_next_holder_is_pinged_often_in_advance);
  tcase_add_test (tests, test_silent_peer_expires_and_can_be_added_again);
  tcase_add_test (tests, test_restart_of_a_peer_is_detected);
  tcase_add_test (tests, test_restart_of_a_peer_is_detected_behind_its_own_ping);
  tcase_add_test (tests, test_the_answer_to_an_earlier_ping_changes_nothing);
  tcase_add_test (tests, test_a_silent_peer_that_was_not_leaving_may_act_for_others);
  tcase_add_test (tests, test_share_of_reachable_entries_counts_those_that_may_act);
  tcase_add_test (tests, test_answer_counts_from_when_the_ping_was_sent);
  tcase_add_test (tests, test_the_latest_pings_can_be_dated);
  tcase_add_test (tests,
                  test_with_a_revoke_time_callers_get_entries_with_fresh_proofs_if_there_are_any);
  tcase_add_test (tests, test_a_new_process_has_not_ended);
  tcase_add_test (tests, test_reachable_entries_are_picked_in_turn);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
