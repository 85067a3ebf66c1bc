#include "relay/relay-message.h"

#include <msgpack.h>
#include <string.h>

#include "anvil/error.h"
#include "net/message-check.h"

/* Most room that the objects of one message need while it is read. */
#define ZONE_CHUNK_BYTES 2048

static int
append (void *data, const char *bytes, size_t length)
{
  g_byte_array_append (data, (const guint8 *) bytes, (guint) length);
  return 0;
}

static void
pack_text (msgpack_packer *packer, anvil_str_t text)
{
  msgpack_pack_str (packer, text.length);
  msgpack_pack_str_body (packer, text.data, text.length);
}

static void
pack_info (msgpack_packer *packer, const anvil_member_info_t *info)
{
  msgpack_pack_array (packer, 8);
  pack_text (packer, info->name);
  pack_text (packer, info->zone);
  msgpack_pack_uint64 (packer, info->incarnation);
  msgpack_pack_uint64 (packer, info->caller_port);
  msgpack_pack_uint64 (packer, info->cpu_millicores);
  msgpack_pack_int64 (packer, info->store_ok_for);
  msgpack_pack_uint64 (packer, info->ready);
  msgpack_pack_uint64 (packer, info->leaving);
}

static void
pack_task (msgpack_packer *packer, const anvil_task_t *task)
{
  msgpack_pack_array (packer, 12);
  pack_text (packer, task->service);
  pack_text (packer, task->region);
  pack_text (packer, task->zone);
  msgpack_pack_array (packer, task->n_regions);
  for (guint i = 0; i < task->n_regions; i++)
    pack_text (packer, task->regions[i]);
  msgpack_pack_uint64 (packer, task->object);
  msgpack_pack_uint64 (packer, task->kind);
  msgpack_pack_uint64 (packer, task->priority);
  msgpack_pack_uint64 (packer, task->attempt);
  msgpack_pack_array (packer, task->n_excluded);
  for (guint i = 0; i < task->n_excluded; i++)
    msgpack_pack_uint64 (packer, task->excluded[i]);
  msgpack_pack_uint64 (packer, task->body_bytes);
  msgpack_pack_int64 (packer, task->target);
  msgpack_pack_int64 (packer, task->deadline);
}

static void
pack_grant (msgpack_packer *packer, const anvil_grant_t *grant)
{
  msgpack_pack_array (packer, 6);
  msgpack_pack_uint64 (packer, grant->upstream);
  pack_text (packer, grant->upstream_id);
  pack_text (packer, grant->zone);
  msgpack_pack_uint64 (packer, grant->address);
  msgpack_pack_uint64 (packer, grant->port);
  msgpack_pack_uint64 (packer, grant->warm);
}

static void
pack_places (msgpack_packer *packer, const anvil_relay_message_t *message)
{
  GByteArray *bytes = g_byte_array_new ();

  anvil_places_pack (message->places, message->n_places, bytes);
  msgpack_pack_bin (packer, bytes->len);
  msgpack_pack_bin_body (packer, bytes->data, bytes->len);
  g_byte_array_unref (bytes);
}

static void
pack_body (msgpack_packer *packer, const anvil_relay_message_t *message)
{
  switch (message->kind)
    {
    case ANVIL_RELAY_PING:
    case ANVIL_RELAY_PONG:
      pack_info (packer, &message->info);
      return;
    case ANVIL_RELAY_ASK:
      pack_task (packer, &message->task);
      return;
    case ANVIL_RELAY_ADOPT:
      msgpack_pack_array (packer, 2);
      pack_task (packer, &message->task);
      msgpack_pack_uint64 (packer, message->upstream);
      return;
    case ANVIL_RELAY_GRANT:
      pack_grant (packer, &message->grant);
      return;
    case ANVIL_RELAY_REFUSE:
      msgpack_pack_array (packer, 5);
      msgpack_pack_uint64 (packer, message->refused.reason);
      msgpack_pack_int64 (packer, message->refused.retry_after);
      msgpack_pack_uint64 (packer, message->refused.waiting);
      msgpack_pack_uint64 (packer, message->refused.running);
      msgpack_pack_uint64 (packer, message->refused.slots);
      return;
    case ANVIL_RELAY_FINISHED:
      msgpack_pack_array (packer, 3);
      msgpack_pack_uint64 (packer, message->report.result);
      msgpack_pack_int64 (packer, message->report.duration);
      msgpack_pack_uint64 (packer, message->report.still_running);
      return;
    case ANVIL_RELAY_WITHDRAW:
    case ANVIL_RELAY_ASK_NEWS:
      msgpack_pack_nil (packer);
      return;
    case ANVIL_RELAY_NEWS:
      msgpack_pack_array (packer, 4);
      msgpack_pack_uint64 (packer, message->after);
      msgpack_pack_int64 (packer, message->age);
      msgpack_pack_int64 (packer, message->lapses_for);
      msgpack_pack_bin (packer, message->rows.length);
      msgpack_pack_bin_body (packer, message->rows.data, message->rows.length);
      return;
    case ANVIL_RELAY_PLACES:
      msgpack_pack_array (packer, 2);
      pack_text (packer, message->service);
      pack_places (packer, message);
      return;
    }
  g_assert_not_reached ();
}

