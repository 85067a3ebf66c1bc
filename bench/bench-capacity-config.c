/* Measures the cost of loading a configuration and of sending a change, by their size. */

#include <stdio.h>
#include <string.h>

#include "common-chunks.h"
#include "common-config.h"
#include "common-meter.h"

#define REPEATS 3
#define SEED 1
#define FIRST_BLOCK 0x01000000u
#define BLOCK_ADDRESS_BITS 8
#define N_REGIONS 10
/* Bandwidth of an entry for control traffic, and time in which a change must be in force. */
#define MAX_CONTROL_BYTES_PER_S 8192
#define MAX_IN_FORCE_S 6

static void
measure_file (const common_config_size_t *size)
{
  GString *text = common_config_generate (size);
  gint64 best_ns = 0;
  gsize memory_bytes = 0;

  for (guint i = 0; i < REPEATS; i++)
    {
      GError *error = NULL;
      gsize before = common_meter_memory ();
      gint64 started_at_ns = common_meter_cpu ();
      anvil_config_t *config = anvil_config_load (
          "generated", (anvil_str_t){ .data = text->str, .length = text->len }, &error);
      gint64 elapsed_ns = common_meter_cpu () - started_at_ns;

      if (config == NULL)
        {
          printf ("file with %u blocks, %u upstreams: %.2f MB, refused: %s\n", size->n_blocks,
                  size->n_upstreams, (gdouble) text->len / 1e6, error->message);
          g_error_free (error);
          g_string_free (text, TRUE);
          return;
        }
      best_ns = best_ns == 0 ? elapsed_ns : MIN (best_ns, elapsed_ns);
      memory_bytes = common_meter_memory () - before;
      anvil_config_drop (config);
    }
  printf ("file with %u blocks, %u upstreams, %u regions: %.3f MB, load ms %.1f, memory MB %.3f\n",
          size->n_blocks, size->n_upstreams, size->n_regions, (gdouble) text->len / 1e6,
          (gdouble) best_ns / 1e6, (gdouble) memory_bytes / 1e6);
  g_string_free (text, TRUE);
}

static anvil_client_block_t *
make_blocks (guint n_blocks)
{
  anvil_client_block_t *blocks = g_new0 (anvil_client_block_t, n_blocks);

  for (guint i = 0; i < n_blocks; i++)
    blocks[i] = (anvil_client_block_t){
      .address = FIRST_BLOCK + (i << BLOCK_ADDRESS_BITS),
      .prefix_length = 24,
      .region = i % N_REGIONS,
    };
  return blocks;
}

static void
move_blocks (anvil_client_block_t *blocks, guint n_blocks, guint n_changes, gboolean adjacent)
{
  GRand *rand = g_rand_new_with_seed (SEED);
  guint first = (guint) g_rand_int_range (rand, 0, (gint32) (n_blocks - n_changes));

  for (guint i = 0; i < n_changes; i++)
    {
      guint index = adjacent ? first + i : (guint) g_rand_int_range (rand, 0, (gint32) n_blocks);

      blocks[index].region = (blocks[index].region + 1) % N_REGIONS;
    }
  g_rand_free (rand);
}

/* Size of the changed blocks alone, encoded as a single leaf. */
static gsize
change_list_bytes (const anvil_client_block_t *before,
                   const anvil_client_block_t *after,
                   guint n_blocks)
{
  GArray *moved = g_array_new (FALSE, FALSE, sizeof (anvil_client_block_t));
  common_chunks_t *list;
  gsize bytes;

  for (guint i = 0; i < n_blocks; i++)
    {
      if (before[i].region != after[i].region)
        g_array_append_val (moved, after[i]);
    }
  list = common_chunks_new ((const anvil_client_block_t *) (const void *) moved->data, moved->len,
                            G_MAXUINT);
  bytes = common_chunks_bytes (list);
  common_chunks_drop (list);
  g_array_unref (moved);
  return bytes;
}

static void
measure_change (const anvil_client_block_t *blocks,
                guint n_blocks,
                const common_chunks_t *before,
                guint leaf_blocks,
                guint n_changes,
                gboolean adjacent)
{
  anvil_client_block_t *changed = g_memdup2 (blocks, n_blocks * sizeof *blocks);
  common_chunks_t *after;
  gsize transfer_bytes;

  move_blocks (changed, n_blocks, n_changes, adjacent);
  after = common_chunks_new (changed, n_blocks, leaf_blocks);
  transfer_bytes = common_chunks_transfer_bytes (before, after);
  printf ("  change of %u blocks %s: %.1f KB as pieces, %.1f s at the bound; %.2f KB as a list of "
          "changes\n",
          n_changes, adjacent ? "side by side" : "anywhere", (gdouble) transfer_bytes / 1024,
          (gdouble) transfer_bytes / MAX_CONTROL_BYTES_PER_S,
          (gdouble) change_list_bytes (blocks, changed, n_blocks) / 1024);
  common_chunks_drop (after);
  g_free (changed);
}

static void
measure_chunks (guint n_blocks, guint leaf_blocks)
{
  static const guint changes[] = { 1, 10, 100, 1000, 10000 };
  anvil_client_block_t *blocks = make_blocks (n_blocks);
  gint64 started_at_ns = common_meter_cpu ();
  common_chunks_t *before = common_chunks_new (blocks, n_blocks, leaf_blocks);

  printf ("blocks %u in leaves of about %u: %.2f MB, %.2f bytes a block, encode ms %.0f (bound "
          "%u KB)\n",
          n_blocks, leaf_blocks, (gdouble) common_chunks_bytes (before) / 1e6,
          (gdouble) common_chunks_bytes (before) / n_blocks,
          (gdouble) (common_meter_cpu () - started_at_ns) / 1e6,
          (guint) MAX_CONTROL_BYTES_PER_S * MAX_IN_FORCE_S / 1024);
  for (gsize i = 0; i < G_N_ELEMENTS (changes); i++)
    {
      measure_change (blocks, n_blocks, before, leaf_blocks, changes[i], FALSE);
      measure_change (blocks, n_blocks, before, leaf_blocks, changes[i], TRUE);
    }
  common_chunks_drop (before);
  g_free (blocks);
}

int
main (void)
{
  static const common_config_size_t by_blocks[] = {
    { 10, 39, 490, 3, 756, 1000 },
    { 10, 39, 490, 3, 756, 10000 },
    { 10, 39, 490, 3, 756, 100000 },
    { 10, 39, 490, 3, 756, 1200000 },
  };
  static const common_config_size_t by_upstreams[] = {
    { 10, 39, 490, 3, 117, 10 },
    { 10, 39, 490, 3, 1170, 10 },
    { 10, 39, 490, 3, 11700, 10 },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (by_blocks); i++)
    measure_file (&by_blocks[i]);
  for (gsize i = 0; i < G_N_ELEMENTS (by_upstreams); i++)
    measure_file (&by_upstreams[i]);
  measure_chunks (100000, 32);
  measure_chunks (400000, 32);
  measure_chunks (1200000, 32);
  measure_chunks (1200000, 128);
  return 0;
}
