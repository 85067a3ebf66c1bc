/* Member table: which of two records of a member wins, and which records heartbeats carry. */

#include <check.h>
#include <stdlib.h>

#include "steer/member-table.h"

#define SELF 1

static anvil_member_t
record_of (anvil_node_t node, guint64 incarnation, guint64 version, anvil_member_state_t state)
{
  return (anvil_member_t){
    .node = node, .incarnation = incarnation, .version = version, .state = state
  };
}

START_TEST (test_newer_record_wins_in_any_order)
{
  const anvil_member_t records[] = {
    record_of (2, 1, 5, ANVIL_MEMBER_ALIVE),
    record_of (2, 1, 5, ANVIL_MEMBER_DEAD),
    record_of (2, 1, 6, ANVIL_MEMBER_LEAVING),
    record_of (2, 2, 1, ANVIL_MEMBER_ALIVE),
  };

  /* Each record replaces every one before it, in whatever order they arrive. */
  for (guint later = 1; later < G_N_ELEMENTS (records); later++)
    {
      for (guint earlier = 0; earlier < later; earlier++)
        {
          anvil_member_table_t *table = anvil_member_table_new (SELF);

          ck_assert (anvil_member_table_merge (table, 0, &records[later]));
          ck_assert (!anvil_member_table_merge (table, 0, &records[earlier]));
          ck_assert (!anvil_member_table_merge (table, 0, &records[later]));
          anvil_member_table_drop (table);

          table = anvil_member_table_new (SELF);
          ck_assert (anvil_member_table_merge (table, 0, &records[earlier]));
          ck_assert (anvil_member_table_merge (table, 0, &records[later]));
          anvil_member_table_drop (table);
        }
    }
}
END_TEST

START_TEST (test_silent_member_is_declared_dead_and_removed)
{
  anvil_member_table_t *table = anvil_member_table_new (SELF);
  anvil_member_t other = record_of (2, 1, 1, ANVIL_MEMBER_ALIVE);

  anvil_member_table_merge (table, 0, &other);
  anvil_member_table_expire (table, ANVIL_MEMBER_DEAD_TIMEOUT - 1);
  ck_assert_int_eq (anvil_member_table_lookup (table, 2)->member.state, ANVIL_MEMBER_ALIVE);
  anvil_member_table_expire (table, ANVIL_MEMBER_DEAD_TIMEOUT);
  ck_assert_int_eq (anvil_member_table_lookup (table, 2)->member.state, ANVIL_MEMBER_DEAD);

  anvil_member_table_lookup (table, 2)->listed = TRUE;
  anvil_member_table_expire (table, ANVIL_MEMBER_DEAD_TIMEOUT + ANVIL_MEMBER_REMOVE_TIMEOUT);
  ck_assert_ptr_nonnull (anvil_member_table_lookup (table, 2));
  anvil_member_table_lookup (table, 2)->listed = FALSE;
  anvil_member_table_expire (table, ANVIL_MEMBER_DEAD_TIMEOUT + ANVIL_MEMBER_REMOVE_TIMEOUT);
  ck_assert_ptr_null (anvil_member_table_lookup (table, 2));
  anvil_member_table_drop (table);
}
END_TEST

START_TEST (test_declared_death_is_gossiped_and_refuted_by_the_member)
{
  anvil_member_table_t *table = anvil_member_table_new (SELF);
  anvil_member_t other = record_of (2, 1, 5, ANVIL_MEMBER_ALIVE);
  anvil_member_t later = record_of (2, 1, 8, ANVIL_MEMBER_ALIVE);
  anvil_member_t alive = record_of (2, 1, 0, ANVIL_MEMBER_ALIVE);

  anvil_member_table_merge (table, 0, &other);
  anvil_member_table_lookup (table, 2)->sends_left = 0;
  anvil_member_table_declare_dead (table, 1, 2, 9);
  ck_assert_int_eq (anvil_member_table_lookup (table, 2)->member.state, ANVIL_MEMBER_ALIVE);
  anvil_member_table_declare_dead (table, 1, 2, 1);
  ck_assert_int_eq (anvil_member_table_lookup (table, 2)->member.state, ANVIL_MEMBER_DEAD);
  ck_assert_uint_gt (anvil_member_table_lookup (table, 2)->sends_left, 0);
  /* A heartbeat that another entry had received before the death doesn't revive the member; a new
   * one of the member does. */
  ck_assert (!anvil_member_table_merge (table, 2, &later));
  alive.version = anvil_member_table_lookup (table, 2)->member.version + 1;
  ck_assert (anvil_member_table_merge (table, 2, &alive));
  ck_assert_int_eq (anvil_member_table_lookup (table, 2)->member.state, ANVIL_MEMBER_ALIVE);
  anvil_member_table_drop (table);
}
END_TEST

