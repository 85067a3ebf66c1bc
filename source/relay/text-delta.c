#include "relay/text-delta.h"

#include <string.h>
#include <xxhash.h>

/* Texts are cut into pieces by what stands in them, so that pieces after an insertion are those of
 * before. A piece ends where the hash of the last 16 bytes has its first PIECE_BITS bits clear. */
#define PIECE_BITS 4
#define GEAR_SHIFT 4
#define MIN_PIECE_BYTES 32
#define MAX_PIECE_BYTES 256
#define GEAR_MULTIPLIER 0x9e3779b97f4a7c15u
/* A shorter copy takes more bytes than the text itself. */
#define MIN_COPY_BYTES 24
/* Where the last copy would go on, a text of similar records matches for most of a record even if
 * it is another one. Only a longer match is taken. */
#define MIN_CONTINUED_BYTES 1024
/* Offset of a piece that occurs more than once. */
#define AMBIGUOUS G_MAXSIZE

/**
 * header_t - start of a difference; numbers are big-endian
 * @from_hash: hash of the text that it applies to
 * @to_hash: hash of the result
 */
typedef struct
{
  guint64 from_hash;
  guint64 to_hash;
} header_t;

/**
 * part_t - a part of the result: bytes copied from the old text, then new bytes, which follow;
 * numbers are big-endian
 */
typedef struct
{
  guint32 copy_offset;
  guint32 copy_length;
  guint32 new_length;
} part_t;

static guint64
hash_text (const char *data, gsize length)
{
  return XXH64 (data, length, 0);
}

static gsize
piece_length (const char *data, gsize length)
{
  gsize max = MIN (length, MAX_PIECE_BYTES);
  guint64 gear = 0;

  for (gsize i = 0; i < max; i++)
    {
      gear = (gear << GEAR_SHIFT) + ((guchar) data[i] + 1) * GEAR_MULTIPLIER;
      if (i + 1 >= MIN_PIECE_BYTES && gear >> (64 - PIECE_BITS) == 0)
        return i + 1;
    }
  return max;
}

/* Offset of a piece by its hash. */
static GHashTable *
index_pieces (anvil_str_t text)
{
  GHashTable *offsets = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  gsize length;

  for (gsize at = 0; at < text.length; at += length)
    {
      guint64 hash;

      length = piece_length (text.data + at, text.length - at);
      hash = hash_text (text.data + at, length);
      g_hash_table_insert (
          offsets, g_memdup2 (&hash, sizeof hash),
          GSIZE_TO_POINTER (g_hash_table_contains (offsets, &hash) ? AMBIGUOUS : at));
    }
  return offsets;
}

static gsize
common_length (anvil_str_t a, gsize a_at, anvil_str_t b, gsize b_at)
{
  gsize max = MIN (a.length - a_at, b.length - b_at);
  gsize n = 0;

  while (n < max && a.data[a_at + n] == b.data[b_at + n])
    n++;
  return n;
}

static void
append_part (GByteArray *out, gsize copy_offset, gsize copy_length, const char *data, gsize length)
{
  const part_t part = { .copy_offset = GUINT32_TO_BE ((guint32) copy_offset),
                        .copy_length = GUINT32_TO_BE ((guint32) copy_length),
                        .new_length = GUINT32_TO_BE ((guint32) length) };

  g_byte_array_append (out, (const guint8 *) &part, sizeof part);
  g_byte_array_append (out, (const guint8 *) data, (guint) length);
}

/* Length of a match of @to at @to_at, 0 for none: at the only piece of @from with the same bytes,
 * or where the last copy would go on, which is passed in @from_at. Its place is set there. */
static gsize
find_match (
    anvil_str_t from, GHashTable *offsets, anvil_str_t to, gsize to_at, gsize piece, gsize *from_at)
{
  guint64 hash = hash_text (to.data + to_at, piece);
  gpointer found = GSIZE_TO_POINTER (AMBIGUOUS);
  gsize there = 0;
  gsize here;

  g_hash_table_lookup_extended (offsets, &hash, NULL, &found);
  if (GPOINTER_TO_SIZE (found) != AMBIGUOUS)
    there = common_length (from, GPOINTER_TO_SIZE (found), to, to_at);
  if (there >= MIN_COPY_BYTES)
    {
      *from_at = GPOINTER_TO_SIZE (found);
      return there;
    }
  here = *from_at <= from.length ? common_length (from, *from_at, to, to_at) : 0;
  return here >= MIN_CONTINUED_BYTES ? here : 0;
}

void
anvil_text_delta_make (anvil_str_t from, anvil_str_t to, GByteArray *out)
{
  const header_t header = { .from_hash = GUINT64_TO_BE (hash_text (from.data, from.length)),
                            .to_hash = GUINT64_TO_BE (hash_text (to.data, to.length)) };
  GHashTable *offsets = index_pieces (from);
  gsize copy_offset = 0;
  gsize copy_length = common_length (from, 0, to, 0);
  gsize new_at = copy_length;
  gsize at = new_at;

  g_byte_array_append (out, (const guint8 *) &header, sizeof header);
  while (at < to.length)
    {
      gsize piece = piece_length (to.data + at, to.length - at);
      /* New bytes mostly replace as many old ones. */
      gsize from_at = copy_offset + copy_length + (at - new_at);
      gsize match = find_match (from, offsets, to, at, piece, &from_at);

      if (match == 0)
        {
          at += piece;
          continue;
        }
      /* The match may begin before the piece. */
      while (at > new_at && from_at > 0 && from.data[from_at - 1] == to.data[at - 1])
        {
          at--;
          from_at--;
          match++;
        }
      append_part (out, copy_offset, copy_length, to.data + new_at, at - new_at);
      copy_offset = from_at;
      copy_length = match;
      new_at = at + match;
      at = new_at;
    }
  append_part (out, copy_offset, copy_length, to.data + new_at, to.length - new_at);
  g_hash_table_unref (offsets);
}

static gboolean
read_part (anvil_str_t from, anvil_str_t *delta, gsize max_bytes, GByteArray *out)
{
  part_t part;
  gsize offset;
  gsize copy_length;
  gsize new_length;

  if (delta->length < sizeof part)
    return FALSE;
  memcpy (&part, delta->data, sizeof part);
  delta->data += sizeof part;
  delta->length -= sizeof part;
  offset = GUINT32_FROM_BE (part.copy_offset);
  copy_length = GUINT32_FROM_BE (part.copy_length);
  new_length = GUINT32_FROM_BE (part.new_length);
  if (offset > from.length || copy_length > from.length - offset || new_length > delta->length
      || copy_length + new_length > max_bytes - out->len)
    return FALSE;
  g_byte_array_append (out, (const guint8 *) from.data + offset, (guint) copy_length);
  g_byte_array_append (out, (const guint8 *) delta->data, (guint) new_length);
  delta->data += new_length;
  delta->length -= new_length;
  return TRUE;
}

gboolean
anvil_text_delta_apply (anvil_str_t from, anvil_str_t delta, gsize max_bytes, GByteArray *out)
{
  header_t header;

  if (delta.length < sizeof header)
    return FALSE;
  memcpy (&header, delta.data, sizeof header);
  delta.data += sizeof header;
  delta.length -= sizeof header;
  if (GUINT64_FROM_BE (header.from_hash) != hash_text (from.data, from.length))
    return FALSE;
  while (delta.length > 0)
    {
      if (!read_part (from, &delta, max_bytes, out))
        return FALSE;
    }
  return GUINT64_FROM_BE (header.to_hash) == hash_text ((const char *) out->data, out->len);
}
