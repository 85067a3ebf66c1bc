#pragma once

#include <glib.h>

/* Index of a thing in its array, when there is none. */
#define ANVIL_NO_INDEX G_MAXUINT

/** anvil_client_block_t - client addresses and the region they are nearest to; IPv4 in host order
 */
typedef struct
{
  guint32 address;
  guint8 prefix_length;
  guint region;
} anvil_client_block_t;

/**
 * anvil_client_blocks_t - a compact table of client blocks, looked up by longest prefix
 *
 * Blocks are sorted by address, then by prefix, so a block stands before the
 * ones that it contains. A run of neighbours can be replaced in place, which
 * is how a table follows a change of a few of its blocks.
 */
typedef struct anvil_client_blocks anvil_client_blocks_t;

/** anvil_client_block_compare - order of two blocks in a table, by address, then by prefix */
gint anvil_client_block_compare (const anvil_client_block_t *a, const anvil_client_block_t *b);

/** anvil_client_block_contains - whether an address is in a block */
gboolean anvil_client_block_contains (const anvil_client_block_t *block, guint32 address);

/**
 * anvil_client_blocks_new - a table of blocks
 * @blocks: sorted by anvil_client_block_compare(), no block twice, no host bits set
 * @n_blocks: how many
 *
 * Return: a table, or NULL if @blocks isn't as described or a region exceeds 65535.
 */
anvil_client_blocks_t *anvil_client_blocks_new (const anvil_client_block_t *blocks, guint n_blocks);
void anvil_client_blocks_drop (anvil_client_blocks_t *table);

guint anvil_client_blocks_count (const anvil_client_blocks_t *table);

/** anvil_client_blocks_memory_bytes - memory that a table uses */
gsize anvil_client_blocks_memory_bytes (const anvil_client_blocks_t *table);

/** anvil_client_blocks_get - the block at an index below the count */
anvil_client_block_t anvil_client_blocks_get (const anvil_client_blocks_t *table, guint index);

/** anvil_client_blocks_lower_bound - index of the first block whose address is @address or above */
guint anvil_client_blocks_lower_bound (const anvil_client_blocks_t *table, guint32 address);

/** anvil_client_blocks_lookup - region of the longest block that contains @address, or
 * ANVIL_NO_INDEX */
guint anvil_client_blocks_lookup (const anvil_client_blocks_t *table, guint32 address);

/**
 * anvil_client_blocks_replace - replaces a run of blocks
 * @first: index of the first block that goes
 * @n_removed: how many go
 * @blocks: what comes in their place, as for anvil_client_blocks_new()
 * @n_blocks: how many come
 *
 * Return: FALSE, with the table as it was, if the result would not be sorted
 * or a region exceeds 65535.
 */
gboolean anvil_client_blocks_replace (anvil_client_blocks_t *table,
                                      guint first,
                                      guint n_removed,
                                      const anvil_client_block_t *blocks,
                                      guint n_blocks);
