#pragma once

#include "anvil/client-blocks.h"

/**
 * common_chunks_t - a table of client blocks, divided into content-addressed chunks
 *
 * A leaf holds consecutive blocks, a page the digests of consecutive leaves, and the root those of
 * the pages. Boundaries depend on the content alone, so a change affects only the chunks around it.
 * It estimates the transfer size of incremental updates; the product sends whole configurations.
 */
typedef struct common_chunks common_chunks_t;

/** common_chunks_new - divides a sorted table; a leaf has @leaf_blocks blocks on average */
common_chunks_t *
common_chunks_new (const anvil_client_block_t *blocks, guint n_blocks, guint leaf_blocks);
void common_chunks_drop (common_chunks_t *chunks);

/** common_chunks_bytes - total size of the leaves */
gsize common_chunks_bytes (const common_chunks_t *chunks);

/** common_chunks_transfer_bytes - size of the root and of the chunks of @after not in @before */
gsize common_chunks_transfer_bytes (const common_chunks_t *before, const common_chunks_t *after);
