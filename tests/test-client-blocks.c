/* Table of client blocks: random tables and changes are compared with a linear search. */

#include <check.h>
#include <stdlib.h>

#include "anvil/client-blocks.h"

#define N_SEEDS 40
#define N_ADDRESSES 300
#define N_EDITS 20
#define MAX_REMOVED 6
/* Limits the addresses, so that blocks often contain each other or have the same address. */
#define ADDRESS_MASK 0xff0000ffu

static anvil_client_block_t
random_block (GRand *random)
{
  guint8 prefix_length = (guint8) g_rand_int_range (random, 0, 33);
  guint32 mask = prefix_length == 0 ? 0 : G_MAXUINT32 << (32 - prefix_length);

  return (anvil_client_block_t){
    .address = g_rand_int (random) & ADDRESS_MASK & mask,
    .prefix_length = prefix_length,
    .region = (guint) g_rand_int_range (random, 0, 64),
  };
}

static gint
compare (gconstpointer a, gconstpointer b)
{
  return anvil_client_block_compare (a, b);
}

static void
remove_duplicates (GArray *blocks)
{
  g_array_sort (blocks, compare);
  for (guint i = blocks->len; i > 1; i--)
    {
      if (compare (&g_array_index (blocks, anvil_client_block_t, i - 2),
                   &g_array_index (blocks, anvil_client_block_t, i - 1))
          == 0)
        g_array_remove_index (blocks, i - 1);
    }
}

static GArray *
random_blocks (GRand *random)
{
  GArray *blocks = g_array_new (FALSE, FALSE, sizeof (anvil_client_block_t));

  for (gint n = g_rand_int_range (random, 0, 80); n > 0; n--)
    {
      anvil_client_block_t block = random_block (random);

      g_array_append_val (blocks, block);
    }
  remove_duplicates (blocks);
  return blocks;
}

static guint
linear_lookup (const GArray *blocks, guint32 address)
{
  const anvil_client_block_t *best = NULL;

  for (guint i = 0; i < blocks->len; i++)
    {
      const anvil_client_block_t *block = &g_array_index (blocks, anvil_client_block_t, i);

      if (block->prefix_length < 32
          && (guint64) address >> (32 - block->prefix_length)
                 != (guint64) block->address >> (32 - block->prefix_length))
        continue;
      if (block->prefix_length == 32 && block->address != address)
        continue;
      if (best == NULL || block->prefix_length > best->prefix_length)
        best = block;
    }
  return best != NULL ? best->region : ANVIL_NO_INDEX;
}

static void
assert_matches (const anvil_client_blocks_t *table, const GArray *blocks, GRand *random)
{
  ck_assert_uint_eq (anvil_client_blocks_count (table), blocks->len);
  for (guint i = 0; i < blocks->len; i++)
    {
      anvil_client_block_t block = anvil_client_blocks_get (table, i);

      ck_assert_int_eq (compare (&block, &g_array_index (blocks, anvil_client_block_t, i)), 0);
      ck_assert_uint_eq (anvil_client_blocks_lookup (table, block.address),
                         linear_lookup (blocks, block.address));
    }
  for (guint i = 0; i < N_ADDRESSES; i++)
    {
      guint32 address = g_rand_int (random) & ADDRESS_MASK;

      ck_assert_uint_eq (anvil_client_blocks_lookup (table, address),
                         linear_lookup (blocks, address));
    }
  ck_assert_uint_eq (anvil_client_blocks_lookup (table, G_MAXUINT32),
                     linear_lookup (blocks, G_MAXUINT32));
  ck_assert_uint_eq (anvil_client_blocks_lookup (table, 0), linear_lookup (blocks, 0));
}

/* A replacement that keeps the table sorted must succeed, any other must fail and change nothing.
 */
static void
replace_random_range (anvil_client_blocks_t *table, GArray *blocks, GRand *random)
{
  guint first = (guint) g_rand_int_range (random, 0, (gint) blocks->len + 1);
  guint removed
      = (guint) g_rand_int_range (random, 0, (gint) MIN (blocks->len - first, MAX_REMOVED) + 1);
  GArray *inserted = g_array_new (FALSE, FALSE, sizeof (anvil_client_block_t));
  GArray *next = g_array_new (FALSE, FALSE, sizeof (anvil_client_block_t));
  gboolean sorted = TRUE;

  for (gint n = g_rand_int_range (random, 0, 3); n > 0; n--)
    {
      anvil_client_block_t block = random_block (random);

      g_array_append_val (inserted, block);
    }
  remove_duplicates (inserted);
  g_array_append_vals (next, blocks->data, first);
  g_array_append_vals (next, inserted->data, inserted->len);
  for (guint i = first + removed; i < blocks->len; i++)
    g_array_append_val (next, g_array_index (blocks, anvil_client_block_t, i));
  for (guint i = 1; i < next->len; i++)
    sorted = sorted
             && compare (&g_array_index (next, anvil_client_block_t, i - 1),
                         &g_array_index (next, anvil_client_block_t, i))
                    < 0;

  ck_assert_int_eq (anvil_client_blocks_replace (table, first, removed,
                                                 (anvil_client_block_t *) (gpointer) inserted->data,
                                                 inserted->len),
                    sorted);
  if (sorted)
    {
      g_array_set_size (blocks, 0);
      g_array_append_vals (blocks, next->data, next->len);
    }
  g_array_free (inserted, TRUE);
  g_array_free (next, TRUE);
}