void
anvil_relay_message_pack (const anvil_relay_message_t *message, GByteArray *out)
{
  msgpack_packer packer;

  msgpack_packer_init (&packer, out, append);
  msgpack_pack_array (&packer, 3);
  msgpack_pack_uint64 (&packer, message->kind);
  msgpack_pack_uint64 (&packer, message->number);
  pack_body (&packer, message);
}

/**
 * reader_t - walks an array; after the first fault every read gives an empty value
 * @fault: name of the field that was wrong, or NULL
 */
typedef struct
{
  const msgpack_object_array *array;
  guint next;
  const char **fault;
} reader_t;

static const msgpack_object *
take (reader_t *reader, const char *field, msgpack_object_type type)
{
  const msgpack_object *object;

  if (*reader->fault == NULL && (reader->array == NULL || reader->next >= reader->array->size))
    *reader->fault = field;
  if (*reader->fault != NULL)
    return NULL;
  object = &reader->array->ptr[reader->next++];
  if (object->type == type)
    return object;
  *reader->fault = field;
  return NULL;
}

static guint64
take_number (reader_t *reader, const char *field, guint64 most)
{
  const msgpack_object *object = take (reader, field, MSGPACK_OBJECT_POSITIVE_INTEGER);

  if (object == NULL)
    return 0;
  if (object->via.u64 <= most)
    return object->via.u64;
  *reader->fault = field;
  return 0;
}

