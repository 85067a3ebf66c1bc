#include "relay/update-log.h"

#include <msgpack.h>
#include <string.h>

#include "net/message-check.h"

/* The table is read once a second, so a peer may be half a minute behind. */
#define MAX_BATCHES 30
/* Limit for the rows of all batches; a peer that is further behind reads the store itself. */
#define MAX_BYTES (64u << 10)
/* Memory for the msgpack objects of one row. */
#define ZONE_CHUNK_BYTES 512

/**
 * row_state_t - what a packed row says
 * @ROW_WRITTEN: it has a value
 * @ROW_MISSING: it isn't in the table; entries of older versions send this for removed rows too
 * @ROW_REMOVED: it was removed since the table was read whole
 */
typedef enum
{
  ROW_WRITTEN,
  ROW_MISSING,
  ROW_REMOVED,
} row_state_t;

/**
 * batch_t - the updates of one read of the table
 * @after: version of the store up to which it was read before
 * @version: version of the store up to which the table was read
 * @rows: packed rows that changed the registry
 */
typedef struct
{
  anvil_store_position_t after;
  anvil_store_position_t version;
  GByteArray *rows;
} batch_t;

struct anvil_update_log
{
  /* Oldest version from which the log is complete. */
  anvil_store_position_t oldest_version;
  anvil_store_position_t version;
  GQueue batches;
  gsize n_bytes;
  /* Rows of the batch that isn't ended yet. */
  GByteArray *current_rows;
};

static int
append (void *data, const char *bytes, size_t length)
{
  g_byte_array_append (data, (const guint8 *) bytes, (guint) length);
  return 0;
}

static void
batch_drop (gpointer data)
{
  batch_t *batch = data;

  g_byte_array_unref (batch->rows);
  g_free (batch);
}

anvil_update_log_t *
anvil_update_log_new (void)
{
  anvil_update_log_t *log = g_new0 (anvil_update_log_t, 1);

  g_queue_init (&log->batches);
  log->current_rows = g_byte_array_new ();
  log->oldest_version = (anvil_store_position_t){ .era = G_MAXUINT64, .version = G_MAXUINT64 };
  return log;
}

void
anvil_update_log_drop (anvil_update_log_t *log)
{
  if (log == NULL)
    return;
  g_queue_clear_full (&log->batches, batch_drop);
  g_byte_array_unref (log->current_rows);
  g_free (log);
}

void
anvil_update_log_reset (anvil_update_log_t *log, anvil_store_position_t version)
{
  g_queue_clear_full (&log->batches, batch_drop);
  g_byte_array_set_size (log->current_rows, 0);
  log->n_bytes = 0;
  log->oldest_version = version;
  log->version = version;
}

static row_state_t
row_state (const anvil_store_row_t *row)
{
  if (!row->removed)
    return ROW_WRITTEN;
  return row->missing ? ROW_MISSING : ROW_REMOVED;
}

/* A row is a msgpack array with its length in front, so that its bounds can be checked before it is
 * unpacked. */
void
anvil_update_log_add (anvil_update_log_t *log, const anvil_store_row_t *row)
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
  msgpack_pack_uint64 (&packer, row_state (row));
  prefix = GUINT32_TO_BE (packed->len);
  g_byte_array_append (log->current_rows, (const guint8 *) &prefix, sizeof prefix);
  g_byte_array_append (log->current_rows, packed->data, packed->len);
  g_byte_array_unref (packed);
}

static void
evict_oldest (anvil_update_log_t *log)
{
  batch_t *oldest = g_queue_pop_head (&log->batches);

  log->oldest_version = oldest->version;
  log->n_bytes -= oldest->rows->len;
  batch_drop (oldest);
}

void
anvil_update_log_end_batch (anvil_update_log_t *log, anvil_store_position_t version)
{
  batch_t *batch = g_new0 (batch_t, 1);

  batch->after = log->version;
  batch->version = version;
  batch->rows = log->current_rows;
  log->current_rows = g_byte_array_new ();
  log->version = version;
  log->n_bytes += batch->rows->len;
  g_queue_push_tail (&log->batches, batch);
  while (log->batches.length > MAX_BATCHES || (log->n_bytes > MAX_BYTES && log->batches.length > 0))
    evict_oldest (log);
}

anvil_store_position_t
anvil_update_log_version (const anvil_update_log_t *log)
{
  return log->version;
}

/* Whether a version is of a past era, and newer than what was read in that era. */
static gboolean
is_beyond_era (const anvil_update_log_t *log, anvil_store_position_t version)
{
  for (const GList *link = log->batches.head; link != NULL; link = link->next)
    {
      const batch_t *batch = link->data;

      /* The first batch that the version lacks. */
      if (anvil_store_position_later (batch->version, version))
        return batch->version.era != version.era
               && anvil_store_position_later (version, batch->after);
    }
  return FALSE;
}

gboolean
anvil_update_log_since (const anvil_update_log_t *log,
                        anvil_store_position_t version,
                        GByteArray *out)
{
  if (anvil_store_position_later (log->oldest_version, version)
      || anvil_store_position_later (version, log->version) || is_beyond_era (log, version))
    return FALSE;
  for (const GList *link = log->batches.head; link != NULL; link = link->next)
    {
      const batch_t *batch = link->data;

      if (anvil_store_position_later (batch->version, version))
        g_byte_array_append (out, batch->rows->data, batch->rows->len);
    }
  return TRUE;
}

static gboolean
visit_row (const msgpack_object *object, anvil_update_visit_t visit, void *context)
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
    .removed = fields[2].via.u64 != ROW_WRITTEN,
    .missing = fields[2].via.u64 == ROW_MISSING,
  };
  visit (context, &row);
  return TRUE;
}

static gboolean
unpack_row (anvil_str_t bytes, anvil_update_visit_t visit, void *context)
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
anvil_updates_unpack (anvil_str_t bytes, anvil_update_visit_t visit, void *context)
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
