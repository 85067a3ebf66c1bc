#include "common-chunks.h"

#include "anvil/str.h"

#define DIGEST_BYTES 16
/* A page's entry: the first address of a leaf and its digest. */
#define PAGE_ENTRY_BYTES (4 + DIGEST_BYTES)
#define LEAVES_PER_PAGE 64
#define VARINT_GROUP_BITS 7

/* Sizes of chunks in bytes by a hash of their content, which stands in for the digest. */
struct common_chunks
{
  GHashTable *leaves;
  GHashTable *pages;
  gsize bytes;
};

static void
put_varint (GByteArray *out, guint32 value)
{
  while (value >> VARINT_GROUP_BITS != 0)
    {
      guint8 byte = (guint8) (value | (1u << VARINT_GROUP_BITS));

      g_byte_array_append (out, &byte, 1);
      value >>= VARINT_GROUP_BITS;
    }
  g_byte_array_append (out, (const guint8[]){ (guint8) value }, 1);
}

static void
add_chunk (GHashTable *chunks, guint64 hash, gsize bytes)
{
  guint64 *key = g_memdup2 (&hash, sizeof hash);

  g_hash_table_replace (chunks, key, GSIZE_TO_POINTER (bytes));
}

static guint64
hash_bytes (const void *data, gsize length)
{
  return anvil_str_hash ((anvil_str_t){ .data = data, .length = length });
}

static gboolean
starts_leaf (const anvil_client_block_t *block, guint leaf_blocks)
{
  return hash_bytes (&block->address, sizeof block->address) % leaf_blocks == 0;
}

/* Encodes the leaf that starts at block @from; returns the index of the block after it. */
static guint
encode_leaf (const anvil_client_block_t *blocks,
             guint from,
             guint n_blocks,
             guint leaf_blocks,
             GByteArray *out)
{
  guint32 previous = 0;
  guint i = from;

  g_byte_array_set_size (out, 0);
  do
    {
      const guint8 prefix = blocks[i].prefix_length;

      put_varint (out, blocks[i].address - previous);
      g_byte_array_append (out, &prefix, 1);
      put_varint (out, blocks[i].region);
      previous = blocks[i].address;
      i++;
  } while (i < n_blocks && !starts_leaf (&blocks[i], leaf_blocks));
  return i;
}

static void
finish_page (common_chunks_t *chunks, GArray *hashes)
{
  if (hashes->len == 0)
    return;
  add_chunk (chunks->pages, hash_bytes (hashes->data, hashes->len * sizeof (guint64)),
             (gsize) hashes->len * PAGE_ENTRY_BYTES);
  g_array_set_size (hashes, 0);
}

common_chunks_t *
common_chunks_new (const anvil_client_block_t *blocks, guint n_blocks, guint leaf_blocks)
{
  common_chunks_t *chunks = g_new0 (common_chunks_t, 1);
  GByteArray *leaf = g_byte_array_new ();
  GArray *hashes = g_array_new (FALSE, FALSE, sizeof (guint64));
  guint next;

  chunks->leaves = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  chunks->pages = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  for (guint i = 0; i < n_blocks; i = next)
    {
      guint64 hash;

      next = encode_leaf (blocks, i, n_blocks, leaf_blocks, leaf);
      hash = hash_bytes (leaf->data, leaf->len);
      add_chunk (chunks->leaves, hash, leaf->len);
      chunks->bytes += leaf->len;
      g_array_append_val (hashes, hash);
      if (hash % LEAVES_PER_PAGE == 0)
        finish_page (chunks, hashes);
    }
  finish_page (chunks, hashes);
  g_array_unref (hashes);
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
  gpointer hash;
  gpointer bytes;
  gsize sum = 0;

  g_hash_table_iter_init (&iter, after);
  while (g_hash_table_iter_next (&iter, &hash, &bytes))
    {
      if (!g_hash_table_contains (before, hash))
        sum += GPOINTER_TO_SIZE (bytes);
    }
  return sum;
}

gsize
common_chunks_transfer_bytes (const common_chunks_t *before, const common_chunks_t *after)
{
  gsize root = (gsize) g_hash_table_size (after->pages) * PAGE_ENTRY_BYTES;

  return root + missing_bytes (before->pages, after->pages)
         + missing_bytes (before->leaves, after->leaves);
}