START_TEST (test_lookup_and_replace_match_linear_search)
{
  for (guint32 seed = 1; seed <= N_SEEDS; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);
      GArray *blocks = random_blocks (random);
      anvil_client_blocks_t *table
          = anvil_client_blocks_new ((anvil_client_block_t *) (gpointer) blocks->data, blocks->len);

      ck_assert_ptr_nonnull (table);
      assert_matches (table, blocks, random);
      for (guint i = 0; i < N_EDITS; i++)
        {
          replace_random_range (table, blocks, random);
          assert_matches (table, blocks, random);
        }
      anvil_client_blocks_drop (table);
      g_array_free (blocks, TRUE);
      g_rand_free (random);
    }
}
END_TEST

START_TEST (test_invalid_blocks_are_rejected)
{
  static const anvil_client_block_t invalid[][2] = {
    { { 0x0a000000, 8, 0 }, { 0x0a000000, 8, 1 } },
    { { 0x0b000000, 8, 0 }, { 0x0a000000, 8, 1 } },
    { { 0x0a000000, 8, 0 }, { 0x0b000001, 8, 1 } },
    { { 0x0a000000, 8, 0 }, { 0x0b000000, 33, 1 } },
    { { 0x0a000000, 8, 0 }, { 0x0b000000, 8, 65536 } },
  };
  anvil_client_blocks_t *table = anvil_client_blocks_new (NULL, 0);

  ck_assert_uint_eq (anvil_client_blocks_lookup (table, 1), ANVIL_NO_INDEX);
  for (gsize i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      ck_assert_ptr_null (anvil_client_blocks_new (invalid[i], 2));
      ck_assert (!anvil_client_blocks_replace (table, 0, 0, invalid[i], 2));
    }
  ck_assert (!anvil_client_blocks_replace (table, 1, 0, invalid[0], 1));
  ck_assert (!anvil_client_blocks_replace (table, 0, 1, invalid[0], 1));
  ck_assert_uint_eq (anvil_client_blocks_count (table), 0);
  anvil_client_blocks_drop (table);
}
END_TEST

START_TEST (test_table_of_1200000_blocks)
{
  enum
  {
    N_BLOCKS = 1200000,
    BLOCK_ADDRESSES = 256,
  };
  anvil_client_block_t *blocks = g_new (anvil_client_block_t, N_BLOCKS);
  anvil_client_blocks_t *table;

  for (guint i = 0; i < N_BLOCKS; i++)
    blocks[i] = (anvil_client_block_t){ .address = i * BLOCK_ADDRESSES,
                                        .prefix_length = 24,
                                        .region = i % 63 };
  table = anvil_client_blocks_new (blocks, N_BLOCKS);
  ck_assert_uint_eq (anvil_client_blocks_lookup (table, 777777 * BLOCK_ADDRESSES + 9), 777777 % 63);
  ck_assert_uint_eq (anvil_client_blocks_lower_bound (table, 777777 * BLOCK_ADDRESSES), 777777);
  ck_assert_uint_le (anvil_client_blocks_memory_bytes (table), 16 << 20);
  blocks[5].region = 62;
  ck_assert (anvil_client_blocks_replace (table, 5, 2, &blocks[5], 1));
  ck_assert_uint_eq (anvil_client_blocks_lookup (table, 5 * BLOCK_ADDRESSES), 62);
  ck_assert_uint_eq (anvil_client_blocks_lookup (table, 6 * BLOCK_ADDRESSES), ANVIL_NO_INDEX);
  anvil_client_blocks_drop (table);
  g_free (blocks);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("client-blocks");
  TCase *tcase = tcase_create ("client-blocks");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 300);
  tcase_add_test (tcase, test_lookup_and_replace_match_linear_search);
  tcase_add_test (tcase, test_invalid_blocks_are_rejected);
  tcase_add_test (tcase, test_table_of_1200000_blocks);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