static anvil_time_t
take_time (reader_t *reader, const char *field)
{
  const msgpack_object *object = NULL;

  if (reader->array != NULL && reader->next < reader->array->size)
    object = &reader->array->ptr[reader->next];
  if (object != NULL && object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    {
      reader->next++;
      return object->via.i64;
    }
  return (anvil_time_t) take_number (reader, field, G_MAXINT64);
}

static anvil_str_t
take_text (reader_t *reader, const char *field)
{
  const msgpack_object *object = take (reader, field, MSGPACK_OBJECT_STR);

  if (object == NULL)
    return (anvil_str_t){ 0 };
  return (anvil_str_t){ .data = object->via.str.ptr, .length = object->via.str.size };
}

static reader_t
take_array (reader_t *reader, const char *field)
{
  const msgpack_object *object = take (reader, field, MSGPACK_OBJECT_ARRAY);

  return (reader_t){ .array = object != NULL ? &object->via.array : NULL, .fault = reader->fault };
}

static void
read_info (reader_t *outer, anvil_member_info_t *info)
{
  reader_t reader = take_array (outer, "info");

  info->name = take_text (&reader, "name");
  info->zone = take_text (&reader, "zone");
  info->incarnation = take_number (&reader, "incarnation", G_MAXUINT64);
  info->caller_port = (guint16) take_number (&reader, "caller port", G_MAXUINT16);
  info->cpu_millicores = (guint) take_number (&reader, "capacity", G_MAXUINT);
  info->store_ok_for = take_time (&reader, "time with the store");
  info->ready = take_number (&reader, "ready", 1) != 0;
  info->leaving = take_number (&reader, "leaving", 1) != 0;
}

static guint
array_length (reader_t *reader, const char *field, guint most)
{
  if (reader->array == NULL)
    return 0;
  if (reader->array->size <= most)
    return reader->array->size;
  *reader->fault = field;
  return 0;
}

static void
read_task (reader_t *outer, anvil_task_t *task)
{
  reader_t reader = take_array (outer, "task");
  reader_t regions;
  reader_t avoid;

  task->service = take_text (&reader, "service");
  task->region = take_text (&reader, "region");
  task->zone = take_text (&reader, "zone");
  regions = take_array (&reader, "regions");
  task->n_regions = array_length (&regions, "regions", ANVIL_MAX_ROUTE_REGIONS);
  for (guint i = 0; i < task->n_regions; i++)
    task->regions[i] = take_text (&regions, "region allowed");
  task->object = take_number (&reader, "object", G_MAXUINT64);
  task->kind = (anvil_route_kind_t) take_number (&reader, "kind", ANVIL_ROUTE_UPLOAD);
  task->priority = (guint) take_number (&reader, "priority", G_MAXUINT);
  task->attempt = (guint) take_number (&reader, "attempt", G_MAXUINT);
  avoid = take_array (&reader, "avoid");
  task->n_excluded = array_length (&avoid, "avoid", ANVIL_MAX_EXCLUDED_UPSTREAMS);
  for (guint i = 0; i < task->n_excluded; i++)
    task->excluded[i] = take_number (&avoid, "upstream avoided", G_MAXUINT64);
  task->body_bytes = take_number (&reader, "body bytes", G_MAXUINT64);
  task->target = take_time (&reader, "target");
  task->deadline = take_time (&reader, "deadline");
}

static void
read_grant (reader_t *outer, anvil_grant_t *grant)
{
  reader_t reader = take_array (outer, "grant");

  grant->upstream = take_number (&reader, "upstream", G_MAXUINT64);
  grant->upstream_id = take_text (&reader, "upstream id");
  grant->zone = take_text (&reader, "zone");
  grant->address = (guint32) take_number (&reader, "address", G_MAXUINT32);
  grant->port = (guint16) take_number (&reader, "port", G_MAXUINT16);
  grant->warm = take_number (&reader, "warm", 1) != 0;
}

static anvil_str_t
take_bytes (reader_t *reader, const char *field)
{
  const msgpack_object *object = take (reader, field, MSGPACK_OBJECT_BIN);

  if (object == NULL)
    return (anvil_str_t){ 0 };
  return (anvil_str_t){ .data = object->via.bin.ptr, .length = object->via.bin.size };
}

static void
read_places (reader_t *outer, anvil_relay_message_t *message)
{
  reader_t body = take_array (outer, "places");

  message->service = take_text (&body, "service");
  message->n_places = anvil_places_unpack (take_bytes (&body, "list of places"), message->places,
                                           ANVIL_MAX_TOLD_PLACES);
}

static void
read_news (reader_t *outer, anvil_relay_message_t *message)
{
  reader_t body = take_array (outer, "news");

  message->after = take_number (&body, "after", G_MAXUINT64);
  message->age = take_time (&body, "age");
  message->lapses_for = take_time (&body, "lapses for");
  message->rows = take_bytes (&body, "rows");
}

static void
read_body (reader_t *reader, anvil_relay_message_t *message)
{
  reader_t body;

  switch (message->kind)
    {
    case ANVIL_RELAY_PING:
    case ANVIL_RELAY_PONG:
      read_info (reader, &message->info);
      return;
    case ANVIL_RELAY_ASK:
      read_task (reader, &message->task);
      return;
    case ANVIL_RELAY_ADOPT:
      body = take_array (reader, "adopt");
      read_task (&body, &message->task);
      message->upstream = take_number (&body, "upstream", G_MAXUINT64);
      return;
    case ANVIL_RELAY_GRANT:
      read_grant (reader, &message->grant);
      return;
    case ANVIL_RELAY_REFUSE:
      body = take_array (reader, "refuse");
      message->refused.reason
          = (anvil_task_refusal_reason_t) take_number (&body, "reason", ANVIL_TASK_LATE);
      message->refused.retry_after = take_time (&body, "come back");
      message->refused.waiting = (guint) take_number (&body, "waiting", G_MAXUINT);
      message->refused.running = (guint) take_number (&body, "running", G_MAXUINT);
      message->refused.slots = (guint) take_number (&body, "slots", G_MAXUINT);
      return;
    case ANVIL_RELAY_FINISHED:
      body = take_array (reader, "finished");
      message->report.result = (anvil_run_result_t) take_number (&body, "result", ANVIL_RUN_UNUSED);
      message->report.duration = take_time (&body, "took");
      message->report.still_running = take_number (&body, "still running", 1) != 0;
      return;
    case ANVIL_RELAY_WITHDRAW:
    case ANVIL_RELAY_ASK_NEWS:
      return;
    case ANVIL_RELAY_NEWS:
      read_news (reader, message);
      return;
    case ANVIL_RELAY_PLACES:
      read_places (reader, message);
      return;
    }
  *reader->fault = "kind";
}

gboolean
anvil_relay_message_unpack (anvil_str_t bytes, anvil_relay_message_t *message, GError **error)
{
  const char *fault = NULL;
  reader_t reader = { .fault = &fault };
  msgpack_zone zone;
  msgpack_object root;

  memset (message, 0, sizeof *message);
  if (!msgpack_zone_init (&zone, ZONE_CHUNK_BYTES))
    g_error ("out of memory");
  /* The unpacker allocates what an array's header claims, so the claims are checked first. */
  if (!anvil_frame_check_bounds (bytes)
      || msgpack_unpack (bytes.data, bytes.length, NULL, &zone, &root) != MSGPACK_UNPACK_SUCCESS
      || root.type != MSGPACK_OBJECT_ARRAY)
    fault = "message";
  else
    {
      reader.array = &root.via.array;
      message->kind = (anvil_relay_kind_t) take_number (&reader, "kind", ANVIL_RELAY_NEWS);
      message->number = take_number (&reader, "number", G_MAXUINT64);
      if (fault == NULL)
        read_body (&reader, message);
    }
  msgpack_zone_destroy (&zone);
  if (fault != NULL)
    g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID, "message about tasks: bad %s", fault);
  return fault == NULL;
}
