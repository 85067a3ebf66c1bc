#include "common-chunks.h"

#include "anvil/str.h"

#define DIGEST_BYTES 16
/* A page's entry: the first address of a leaf and its digest. */
#define PAGE_ENTRY_BYTES (4 + DIGEST_BYTES)
#define PAGE_LEAVES 64
#define VARINT_BITS 7

/* Names of pieces to their bytes. */
struct common_chunks
{
  GHashTable *leaves;
  GHashTable *pages;
  gsize bytes;
};

static void
put_varint (GByteArray *out, guint32 value)
{
  while (value >> VARINT_BITS != 0)
    {
      guint8 byte = (guint8) (value | (1u << VARINT_BITS));

      g_byte_array_append (out, &byte, 1);
      value >>= VARINT_BITS;
    }
  g_byte_array_append (out, (const guint8[]){ (guint8) value }, 1);
}

static void
put_piece (GHashTable *pieces, guint64 name, gsize bytes)
{
  guint64 *key = g_memdup2 (&name, sizeof name);

  g_hash_table_replace (pieces, key, GSIZE_TO_POINTER (bytes));
}

static guint64
hash_of (const void *data, gsize length)
{
  return anvil_str_hash ((anvil_str_t){ .data = data, .length = length });
}

static gboolean
begins_leaf (const anvil_client_block_t *block, guint leaf_blocks)
{
  return hash_of (&block->address, sizeof block->address) % leaf_blocks == 0;
}

/* Encodes a leaf from its first block on; returns the block after its last. */
static guint
encode_leaf (const anvil_client_block_t *blocks,
             guint from,
             guint n_blocks,
             guint leaf_blocks,
             GByteArray *out)
{
  guint32 last = 0;
  guint i = from;

  g_byte_array_set_size (out, 0);
  do
    {
      const guint8 prefix = blocks[i].prefix_length;

      put_varint (out, blocks[i].address - last);
      g_byte_array_append (out, &prefix, 1);
      put_varint (out, blocks[i].region);
      last = blocks[i].address;
      i++;
  } while (i < n_blocks && !begins_leaf (&blocks[i], leaf_blocks));
  return i;
}

static void
end_page (common_chunks_t *chunks, GArray *names)
{
  if (names->len == 0)
    return;
  put_piece (chunks->pages, hash_of (names->data, names->len * sizeof (guint64)),
             (gsize) names->len * PAGE_ENTRY_BYTES);
  g_array_set_size (names, 0);
}

common_chunks_t *
common_chunks_new (const anvil_client_block_t *blocks, guint n_blocks, guint leaf_blocks)
{
  common_chunks_t *chunks = g_new0 (common_chunks_t, 1);
  GByteArray *leaf = g_byte_array_new ();
  GArray *names = g_array_new (FALSE, FALSE, sizeof (guint64));
  guint next;

  chunks->leaves = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  chunks->pages = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  for (guint i = 0; i < n_blocks; i = next)
    {
      guint64 name;

      next = encode_leaf (blocks, i, n_blocks, leaf_blocks, leaf);
      name = hash_of (leaf->data, leaf->len);
      put_piece (chunks->leaves, name, leaf->len);
      chunks->bytes += leaf->len;
      g_array_append_val (names, name);
      if (name % PAGE_LEAVES == 0)
        end_page (chunks, names);
    }
  end_page (chunks, names);
  g_array_unref (names);
  g_byte_array_unref (leaf);
  return chunks;
}

void
common_chunks_drop (common_chunks_t *chunks)
{
  g_hash_table_unref (chunks->leaves);
  g_hash_table_unref (chunks->pages);
  g_free (chunks);
}

gsize
common_chunks_bytes (const common_chunks_t *chunks)
{
  return chunks->bytes;
}

static gsize
missing_bytes (GHashTable *before, GHashTable *after)
{
  GHashTableIter iter;
  gpointer name;
  gpointer bytes;
  gsize sum = 0;

  g_hash_table_iter_init (&iter, after);
  while (g_hash_table_iter_next (&iter, &name, &bytes))
    {
      if (!g_hash_table_contains (before, name))
        sum += GPOINTER_TO_SIZE (bytes);
    }
  return sum;
}

gsize
common_chunks_sent (const common_chunks_t *before, const common_chunks_t *after)
{
  gsize root = (gsize) g_hash_table_size (after->pages) * PAGE_ENTRY_BYTES;

  return root + missing_bytes (before->pages, after->pages)
         + missing_bytes (before->leaves, after->leaves);
}
