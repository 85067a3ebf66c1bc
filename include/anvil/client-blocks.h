#pragma once

#include <glib.h>

/* An array index that refers to no element. */
#define ANVIL_NO_INDEX G_MAXUINT

/**
 * anvil_client_block_t - a CIDR block of client addresses and the region nearest to it
 * @address: first IPv4 address, host order
 * @prefix_length: number of leading bits that all addresses share, 0 to 32
 * @region: index of the region
 */
typedef struct
{
  guint32 address;
  guint8 prefix_length;
  guint region;
} anvil_client_block_t;

/**
 * anvil_client_blocks_t - a compact table of client blocks with longest-prefix lookup
 *
 * Blocks are sorted by address, then by prefix length, so a block precedes the
 * blocks that it contains. A range of consecutive blocks can be replaced, so a
 * change of a few blocks doesn't need the whole list.
 */
typedef struct anvil_client_blocks anvil_client_blocks_t;

/** anvil_client_block_compare - order by address, then by prefix length */
gint anvil_client_block_compare (const anvil_client_block_t *a, const anvil_client_block_t *b);

/** anvil_client_block_contains - whether an address is in a block */
gboolean anvil_client_block_contains (const anvil_client_block_t *block, guint32 address);

/**
 * anvil_client_blocks_new - creates a table of blocks
 * @blocks: sorted by anvil_client_block_compare(), without duplicates, no host bits set
 * @n_blocks: number of blocks
 *
 * Return: a table, or NULL if @blocks violates these rules or a region exceeds 65535.
 */
anvil_client_blocks_t *anvil_client_blocks_new (const anvil_client_block_t *blocks, guint n_blocks);
void anvil_client_blocks_drop (anvil_client_blocks_t *table);

guint anvil_client_blocks_count (const anvil_client_blocks_t *table);

/** anvil_client_blocks_memory_bytes - memory used by a table */
gsize anvil_client_blocks_memory_bytes (const anvil_client_blocks_t *table);

/** anvil_client_blocks_get - the block at an index below the count */
anvil_client_block_t anvil_client_blocks_get (const anvil_client_blocks_t *table, guint index);

/** anvil_client_blocks_lower_bound - index of the first block whose address is @address or above */
guint anvil_client_blocks_lower_bound (const anvil_client_blocks_t *table, guint32 address);

/** anvil_client_blocks_lookup - region of the block with the longest prefix that contains
 * @address, or ANVIL_NO_INDEX */
guint anvil_client_blocks_lookup (const anvil_client_blocks_t *table, guint32 address);

/**
 * anvil_client_blocks_replace - replaces consecutive blocks
 * @first: index of the first block to remove
 * @n_removed: number of blocks to remove
 * @blocks: blocks to insert in their place, as for anvil_client_blocks_new()
 * @n_blocks: number of blocks to insert
 *
 * Return: FALSE, with the table unchanged, if the result would not be sorted
 * or a region exceeds 65535.
 */
gboolean anvil_client_blocks_replace (anvil_client_blocks_t *table,
                                      guint first,
                                      guint n_removed,
                                      const anvil_client_block_t *blocks,
                                      guint n_blocks);
