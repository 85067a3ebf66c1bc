#pragma once

#include "anvil/client-blocks.h"

/**
 * common_chunks_t - a table of client blocks cut into pieces that are named by their content
 *
 * A leaf holds neighbouring blocks, a page holds names of neighbouring leaves,
 * and the root names the pages. Cuts depend on the content alone, so a change
 * touches only the pieces around it. This measures what a change would cost to
 * send; the product sends whole files.
 */
typedef struct common_chunks common_chunks_t;

/** common_chunks_new - cuts a sorted table; a leaf has @leaf_blocks blocks on average */
common_chunks_t *
common_chunks_new (const anvil_client_block_t *blocks, guint n_blocks, guint leaf_blocks);
void common_chunks_drop (common_chunks_t *chunks);

/** common_chunks_bytes - all leaves */
gsize common_chunks_bytes (const common_chunks_t *chunks);

/** common_chunks_sent - bytes that a holder of @before needs to have @after */
gsize common_chunks_sent (const common_chunks_t *before, const common_chunks_t *after);
