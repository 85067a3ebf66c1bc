#include "relay/forward-codec.h"

#include <msgpack.h>
#include <string.h>

#include "net/message-check.h"
#include "relay/message-reader.h"

/* Memory for the msgpack objects of one message. */
#define ZONE_CHUNK_BYTES 1024
#define MAX_STATUS 999

void
anvil_forwarded_request_pack (const anvil_forwarded_request_t *request, GByteArray *out)
{
  msgpack_packer packer;

  msgpack_packer_init (&packer, out, anvil_message_append);
  msgpack_pack_array (&packer, 5);
  anvil_message_pack_bytes (&packer, request->method);
  anvil_message_pack_bytes (&packer, request->target);
  anvil_message_pack_bytes (&packer, request->id);
  anvil_message_pack_bytes (&packer, request->headers);
  anvil_message_pack_bytes (&packer, request->body);
}

void
anvil_forwarded_response_pack (const anvil_forwarded_response_t *response, GByteArray *out)
{
  msgpack_packer packer;

  msgpack_packer_init (&packer, out, anvil_message_append);
  msgpack_pack_array (&packer, 11);
  msgpack_pack_uint64 (&packer, response->result);
  msgpack_pack_uint64 (&packer, response->status);
  msgpack_pack_uint64 (&packer, response->upstream);
  anvil_message_pack_bytes (&packer, response->upstream_id);
  msgpack_pack_uint64 (&packer, (guint64) response->started_at);
  msgpack_pack_uint64 (&packer, (guint64) response->duration);
  msgpack_pack_uint64 (&packer, response->announcement.leaving);
  msgpack_pack_uint64 (&packer, (guint64) response->announcement.pause);
  anvil_message_pack_bytes (&packer, response->reason);
  anvil_message_pack_bytes (&packer, response->headers);
  anvil_message_pack_bytes (&packer, response->body);
}

/* Calls @read with the items of a message, whose bytes outlive the objects that describe them. */
static gboolean
unpack (anvil_str_t bytes,
        void (*read) (anvil_message_reader_t *reader, gpointer result),
        gpointer result)
{
  msgpack_zone zone;
  msgpack_object root;
  const char *bad_field = NULL;
  anvil_message_reader_t reader = { .bad_field = &bad_field };
  gboolean valid = FALSE;

  if (!msgpack_zone_init (&zone, ZONE_CHUNK_BYTES))
    g_error ("out of memory");
  /* The unpacker allocates as many items as an array's header declares, so check these first. */
  if (anvil_frame_check_bounds (bytes)
      && msgpack_unpack (bytes.data, bytes.length, NULL, &zone, &root) == MSGPACK_UNPACK_SUCCESS
      && root.type == MSGPACK_OBJECT_ARRAY)
    {
      reader.array = &root.via.array;
      read (&reader, result);
      valid = bad_field == NULL;
    }
  msgpack_zone_destroy (&zone);
  return valid;
}

static void
read_request (anvil_message_reader_t *reader, gpointer result)
{
  anvil_forwarded_request_t *request = result;

  request->method = anvil_message_read_bytes (reader, "method");
  request->target = anvil_message_read_bytes (reader, "target");
  request->id = anvil_message_read_bytes (reader, "id");
  request->headers = anvil_message_read_bytes (reader, "headers");
  request->body = anvil_message_read_bytes (reader, "body");
}

gboolean
anvil_forwarded_request_unpack (anvil_str_t bytes, anvil_forwarded_request_t *request)
{
  memset (request, 0, sizeof *request);
  return unpack (bytes, read_request, request);
}

static void
read_response (anvil_message_reader_t *reader, gpointer result)
{
  anvil_forwarded_response_t *response = result;

  response->result
      = (anvil_run_result_t) anvil_message_read_number (reader, "result", ANVIL_RUN_UNUSED);
  response->status = (guint) anvil_message_read_number (reader, "status", MAX_STATUS);
  response->upstream = anvil_message_read_number (reader, "upstream", G_MAXUINT64);
  response->upstream_id = anvil_message_read_bytes (reader, "upstream_id");
  response->started_at = (gint64) anvil_message_read_number (reader, "started_at", G_MAXINT64);
  response->duration = (anvil_time_t) anvil_message_read_number (reader, "duration", G_MAXINT64);
  response->announcement.leaving = anvil_message_read_number (reader, "leaving", 1) != 0;
  response->announcement.pause
      = (anvil_time_t) anvil_message_read_number (reader, "pause", ANVIL_MAX_PAUSE);
  response->reason = anvil_message_read_bytes (reader, "reason");
  response->headers = anvil_message_read_bytes (reader, "headers");
  response->body = anvil_message_read_bytes (reader, "body");
}

gboolean
anvil_forwarded_response_unpack (anvil_str_t bytes, anvil_forwarded_response_t *response)
{
  memset (response, 0, sizeof *response);
  return unpack (bytes, read_response, response);
}