START_TEST (test_lookup_works_after_removals)
{
  anvil_member_table_t *table = anvil_member_table_new (SELF);

  for (anvil_node_t node = 1; node <= 20; node++)
    {
      anvil_member_t member
          = record_of (node, 1, 1, node % 3 == 0 ? ANVIL_MEMBER_DEAD : ANVIL_MEMBER_ALIVE);

      anvil_member_table_merge (table, ANVIL_MEMBER_REMOVE_TIMEOUT, &member);
    }
  for (guint i = 0; i < anvil_member_table_count (table); i++)
    {
      anvil_tracked_member_t *tracked = anvil_member_table_at (table, i);

      if (tracked->member.state == ANVIL_MEMBER_DEAD)
        tracked->updated_at = 0;
    }
  anvil_member_table_expire (table, ANVIL_MEMBER_REMOVE_TIMEOUT);
  ck_assert_uint_eq (anvil_member_table_count (table), 14);
  for (anvil_node_t node = 1; node <= 20; node++)
    {
      anvil_tracked_member_t *tracked = anvil_member_table_lookup (table, node);

      ck_assert ((tracked == NULL) == (node % 3 == 0));
      if (tracked == NULL)
        continue;
      ck_assert_uint_eq (tracked->member.node, node);
      ck_assert (tracked < anvil_member_table_at (table, 0) + anvil_member_table_count (table));
    }
  anvil_member_table_drop (table);
}
END_TEST

/* A table of @n members in which only the record of @changed is still to be gossiped. */
static anvil_member_table_t *
table_with_change (guint n, anvil_node_t changed)
{
  anvil_member_table_t *table = anvil_member_table_new (SELF);

  for (anvil_node_t node = 1; node <= n; node++)
    {
      anvil_member_t member = record_of (node, 1, 1, ANVIL_MEMBER_ALIVE);

      anvil_member_table_merge (table, 0, &member);
      anvil_member_table_lookup (table, node)->sends_left = 0;
    }
  anvil_member_table_mark_changed (table, 0, anvil_member_table_lookup (table, changed));
  return table;
}

START_TEST (test_gossip_starts_with_own_record_and_carries_changes)
{
  static const guint sizes[] = { 10, 100 };
  GRand *random = g_rand_new_with_seed (1);

  for (guint s = 0; s < G_N_ELEMENTS (sizes); s++)
    {
      anvil_member_table_t *table = table_with_change (sizes[s], sizes[s] - 3);
      anvil_gossip_t gossip = { 0 };
      gboolean found = FALSE;

      anvil_member_table_fill_gossip (table, random, &gossip);
      ck_assert_uint_eq (gossip.n_members, MIN (sizes[s], ANVIL_MAX_GOSSIP_MEMBERS));
      ck_assert_uint_eq (gossip.members[0].node, SELF);
      for (guint i = 0; i < gossip.n_members; i++)
        {
          found = found || gossip.members[i].node == sizes[s] - 3;
          for (guint j = 0; j < i; j++)
            ck_assert_uint_ne (gossip.members[i].node, gossip.members[j].node);
        }
      ck_assert (found);
      anvil_member_table_drop (table);
    }
  g_rand_free (random);
}
END_TEST

START_TEST (test_gossip_carries_deaths_before_other_changes)
{
  anvil_member_table_t *table = table_with_change (100, 50);
  GRand *random = g_rand_new_with_seed (2);

  for (guint i = 0; i < anvil_member_table_count (table); i++)
    anvil_member_table_at (table, i)->sends_left = 5;
  anvil_member_table_declare_dead (table, 0, 70, 1);
  for (guint round = 0; round < 5; round++)
    {
      anvil_gossip_t gossip = { 0 };

      anvil_member_table_fill_gossip (table, random, &gossip);
      ck_assert_uint_eq (gossip.members[1].node, 70);
    }
  g_rand_free (random);
  anvil_member_table_drop (table);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("member");
  TCase *tcase = tcase_create ("member");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tcase, test_newer_record_wins_in_any_order);
  tcase_add_test (tcase, test_silent_member_is_declared_dead_and_removed);
  tcase_add_test (tcase, test_declared_death_is_gossiped_and_refuted_by_the_member);
  tcase_add_test (tcase, test_lookup_works_after_removals);
  tcase_add_test (tcase, test_gossip_starts_with_own_record_and_carries_changes);
  tcase_add_test (tcase, test_gossip_carries_deaths_before_other_changes);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
