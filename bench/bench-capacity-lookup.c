/* Measures the cost of a look-up: the table of client blocks, and the choice of entries. */

#include <stdio.h>

#include "common-group.h"
#include "common-meter.h"

#define N_LOOKUPS 2000000u
#define N_CHANGES 200u
#define N_STEER_LOOKUPS 50000u
#define REPEATS 5
/* 260,000 look-ups a second over 490 nodes. */
#define LOOKUP_INTERVAL ((anvil_time_t) 1885)
#define FIRST_BLOCK 0x01000000u
#define BLOCK_ADDRESS_BITS 8
#define SEED 1

/* Adjacent blocks of 2^8 addresses; each sixteenth is a smaller one inside its predecessor. */
static anvil_client_block_t *
make_blocks (guint n_blocks)
{
  anvil_client_block_t *blocks = g_new0 (anvil_client_block_t, n_blocks);
  guint32 address = FIRST_BLOCK;

  for (guint i = 0; i < n_blocks; i++)
    {
      gboolean inner = i % 16 == 15;

      blocks[i] = (anvil_client_block_t){
        .address = inner ? address - (1u << BLOCK_ADDRESS_BITS) : address,
        .prefix_length = inner ? 28 : 24,
        .region = i % 10,
      };
      if (!inner)
        address += 1u << BLOCK_ADDRESS_BITS;
    }
  return blocks;
}

static gint64
min_time (gint64 best_ns, gint64 now)
{
  return best_ns == 0 ? now : MIN (best_ns, now);
}

static gint64
time_lookups (const anvil_client_blocks_t *table, guint n_blocks, guint *sum)
{
  GRand *rand = g_rand_new_with_seed (SEED);
  guint32 *addresses = g_new (guint32, N_LOOKUPS);
  gint64 start;
  gint64 elapsed_ns;

  for (guint i = 0; i < N_LOOKUPS; i++)
    addresses[i] = FIRST_BLOCK + (g_rand_int (rand) % (n_blocks << BLOCK_ADDRESS_BITS));
  start = common_meter_cpu ();
  for (guint i = 0; i < N_LOOKUPS; i++)
    *sum += anvil_client_blocks_lookup (table, addresses[i]);
  elapsed_ns = common_meter_cpu () - start;
  g_free (addresses);
  g_rand_free (rand);
  return elapsed_ns;
}

/* Moves random single blocks to another region. */
static gint64
time_changes (anvil_client_blocks_t *table)
{
  GRand *rand = g_rand_new_with_seed (SEED);
  guint count = anvil_client_blocks_count (table);
  gint64 start = common_meter_cpu ();

  for (guint i = 0; i < N_CHANGES; i++)
    {
      guint index = (guint) g_rand_int_range (rand, 0, (gint32) count);
      anvil_client_block_t block = anvil_client_blocks_get (table, index);

      block.region = (block.region + 1) % 10;
      g_assert (anvil_client_blocks_replace (table, index, 1, &block, 1));
    }
  g_rand_free (rand);
  return common_meter_cpu () - start;
}

/* Splits the first block, which moves all blocks after it in memory. */
static gint64
time_split (anvil_client_blocks_t *table)
{
  anvil_client_block_t block = anvil_client_blocks_get (table, 0);
  anvil_client_block_t halves[2] = { block, block };
  gint64 start;

  halves[0].prefix_length = 25;
  halves[1].prefix_length = 25;
  halves[1].address += 1u << (BLOCK_ADDRESS_BITS - 1);
  start = common_meter_cpu ();
  g_assert (anvil_client_blocks_replace (table, 0, 1, halves, 2));
  return common_meter_cpu () - start;
}

static void
measure_blocks (guint n_blocks)
{
  anvil_client_block_t *blocks = make_blocks (n_blocks);
  gint64 build_ns = 0;
  gint64 lookups_ns = 0;
  gint64 changes_ns = 0;
  gint64 split_ns = 0;
  gsize bytes = 0;
  guint sum = 0;

  for (guint i = 0; i < REPEATS; i++)
    {
      gint64 start = common_meter_cpu ();
      anvil_client_blocks_t *table = anvil_client_blocks_new (blocks, n_blocks);

      build_ns = min_time (build_ns, common_meter_cpu () - start);
      bytes = anvil_client_blocks_memory_bytes (table);
      lookups_ns = min_time (lookups_ns, time_lookups (table, n_blocks, &sum));
      changes_ns = min_time (changes_ns, time_changes (table));
      split_ns = min_time (split_ns, time_split (table));
      anvil_client_blocks_drop (table);
    }
  printf ("blocks %u: build ms %.2f, bytes a block %.2f, table MB %.2f, look-up ns %.1f, change of "
          "one us %.2f, split of the first us %.1f (sum %u)\n",
          n_blocks, (gdouble) build_ns / 1e6, (gdouble) bytes / n_blocks, (gdouble) bytes / 1e6,
          (gdouble) lookups_ns / N_LOOKUPS, (gdouble) changes_ns / N_CHANGES / 1e3,
          (gdouble) split_ns / 1e3, sum % 10);
  g_free (blocks);
}

static void
measure_choice (guint regions, guint zones, guint nodes)
{
  const common_config_size_t size = {
    .n_regions = regions,
    .n_zones = zones,
    .n_seats = nodes,
    .n_services = 3,
    .n_upstreams = 120,
    .n_blocks = 1000,
  };
  common_group_t *group = common_group_new (&size, SEED);
  anvil_entry_choice_t choices[16];
  gint64 best_ns = 0;
  guint n_found = 0;
  guint n_known;
  anvil_time_t now;

  do
    {
      common_group_advance (group, ANVIL_SECOND);
      n_known = common_group_count_visible (group, 0);
  } while (n_known < nodes && fake_clock_now (group->clock) < 300 * ANVIL_SECOND);
  now = fake_clock_now (group->clock);
  for (guint i = 0; i < REPEATS; i++)
    {
      gint64 start = common_meter_cpu ();

      for (guint j = 0; j < N_STEER_LOOKUPS; j++)
        {
          now += LOOKUP_INTERVAL;
          n_found = anvil_steer_lookup (group->cores[0].steer, now, 0,
                                        FIRST_BLOCK + ((j % 1000) << BLOCK_ADDRESS_BITS), choices,
                                        G_N_ELEMENTS (choices));
        }
      best_ns = min_time (best_ns, common_meter_cpu () - start);
    }
  printf ("nodes %u (%u known), regions %u: choice of entries us %.2f (%u entries)\n", nodes,
          n_known, regions, (gdouble) best_ns / N_STEER_LOOKUPS / 1e3, n_found);
  common_group_drop (group);
}

int
main (void)
{
  static const guint sizes[] = { 1000, 10000, 100000, 400000, 1200000 };

  for (gsize i = 0; i < G_N_ELEMENTS (sizes); i++)
    measure_blocks (sizes[i]);
  measure_choice (3, 6, 7);
  measure_choice (5, 15, 50);
  measure_choice (10, 39, 150);
  measure_choice (10, 39, 490);
  return 0;
}
