#include "anvil/client-blocks.h"

#include <string.h>

/*
 * One array per member rather than an array of structs, which saves padding: 11
 * bytes per block. The parent of a block is the index of the innermost block that
 * contains it.
 */
struct anvil_client_blocks
{
  guint32 *addresses;
  guint32 *parents;
  guint16 *regions;
  guint8 *prefix_lengths;
  guint count;
};

#define NO_PARENT G_MAXUINT32
#define BYTES_PER_BLOCK (sizeof (guint32) + sizeof (guint32) + sizeof (guint16) + sizeof (guint8))
#define ADDRESS_BITS 32

static guint32
prefix_mask (guint8 prefix_length)
{
  return prefix_length == 0 ? 0 : G_MAXUINT32 << (ADDRESS_BITS - prefix_length);
}

gint
anvil_client_block_compare (const anvil_client_block_t *a, const anvil_client_block_t *b)
{
  if (a->address != b->address)
    return a->address > b->address ? 1 : -1;
  return (gint) a->prefix_length - (gint) b->prefix_length;
}

gboolean
anvil_client_block_contains (const anvil_client_block_t *block, guint32 address)
{
  return (address & prefix_mask (block->prefix_length)) == block->address;
}

static gboolean
block_valid (const anvil_client_block_t *block)
{
  return block->prefix_length <= ADDRESS_BITS && block->region <= G_MAXUINT16
         && (block->address & ~prefix_mask (block->prefix_length)) == 0;
}

static gboolean
blocks_valid (const anvil_client_block_t *blocks, guint n_blocks)
{
  for (guint i = 0; i < n_blocks; i++)
    {
      if (!block_valid (&blocks[i]))
        return FALSE;
      if (i > 0 && anvil_client_block_compare (&blocks[i - 1], &blocks[i]) >= 0)
        return FALSE;
    }
  return TRUE;
}

static gboolean
indexed_block_contains (const anvil_client_blocks_t *table, guint index, guint32 address)
{
  return (address & prefix_mask (table->prefix_lengths[index])) == table->addresses[index];
}

/* A block can only be contained in the previous block and the ancestors of that. */
static void
link_parents (anvil_client_blocks_t *table)
{
  guint32 parent = NO_PARENT;

  for (guint i = 0; i < table->count; i++)
    {
      while (parent != NO_PARENT && !indexed_block_contains (table, parent, table->addresses[i]))
        parent = table->parents[parent];
      table->parents[i] = parent;
      parent = i;
    }
}

static anvil_client_blocks_t *
table_alloc (guint count)
{
  anvil_client_blocks_t *table = g_new0 (anvil_client_blocks_t, 1);

  table->addresses = g_new (guint32, count);
  table->parents = g_new (guint32, count);
  table->regions = g_new (guint16, count);
  table->prefix_lengths = g_new (guint8, count);
  table->count = count;
  return table;
}

static void
table_fill (anvil_client_blocks_t *table,
            guint first,
            const anvil_client_block_t *blocks,
            guint n_blocks)
{
  for (guint i = 0; i < n_blocks; i++)
    {
      table->addresses[first + i] = blocks[i].address;
      table->regions[first + i] = (guint16) blocks[i].region;
      table->prefix_lengths[first + i] = blocks[i].prefix_length;
    }
}

static void
table_copy (anvil_client_blocks_t *to,
            guint to_first,
            const anvil_client_blocks_t *from,
            guint from_first,
            guint count)
{
  if (count == 0)
    return;
  memcpy (to->addresses + to_first, from->addresses + from_first, count * sizeof (guint32));
  memcpy (to->regions + to_first, from->regions + from_first, count * sizeof (guint16));
  memcpy (to->prefix_lengths + to_first, from->prefix_lengths + from_first,
          count * sizeof (guint8));
}

anvil_client_blocks_t *
anvil_client_blocks_new (const anvil_client_block_t *blocks, guint n_blocks)
{
  anvil_client_blocks_t *table;

  if (!blocks_valid (blocks, n_blocks))
    return NULL;
  table = table_alloc (n_blocks);
  table_fill (table, 0, blocks, n_blocks);
  link_parents (table);
  return table;
}

static void
table_clear (anvil_client_blocks_t *table)
{
  g_free (table->addresses);
  g_free (table->parents);
  g_free (table->regions);
  g_free (table->prefix_lengths);
}

void
anvil_client_blocks_drop (anvil_client_blocks_t *table)
{
  if (table == NULL)
    return;
  table_clear (table);
  g_free (table);
}

guint
anvil_client_blocks_count (const anvil_client_blocks_t *table)
{
  return table->count;
}

gsize
anvil_client_blocks_memory_bytes (const anvil_client_blocks_t *table)
{
  return sizeof *table + (gsize) table->count * BYTES_PER_BLOCK;
}

anvil_client_block_t
anvil_client_blocks_get (const anvil_client_blocks_t *table, guint index)
{
  return (anvil_client_block_t){
    .address = table->addresses[index],
    .prefix_length = table->prefix_lengths[index],
    .region = table->regions[index],
  };
}

guint
anvil_client_blocks_lower_bound (const anvil_client_blocks_t *table, guint32 address)
{
  guint low = 0;
  guint high = table->count;

  while (low < high)
    {
      guint middle = low + (high - low) / 2;

      if (table->addresses[middle] < address)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

guint
anvil_client_blocks_lookup (const anvil_client_blocks_t *table, guint32 address)
{
  guint after = address == G_MAXUINT32 ? table->count
                                       : anvil_client_blocks_lower_bound (table, address + 1);
  guint32 index = after == 0 ? NO_PARENT : after - 1;

  while (index != NO_PARENT && !indexed_block_contains (table, index, address))
    index = table->parents[index];
  return index == NO_PARENT ? ANVIL_NO_INDEX : table->regions[index];
}

/* Whether the table stays sorted if @blocks replace the blocks in the range. */
static gboolean
stays_sorted (const anvil_client_blocks_t *table,
              guint first,
              guint n_removed,
              const anvil_client_block_t *blocks,
              guint n_blocks)
{
  guint after = first + n_removed;
  anvil_client_block_t neighbour;

  if (n_blocks == 0)
    return TRUE;
  if (first > 0)
    {
      neighbour = anvil_client_blocks_get (table, first - 1);
      if (anvil_client_block_compare (&neighbour, &blocks[0]) >= 0)
        return FALSE;
    }
  if (after < table->count)
    {
      neighbour = anvil_client_blocks_get (table, after);
      if (anvil_client_block_compare (&blocks[n_blocks - 1], &neighbour) >= 0)
        return FALSE;
    }
  return TRUE;
}

gboolean
anvil_client_blocks_replace (anvil_client_blocks_t *table,
                             guint first,
                             guint n_removed,
                             const anvil_client_block_t *blocks,
                             guint n_blocks)
{
  anvil_client_blocks_t *next;
  guint rest;

  if (first > table->count || n_removed > table->count - first)
    return FALSE;
  if (!blocks_valid (blocks, n_blocks) || !stays_sorted (table, first, n_removed, blocks, n_blocks))
    return FALSE;

  rest = table->count - first - n_removed;
  next = table_alloc (first + n_blocks + rest);
  table_copy (next, 0, table, 0, first);
  table_fill (next, first, blocks, n_blocks);
  table_copy (next, first + n_blocks, table, first + n_removed, rest);
  link_parents (next);

  table_clear (table);
  *table = *next;
  g_free (next);
  return TRUE;
}
