#include "relay/news-log.h"

#include <msgpack.h>
#include <string.h>

#include "net/message-check.h"

/* Reads that are kept: at one a second, peers may be half a minute behind. */
#define MAX_READS 30
/* Most news of all reads that are kept; a peer that is further behind reads the store itself. */
#define MAX_BYTES (64u << 10)
/* Most room that the objects of one row need while it is read. */
#define ZONE_CHUNK_BYTES 512

/**
 * read_t - what one read of the table brought
 * @version: version up to which the table was read then
 * @rows: packed rows that brought news
 */
typedef struct
{
  guint64 version;
  GByteArray *rows;
} read_t;

struct anvil_news_log
{
  /* Peers at this version or later can be served. */
  guint64 known_after;
  guint64 version;
  GQueue reads;
  gsize n_bytes;
  /* Rows of the read that is under way. */
  GByteArray *adding;
};

static int
append (void *data, const char *bytes, size_t length)
{
  g_byte_array_append (data, (const guint8 *) bytes, (guint) length);
  return 0;
}

static void
read_free (gpointer data)
{
  read_t *read = data;

  g_byte_array_unref (read->rows);
  g_free (read);
}

anvil_news_log_t *
anvil_news_log_new (void)
{
  anvil_news_log_t *log = g_new0 (anvil_news_log_t, 1);

  g_queue_init (&log->reads);
  log->adding = g_byte_array_new ();
  log->known_after = G_MAXUINT64;
  return log;
}

void
anvil_news_log_drop (anvil_news_log_t *log)
{
  if (log == NULL)
    return;
  g_queue_clear_full (&log->reads, read_free);
  g_byte_array_unref (log->adding);
  g_free (log);
}

void
anvil_news_log_begin (anvil_news_log_t *log, guint64 version)
{
  g_queue_clear_full (&log->reads, read_free);
  g_byte_array_set_size (log->adding, 0);
  log->n_bytes = 0;
  log->known_after = version;
  log->version = version;
}

/* A row is an array behind its length, so that each can be checked before it is unpacked. */
void
anvil_news_log_add (anvil_news_log_t *log, const anvil_store_row_t *row)
{
  GByteArray *packed = g_byte_array_new ();
  msgpack_packer packer;
  guint32 prefix;

  msgpack_packer_init (&packer, packed, append);
  msgpack_pack_array (&packer, 3);
  msgpack_pack_bin (&packer, row->key.length);
  msgpack_pack_bin_body (&packer, row->key.data, row->key.length);
  msgpack_pack_bin (&packer, row->value.length);
  msgpack_pack_bin_body (&packer, row->value.data, row->value.length);
  msgpack_pack_uint64 (&packer, row->removed);
  prefix = GUINT32_TO_BE (packed->len);
  g_byte_array_append (log->adding, (const guint8 *) &prefix, sizeof prefix);
  g_byte_array_append (log->adding, packed->data, packed->len);
  g_byte_array_unref (packed);
}

static void
forget_oldest (anvil_news_log_t *log)
{
  read_t *oldest = g_queue_pop_head (&log->reads);

  log->known_after = oldest->version;
  log->n_bytes -= oldest->rows->len;
  read_free (oldest);
}

void
anvil_news_log_read (anvil_news_log_t *log, guint64 version)
{
  read_t *read = g_new0 (read_t, 1);

  read->version = version;
  read->rows = log->adding;
  log->adding = g_byte_array_new ();
  log->version = version;
  log->n_bytes += read->rows->len;
  g_queue_push_tail (&log->reads, read);
  while (log->reads.length > MAX_READS || (log->n_bytes > MAX_BYTES && log->reads.length > 0))
    forget_oldest (log);
}

guint64
anvil_news_log_version (const anvil_news_log_t *log)
{
  return log->version;
}

gboolean
anvil_news_log_since (const anvil_news_log_t *log, guint64 version, GByteArray *out)
{
  if (version < log->known_after || version > log->version)
    return FALSE;
  for (const GList *link = log->reads.head; link != NULL; link = link->next)
    {
      const read_t *read = link->data;

      if (read->version > version)
        g_byte_array_append (out, read->rows->data, read->rows->len);
    }
  return TRUE;
}

static gboolean
visit_row (const msgpack_object *object, anvil_news_visit_t visit, void *context)
{
  const msgpack_object *fields = object->via.array.ptr;
  anvil_store_row_t row;

  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != 3
      || fields[0].type != MSGPACK_OBJECT_BIN || fields[1].type != MSGPACK_OBJECT_BIN
      || fields[2].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return FALSE;
  row = (anvil_store_row_t){
    .key = { .data = fields[0].via.bin.ptr, .length = fields[0].via.bin.size },
    .value = { .data = fields[1].via.bin.ptr, .length = fields[1].via.bin.size },
    .removed = fields[2].via.u64 != 0,
  };
  visit (context, &row);
  return TRUE;
}

static gboolean
unpack_row (anvil_str_t bytes, anvil_news_visit_t visit, void *context)
{
  msgpack_zone zone;
  msgpack_object object;
  gboolean valid;

  if (!anvil_frame_check_bounds (bytes))
    return FALSE;
  if (!msgpack_zone_init (&zone, ZONE_CHUNK_BYTES))
    g_error ("out of memory");
  valid = msgpack_unpack (bytes.data, bytes.length, NULL, &zone, &object) == MSGPACK_UNPACK_SUCCESS
          && visit_row (&object, visit, context);
  msgpack_zone_destroy (&zone);
  return valid;
}

gboolean
anvil_news_unpack (anvil_str_t bytes, anvil_news_visit_t visit, void *context)
{
  while (bytes.length > 0)
    {
      guint32 prefix;
      anvil_str_t row;

      if (bytes.length < sizeof prefix)
        return FALSE;
      memcpy (&prefix, bytes.data, sizeof prefix);
      row = (anvil_str_t){ .data = bytes.data + sizeof prefix, .length = GUINT32_FROM_BE (prefix) };
      if (row.length > bytes.length - sizeof prefix || !unpack_row (row, visit, context))
        return FALSE;
      bytes.data += sizeof prefix + row.length;
      bytes.length -= sizeof prefix + row.length;
    }
  return TRUE;
}
