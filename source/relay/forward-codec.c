#include "relay/forward-codec.h"

#include <msgpack.h>
#include <string.h>

#include "net/message-check.h"

/* Memory for the msgpack objects of one message. */
#define ZONE_CHUNK_BYTES 1024
#define MAX_STATUS 999

static int
append (void *data, const char *bytes, size_t length)
{
  g_byte_array_append (data, (const guint8 *) bytes, (guint) length);
  return 0;
}

static void
pack_bytes (msgpack_packer *packer, anvil_str_t bytes)
{
  msgpack_pack_bin (packer, bytes.length);
  msgpack_pack_bin_body (packer, bytes.data, bytes.length);
}

void
anvil_forwarded_request_pack (const anvil_forwarded_request_t *request, GByteArray *out)
{
  msgpack_packer packer;

  msgpack_packer_init (&packer, out, append);
  msgpack_pack_array (&packer, 5);
  pack_bytes (&packer, request->method);
  pack_bytes (&packer, request->target);
  pack_bytes (&packer, request->id);
  pack_bytes (&packer, request->headers);
  pack_bytes (&packer, request->body);
}

void
anvil_forwarded_response_pack (const anvil_forwarded_response_t *response, GByteArray *out)
{
  msgpack_packer packer;

  msgpack_packer_init (&packer, out, append);
  msgpack_pack_array (&packer, 11);
  msgpack_pack_uint64 (&packer, response->result);
  msgpack_pack_uint64 (&packer, response->status);
  msgpack_pack_uint64 (&packer, response->upstream);
  pack_bytes (&packer, response->upstream_id);
  msgpack_pack_uint64 (&packer, (guint64) response->started_at);
  msgpack_pack_uint64 (&packer, (guint64) response->duration);
  msgpack_pack_uint64 (&packer, response->announcement.leaving);
  msgpack_pack_uint64 (&packer, (guint64) response->announcement.pause);
  pack_bytes (&packer, response->reason);
  pack_bytes (&packer, response->headers);
  pack_bytes (&packer, response->body);
}

/**
 * reader_t - reads the items of an array in order
 * @valid: FALSE once an item was missing or of another type
 */
typedef struct
{
  const msgpack_object_array *array;
  guint next;
  gboolean valid;
} reader_t;

static const msgpack_object *
read_item (reader_t *reader, msgpack_object_type type)
{
  const msgpack_object *object;

  if (!reader->valid || reader->next >= reader->array->size)
    {
      reader->valid = FALSE;
      return NULL;
    }
  object = &reader->array->ptr[reader->next++];
  if (object->type == type)
    return object;
  reader->valid = FALSE;
  return NULL;
}

static guint64
read_number (reader_t *reader, guint64 max)
{
  const msgpack_object *object = read_item (reader, MSGPACK_OBJECT_POSITIVE_INTEGER);

  if (object == NULL)
    return 0;
  if (object->via.u64 <= max)
    return object->via.u64;
  reader->valid = FALSE;
  return 0;
}

static anvil_str_t
read_bytes (reader_t *reader)
{
  const msgpack_object *object = read_item (reader, MSGPACK_OBJECT_BIN);

  if (object == NULL)
    return (anvil_str_t){ 0 };
  return (anvil_str_t){ .data = object->via.bin.ptr, .length = object->via.bin.size };
}

/* Calls @read with the items of a message, whose bytes outlive the objects that describe them. */
static gboolean
unpack (anvil_str_t bytes, void (*read) (reader_t *reader, gpointer result), gpointer result)
{
  msgpack_zone zone;
  msgpack_object root;
  reader_t reader = { 0 };

  if (!msgpack_zone_init (&zone, ZONE_CHUNK_BYTES))
    g_error ("out of memory");
  /* The unpacker allocates as many items as an array's header declares, so check these first. */
  if (anvil_frame_check_bounds (bytes)
      && msgpack_unpack (bytes.data, bytes.length, NULL, &zone, &root) == MSGPACK_UNPACK_SUCCESS
      && root.type == MSGPACK_OBJECT_ARRAY)
    {
      reader = (reader_t){ .array = &root.via.array, .valid = TRUE };
      read (&reader, result);
    }
  msgpack_zone_destroy (&zone);
  return reader.valid;
}

static void
read_request (reader_t *reader, gpointer result)
{
  anvil_forwarded_request_t *request = result;

  request->method = read_bytes (reader);
  request->target = read_bytes (reader);
  request->id = read_bytes (reader);
  request->headers = read_bytes (reader);
  request->body = read_bytes (reader);
}

gboolean
anvil_forwarded_request_unpack (anvil_str_t bytes, anvil_forwarded_request_t *request)
{
  memset (request, 0, sizeof *request);
  return unpack (bytes, read_request, request);
}

static void
read_response (reader_t *reader, gpointer result)
{
  anvil_forwarded_response_t *response = result;

  response->result = (anvil_run_result_t) read_number (reader, ANVIL_RUN_UNUSED);
  response->status = (guint) read_number (reader, MAX_STATUS);
  response->upstream = read_number (reader, G_MAXUINT64);
  response->upstream_id = read_bytes (reader);
  response->started_at = (gint64) read_number (reader, G_MAXINT64);
  response->duration = (anvil_time_t) read_number (reader, G_MAXINT64);
  response->announcement.leaving = read_number (reader, 1) != 0;
  response->announcement.pause = (anvil_time_t) read_number (reader, ANVIL_MAX_PAUSE);
  response->reason = read_bytes (reader);
  response->headers = read_bytes (reader);
  response->body = read_bytes (reader);
}

gboolean
anvil_forwarded_response_unpack (anvil_str_t bytes, anvil_forwarded_response_t *response)
{
  memset (response, 0, sizeof *response);
  return unpack (bytes, read_response, response);
}
