#include "relay/relay-message.h"

#include <math.h>
#include <msgpack.h>
#include <string.h>

#include "anvil/error.h"
#include "net/message-check.h"

/* Memory for the msgpack objects of one message. */
#define ZONE_CHUNK_BYTES 2048
/* Value of a proof's age for "none". */
#define NO_PROOF (-1)
/* More than a holder has tasks or uses in a window; sums of two don't overflow. */
#define MAX_QUOTA_TOKENS (1u << 30)
/* Larger than any count of a second, and small enough that sums don't overflow. */
#define MAX_RETRY_COUNT (1u << 24)

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
pack_bytes (msgpack_packer *packer, anvil_str_t bytes)
{
  msgpack_pack_bin (packer, bytes.length);
  msgpack_pack_bin_body (packer, bytes.data, bytes.length);
}

static void
pack_info (msgpack_packer *packer, const anvil_member_info_t *info)
{
  msgpack_pack_array (packer, 15);
  pack_text (packer, info->name);
  pack_text (packer, info->zone);
  msgpack_pack_uint64 (packer, info->incarnation);
  msgpack_pack_uint64 (packer, info->caller_port);
  msgpack_pack_uint64 (packer, info->cpu_millicores);
  msgpack_pack_int64 (packer, info->store_ok_for);
  msgpack_pack_uint64 (packer, info->ready);
  msgpack_pack_uint64 (packer, info->leaving);
  msgpack_pack_uint64 (packer, info->reads_store);
  msgpack_pack_uint64 (packer, info->outdated);
  msgpack_pack_uint64 (packer, info->knows_peers);
  msgpack_pack_uint64 (packer, info->caller_share);
  msgpack_pack_int64 (packer, info->config_version);
  msgpack_pack_int64 (packer, info->config_proof_age);
  msgpack_pack_uint64 (packer, info->store_era);
}

static void
pack_task (msgpack_packer *packer, const anvil_task_t *task)
{
  msgpack_pack_array (packer, 17);
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
  msgpack_pack_uint64 (packer, task->route_class);
  pack_text (packer, task->tenant);
  msgpack_pack_uint64 (packer, task->tenant_priority);
  msgpack_pack_uint64 (packer, task->quota_paid);
  msgpack_pack_uint64 (packer, task->is_repeat);
}

static void
pack_grant (msgpack_packer *packer, const anvil_slot_grant_t *grant)
{
  msgpack_pack_array (packer, 10);
  msgpack_pack_uint64 (packer, grant->upstream);
  pack_text (packer, grant->upstream_id);
  pack_text (packer, grant->zone);
  msgpack_pack_uint64 (packer, grant->address);
  msgpack_pack_uint64 (packer, grant->port);
  msgpack_pack_uint64 (packer, grant->warm);
  msgpack_pack_uint64 (packer, grant->row_version.version);
  msgpack_pack_int64 (packer, grant->started_at);
  msgpack_pack_int64 (packer, grant->repeat_after);
  msgpack_pack_uint64 (packer, grant->row_version.era);
}

static void
pack_warm_objects (msgpack_packer *packer, const anvil_relay_message_t *message)
{
  GByteArray *bytes = g_byte_array_new ();

  anvil_warm_objects_pack (message->objects, message->n_objects, bytes);
  msgpack_pack_bin (packer, bytes->len);
  msgpack_pack_bin_body (packer, bytes->data, bytes->len);
  g_byte_array_unref (bytes);
}

static void
pack_limits (msgpack_packer *packer, const anvil_relay_message_t *message)
{
  msgpack_pack_array (packer, message->n_limits);
  for (guint i = 0; i < message->n_limits; i++)
    {
      msgpack_pack_array (packer, 3);
      msgpack_pack_uint64 (packer, message->limits[i].upstream);
      msgpack_pack_double (packer, message->limits[i].per_second);
      msgpack_pack_int64 (packer, message->limits[i].age);
    }
}

static void
pack_announcements (msgpack_packer *packer, const anvil_relay_message_t *message)
{
  msgpack_pack_array (packer, 2);
  pack_text (packer, message->service);
  msgpack_pack_array (packer, message->n_announcements);
  for (guint i = 0; i < message->n_announcements; i++)
    {
      const anvil_named_announcement_t *item = &message->announcements[i];

      msgpack_pack_array (packer, 4);
      msgpack_pack_uint64 (packer, item->upstream);
      msgpack_pack_int64 (packer, item->started_at);
      msgpack_pack_uint64 (packer, item->announcement.leaving);
      msgpack_pack_int64 (packer, item->announcement.pause);
    }
}

static void
pack_counts (msgpack_packer *packer, const guint32 *counts)
{
  msgpack_pack_array (packer, ANVIL_RETRY_COUNTED_BUCKETS);
  for (guint i = 0; i < ANVIL_RETRY_COUNTED_BUCKETS; i++)
    msgpack_pack_uint64 (packer, counts[i]);
}

static void
pack_retry_counts (msgpack_packer *packer, const anvil_relay_message_t *message)
{
  msgpack_pack_array (packer, 2);
  pack_text (packer, message->service);
  msgpack_pack_array (packer, message->n_retry_counts);
  for (guint i = 0; i < message->n_retry_counts; i++)
    {
      msgpack_pack_array (packer, 4);
      msgpack_pack_uint64 (packer, message->retry_counts[i].origin);
      msgpack_pack_uint64 (packer, message->retry_counts[i].n_attempts);
      pack_counts (packer, message->retry_counts[i].requests);
      pack_counts (packer, message->retry_counts[i].retries);
    }
}

static void
pack_wants (msgpack_packer *packer, const anvil_relay_message_t *message)
{
  msgpack_pack_array (packer, message->n_wants);
  for (guint i = 0; i < message->n_wants; i++)
    {
      msgpack_pack_array (packer, 4);
      pack_text (packer, message->wants[i].tenant);
      msgpack_pack_uint64 (packer, message->wants[i].waiting);
      msgpack_pack_uint64 (packer, message->wants[i].ahead);
      msgpack_pack_uint64 (packer, message->wants[i].used_elsewhere);
    }
}

static void
pack_lents (msgpack_packer *packer, const anvil_relay_message_t *message)
{
  msgpack_pack_array (packer, message->n_lents);
  for (guint i = 0; i < message->n_lents; i++)
    {
      msgpack_pack_array (packer, 5);
      pack_text (packer, message->lents[i].tenant);
      msgpack_pack_uint64 (packer, message->lents[i].wanted);
      msgpack_pack_uint64 (packer, message->lents[i].lent);
      msgpack_pack_int64 (packer, message->lents[i].retry_after);
      msgpack_pack_uint64 (packer, message->lents[i].use_share);
    }
}

static void
pack_evacuated (msgpack_packer *packer, const anvil_relay_message_t *message)
{
  msgpack_pack_uint64 (packer, message->operators_version.version);
  msgpack_pack_array (packer, message->n_evacuated);
  for (guint i = 0; i < message->n_evacuated; i++)
    pack_text (packer, message->evacuated[i]);
}

/* The body is empty where the store names no era, as entries of older versions send it. */
static void
pack_updates_request (msgpack_packer *packer, const anvil_relay_message_t *message)
{
  if (message->era == 0)
    {
      msgpack_pack_nil (packer);
      return;
    }
  msgpack_pack_array (packer, 1);
  msgpack_pack_uint64 (packer, message->era);
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
    case ANVIL_RELAY_REQUEST_SLOT:
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
      msgpack_pack_array (packer, 6);
      msgpack_pack_uint64 (packer, message->report.result);
      msgpack_pack_int64 (packer, message->report.duration);
      msgpack_pack_uint64 (packer, message->report.still_running);
      msgpack_pack_uint64 (packer, message->report.request_limit.state);
      msgpack_pack_double (packer, message->report.request_limit.per_second);
      msgpack_pack_uint64 (packer, message->report.speed);
      return;
    case ANVIL_RELAY_CANCEL:
      msgpack_pack_nil (packer);
      return;
    case ANVIL_RELAY_REQUEST_UPDATES:
      pack_updates_request (packer, message);
      return;
    case ANVIL_RELAY_REQUEST_CONFIG:
      msgpack_pack_array (packer, 1);
      msgpack_pack_uint64 (packer, message->whole);
      return;
    case ANVIL_RELAY_UPDATES:
      msgpack_pack_array (packer, 12);
      msgpack_pack_uint64 (packer, message->after_version.version);
      msgpack_pack_int64 (packer, message->age);
      msgpack_pack_int64 (packer, message->store_ok_for);
      msgpack_pack_int64 (packer, message->grace_remaining);
      msgpack_pack_uint64 (packer, message->digest);
      msgpack_pack_bin (packer, message->rows.length);
      msgpack_pack_bin_body (packer, message->rows.data, message->rows.length);
      pack_evacuated (packer, message);
      msgpack_pack_uint64 (packer, message->operators_version.era);
      msgpack_pack_uint64 (packer, message->after_version.era);
      msgpack_pack_uint64 (packer, message->era);
      msgpack_pack_int64 (packer, message->operators_age);
      return;
    case ANVIL_RELAY_CONFIG:
      msgpack_pack_array (packer, 6);
      msgpack_pack_uint64 (packer, message->read_version.version);
      msgpack_pack_bin (packer, message->rows.length);
      msgpack_pack_bin_body (packer, message->rows.data, message->rows.length);
      pack_evacuated (packer, message);
      msgpack_pack_uint64 (packer, message->operators_version.era);
      msgpack_pack_uint64 (packer, message->read_version.era);
      return;
    case ANVIL_RELAY_WARM_OBJECTS:
      msgpack_pack_array (packer, 2);
      pack_text (packer, message->service);
      pack_warm_objects (packer, message);
      return;
    case ANVIL_RELAY_REQUEST_LIMITS:
      pack_limits (packer, message);
      return;
    case ANVIL_RELAY_RETRY_COUNTS:
      pack_retry_counts (packer, message);
      return;
    case ANVIL_RELAY_ANNOUNCEMENTS:
      pack_announcements (packer, message);
      return;
    case ANVIL_RELAY_FORWARD:
      msgpack_pack_array (packer, 2);
      pack_task (packer, &message->task);
      pack_bytes (packer, message->rows);
      return;
    case ANVIL_RELAY_RESPONSE:
      msgpack_pack_array (packer, 1);
      pack_bytes (packer, message->rows);
      return;
    case ANVIL_RELAY_REQUEST_QUOTA:
      pack_wants (packer, message);
      return;
    case ANVIL_RELAY_QUOTA:
      pack_lents (packer, message);
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
 * reader_t - reads the items of an array in order; after the first error every read returns an
 * empty value
 * @bad_field: name of the first field that was missing or invalid, or NULL
 */
typedef struct
{
  const msgpack_object_array *array;
  guint next;
  const char **bad_field;
} reader_t;

static const msgpack_object *
read_item (reader_t *reader, const char *field, msgpack_object_type type)
{
  const msgpack_object *object;

  if (*reader->bad_field == NULL && (reader->array == NULL || reader->next >= reader->array->size))
    *reader->bad_field = field;
  if (*reader->bad_field != NULL)
    return NULL;
  object = &reader->array->ptr[reader->next++];
  if (object->type == type)
    return object;
  *reader->bad_field = field;
  return NULL;
}

/* Entries of older versions send fewer items. */
static gboolean
has_more (const reader_t *reader)
{
  return reader->array != NULL && reader->next < reader->array->size;
}

static guint64
read_number (reader_t *reader, const char *field, guint64 max)
{
  const msgpack_object *object = read_item (reader, field, MSGPACK_OBJECT_POSITIVE_INTEGER);

  if (object == NULL)
    return 0;
  if (object->via.u64 <= max)
    return object->via.u64;
  *reader->bad_field = field;
  return 0;
}

static anvil_time_t
read_time (reader_t *reader, const char *field)
{
  const msgpack_object *object = NULL;

  if (reader->array != NULL && reader->next < reader->array->size)
    object = &reader->array->ptr[reader->next];
  if (object != NULL && object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    {
      reader->next++;
      return object->via.i64;
    }
  return (anvil_time_t) read_number (reader, field, G_MAXINT64);
}

/* A finite number, 0 or more. */
static gdouble
read_rate (reader_t *reader, const char *field)
{
  const msgpack_object *object = read_item (reader, field, MSGPACK_OBJECT_FLOAT64);

  if (object == NULL)
    return 0;
  if (isfinite (object->via.f64) && object->via.f64 >= 0)
    return object->via.f64;
  *reader->bad_field = field;
  return 0;
}

static anvil_str_t
read_text (reader_t *reader, const char *field)
{
  const msgpack_object *object = read_item (reader, field, MSGPACK_OBJECT_STR);

  if (object == NULL)
    return (anvil_str_t){ 0 };
  return (anvil_str_t){ .data = object->via.str.ptr, .length = object->via.str.size };
}

static reader_t
read_array (reader_t *reader, const char *field)
{
  const msgpack_object *object = read_item (reader, field, MSGPACK_OBJECT_ARRAY);

  return (reader_t){ .array = object != NULL ? &object->via.array : NULL,
                     .bad_field = reader->bad_field };
}

/* Entries of older versions don't send eras. */
static guint64
read_era (reader_t *reader)
{
  return has_more (reader) ? read_number (reader, "era of the store", G_MAXUINT64) : 0;
}

static void
read_info (reader_t *outer, anvil_member_info_t *info)
{
  reader_t reader = read_array (outer, "info");

  info->name = read_text (&reader, "name");
  info->zone = read_text (&reader, "zone");
  info->incarnation = read_number (&reader, "incarnation", G_MAXUINT64);
  info->caller_port = (guint16) read_number (&reader, "caller port", G_MAXUINT16);
  info->cpu_millicores = (guint) read_number (&reader, "capacity", G_MAXUINT);
  info->store_ok_for = read_time (&reader, "store_ok_for");
  info->ready = read_number (&reader, "ready", 1) != 0;
  info->leaving = read_number (&reader, "leaving", 1) != 0;
  info->reads_store = read_number (&reader, "reads store", 1) != 0;
  info->outdated = read_number (&reader, "outdated", 1) != 0;
  /* Entries of older versions don't send it; they hold services from their start. */
  info->knows_peers = reader.array == NULL || reader.next == reader.array->size
                      || read_number (&reader, "knows peers", 1) != 0;
  /* Nor this. They have room for any caller. */
  info->caller_share = reader.array == NULL || reader.next == reader.array->size
                           ? ANVIL_FULL_CALLER_SHARE
                           : (guint) read_number (&reader, "caller share", ANVIL_FULL_CALLER_SHARE);
  /* Nor this, which counts as none. */
  if (reader.array != NULL && reader.next < reader.array->size)
    info->config_version = (gint64) read_number (&reader, "config version", G_MAXINT64);
  info->config_proof_age = NO_PROOF;
  if (has_more (&reader))
    info->config_proof_age = read_time (&reader, "age of the configuration's proof");
  info->store_era = read_era (&reader);
}

static guint
array_length (reader_t *reader, const char *field, guint max)
{
  if (reader->array == NULL)
    return 0;
  if (reader->array->size <= max)
    return reader->array->size;
  *reader->bad_field = field;
  return 0;
}

static void
read_task (reader_t *outer, anvil_task_t *task)
{
  reader_t reader = read_array (outer, "task");
  reader_t regions;
  reader_t excluded;

  task->service = read_text (&reader, "service");
  task->region = read_text (&reader, "region");
  task->zone = read_text (&reader, "zone");
  regions = read_array (&reader, "regions");
  task->n_regions = array_length (&regions, "regions", ANVIL_MAX_ROUTE_REGIONS);
  for (guint i = 0; i < task->n_regions; i++)
    task->regions[i] = read_text (&regions, "allowed region");
  task->object = read_number (&reader, "object", G_MAXUINT64);
  task->kind = (anvil_route_kind_t) read_number (&reader, "kind", ANVIL_ROUTE_UPLOAD);
  task->priority = (guint) read_number (&reader, "priority", G_MAXUINT);
  task->attempt = (guint) read_number (&reader, "attempt", G_MAXUINT);
  excluded = read_array (&reader, "excluded");
  task->n_excluded = array_length (&excluded, "excluded", ANVIL_MAX_EXCLUDED_UPSTREAMS);
  for (guint i = 0; i < task->n_excluded; i++)
    task->excluded[i] = read_number (&excluded, "excluded upstream", G_MAXUINT64);
  task->body_bytes = read_number (&reader, "body bytes", G_MAXUINT64);
  task->target = read_time (&reader, "target");
  task->deadline = read_time (&reader, "deadline");
  task->tenant_priority = task->priority;
  /* Entries of older versions don't send the rest. */
  if (!has_more (&reader))
    return;
  task->route_class = read_number (&reader, "class of route", G_MAXUINT64);
  task->tenant = read_text (&reader, "tenant");
  task->tenant_priority = (guint) read_number (&reader, "tenant's priority", G_MAXUINT);
  task->quota_paid = read_number (&reader, "quota paid", 1) != 0;
  task->is_repeat = read_number (&reader, "repeat", 1) != 0;
}

static void
read_grant (reader_t *outer, anvil_slot_grant_t *grant)
{
  reader_t reader = read_array (outer, "grant");

  grant->upstream = read_number (&reader, "upstream", G_MAXUINT64);
  grant->upstream_id = read_text (&reader, "upstream id");
  grant->zone = read_text (&reader, "zone");
  grant->address = (guint32) read_number (&reader, "address", G_MAXUINT32);
  grant->port = (guint16) read_number (&reader, "port", G_MAXUINT16);
  grant->warm = read_number (&reader, "warm", 1) != 0;
  grant->row_version.version = read_number (&reader, "row version", G_MAXUINT64);
  /* Entries of older versions don't send it. */
  if (reader.array != NULL && reader.next < reader.array->size)
    grant->started_at = read_time (&reader, "start");
  if (has_more (&reader))
    grant->repeat_after = read_time (&reader, "time until a repeat");
  grant->row_version.era = read_era (&reader);
}

static anvil_str_t
read_bytes (reader_t *reader, const char *field)
{
  const msgpack_object *object = read_item (reader, field, MSGPACK_OBJECT_BIN);

  if (object == NULL)
    return (anvil_str_t){ 0 };
  return (anvil_str_t){ .data = object->via.bin.ptr, .length = object->via.bin.size };
}

static void
read_warm_objects (reader_t *outer, anvil_relay_message_t *message)
{
  reader_t body = read_array (outer, "places");

  message->service = read_text (&body, "service");
  message->n_objects = anvil_warm_objects_unpack (read_bytes (&body, "list of places"),
                                                  message->objects, ANVIL_MAX_MESSAGE_WARM_OBJECTS);
}

static void
read_evacuated (reader_t *body, anvil_relay_message_t *message)
{
  reader_t zones;

  message->operators_version.version
      = read_number (body, "version of the operators' table", G_MAXUINT64);
  zones = read_array (body, "evacuated zones");
  message->n_evacuated = array_length (&zones, "evacuated zones", ANVIL_MAX_MESSAGE_ZONES);
  for (guint i = 0; i < message->n_evacuated; i++)
    message->evacuated[i] = read_text (&zones, "evacuated zone");
}

static void
read_config (reader_t *outer, anvil_relay_message_t *message)
{
  reader_t body = read_array (outer, "configuration");

  message->read_version.version = read_number (&body, "version of the table", G_MAXUINT64);
  message->rows = read_bytes (&body, "changes of the configuration");
  read_evacuated (&body, message);
  message->operators_version.era = read_era (&body);
  message->read_version.era = read_era (&body);
}

static void
read_updates (reader_t *outer, anvil_relay_message_t *message)
{
  reader_t body = read_array (outer, "updates");

  message->after_version.version = read_number (&body, "after", G_MAXUINT64);
  message->age = read_time (&body, "age");
  message->store_ok_for = read_time (&body, "time without an outage");
  message->grace_remaining = read_time (&body, "remaining grace");
  message->digest = read_number (&body, "digest", G_MAXUINT64);
  message->rows = read_bytes (&body, "rows");
  /* Entries of older versions don't send the rest. */
  if (body.array == NULL || body.next == body.array->size)
    return;
  read_evacuated (&body, message);
  message->operators_version.era = read_era (&body);
  message->after_version.era = read_era (&body);
  message->era = read_era (&body);
  /* Such an entry still asks the store itself. */
  message->operators_age
      = has_more (&body) ? read_time (&body, "age of the operators' table") : G_MAXINT64;
}

static void
read_updates_request (reader_t *outer, anvil_relay_message_t *message)
{
  reader_t body;

  if (!has_more (outer) || outer->array->ptr[outer->next].type == MSGPACK_OBJECT_NIL)
    return;
  body = read_array (outer, "request for updates");
  message->era = read_era (&body);
}

static void
read_report (reader_t *outer, anvil_run_report_t *report)
{
  reader_t body = read_array (outer, "finished");

  report->result = (anvil_run_result_t) read_number (&body, "result", ANVIL_RUN_UNUSED);
  report->duration = read_time (&body, "duration");
  report->still_running = read_number (&body, "still running", 1) != 0;
  /* Entries of older versions don't send it. */
  if (body.array == NULL || body.next == body.array->size)
    return;
  report->request_limit.state = (anvil_request_limit_state_t) read_number (
      &body, "state of the request limit", ANVIL_REQUEST_LIMIT_NAMED);
  report->request_limit.per_second = read_rate (&body, "request limit");
  if (has_more (&body))
    report->speed = (guint) read_number (&body, "speed", G_MAXUINT);
}

static void
read_limits (reader_t *outer, anvil_relay_message_t *message)
{
  reader_t list = read_array (outer, "request limits");

  message->n_limits = array_length (&list, "request limits", ANVIL_MAX_MESSAGE_REQUEST_LIMITS);
  for (guint i = 0; i < message->n_limits; i++)
    {
      reader_t limit = read_array (&list, "request limit");

      message->limits[i].upstream = read_number (&limit, "upstream", G_MAXUINT64);
      message->limits[i].per_second = read_rate (&limit, "requests a second");
      message->limits[i].age = read_time (&limit, "age");
    }
}

static void
read_announcements (reader_t *outer, anvil_relay_message_t *message)
{
  reader_t body = read_array (outer, "announcements");
  reader_t list;

  message->service = read_text (&body, "service");
  list = read_array (&body, "list of announcements");
  message->n_announcements
      = array_length (&list, "list of announcements", ANVIL_MAX_MESSAGE_ANNOUNCEMENTS);
  for (guint i = 0; i < message->n_announcements; i++)
    {
      reader_t item = read_array (&list, "announcement");
      anvil_named_announcement_t *announcement = &message->announcements[i];

      announcement->upstream = read_number (&item, "upstream", G_MAXUINT64);
      announcement->started_at = read_time (&item, "start");
      announcement->announcement.leaving = read_number (&item, "leaving", 1) != 0;
      announcement->announcement.pause
          = (anvil_time_t) read_number (&item, "pause", ANVIL_MAX_PAUSE);
    }
}

static void
read_counts (reader_t *outer, const char *field, guint32 *counts)
{
  reader_t list = read_array (outer, field);

  for (guint i = 0; i < ANVIL_RETRY_COUNTED_BUCKETS; i++)
    counts[i] = (guint32) read_number (&list, field, MAX_RETRY_COUNT);
}

static void
read_retry_counts (reader_t *outer, anvil_relay_message_t *message)
{
  reader_t body = read_array (outer, "retry counts");
  reader_t list;

  message->service = read_text (&body, "service");
  list = read_array (&body, "list of retry counts");
  message->n_retry_counts = array_length (&list, "list of retry counts", ANVIL_MAX_RETRY_ORIGINS);
  for (guint i = 0; i < message->n_retry_counts; i++)
    {
      reader_t item = read_array (&list, "retry counts of a holder");

      message->retry_counts[i].origin = read_number (&item, "origin", G_MAXUINT64);
      message->retry_counts[i].n_attempts = read_number (&item, "attempts", G_MAXUINT64);
      read_counts (&item, "requests", message->retry_counts[i].requests);
      read_counts (&item, "retries", message->retry_counts[i].retries);
    }
}

static void
read_wants (reader_t *outer, anvil_relay_message_t *message)
{
  reader_t list = read_array (outer, "request of quotas");

  message->n_wants = array_length (&list, "request of quotas", ANVIL_MAX_MESSAGE_QUOTAS);
  for (guint i = 0; i < message->n_wants; i++)
    {
      reader_t item = read_array (&list, "wanted tokens");
      anvil_quota_want_t *want = &message->wants[i];

      want->tenant = read_text (&item, "tenant");
      want->waiting = (guint) read_number (&item, "tokens for waiting tasks", MAX_QUOTA_TOKENS);
      want->ahead = (guint) read_number (&item, "tokens ahead", MAX_QUOTA_TOKENS);
      want->used_elsewhere = (guint) read_number (&item, "tokens used", MAX_QUOTA_TOKENS);
    }
}

static void
read_lents (reader_t *outer, anvil_relay_message_t *message)
{
  reader_t list = read_array (outer, "quotas");

  message->n_lents = array_length (&list, "quotas", ANVIL_MAX_MESSAGE_QUOTAS);
  for (guint i = 0; i < message->n_lents; i++)
    {
      reader_t item = read_array (&list, "lent tokens");
      anvil_quota_lent_t *lent = &message->lents[i];

      lent->tenant = read_text (&item, "tenant");
      lent->wanted = (guint) read_number (&item, "wanted tokens", MAX_QUOTA_TOKENS);
      lent->lent = (guint) read_number (&item, "lent tokens", 2ul * MAX_QUOTA_TOKENS);
      lent->retry_after = read_time (&item, "time until a token");
      lent->use_share = (guint) read_number (&item, "share of use", ANVIL_QUOTA_FULL_SHARE);
    }
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
    case ANVIL_RELAY_REQUEST_SLOT:
      read_task (reader, &message->task);
      return;
    case ANVIL_RELAY_ADOPT:
      body = read_array (reader, "adopt");
      read_task (&body, &message->task);
      message->upstream = read_number (&body, "upstream", G_MAXUINT64);
      return;
    case ANVIL_RELAY_GRANT:
      read_grant (reader, &message->grant);
      return;
    case ANVIL_RELAY_REFUSE:
      body = read_array (reader, "refuse");
      message->refused.reason
          = (anvil_task_refusal_reason_t) read_number (&body, "reason", ANVIL_TASK_NO_COUNTER);
      message->refused.retry_after = read_time (&body, "retry after");
      message->refused.waiting = (guint) read_number (&body, "waiting", G_MAXUINT);
      message->refused.running = (guint) read_number (&body, "running", G_MAXUINT);
      message->refused.slots = (guint) read_number (&body, "slots", G_MAXUINT);
      return;
    case ANVIL_RELAY_FINISHED:
      read_report (reader, &message->report);
      return;
    case ANVIL_RELAY_CANCEL:
      return;
    case ANVIL_RELAY_REQUEST_UPDATES:
      read_updates_request (reader, message);
      return;
    case ANVIL_RELAY_REQUEST_CONFIG:
      body = read_array (reader, "request of the configuration");
      message->whole = read_number (&body, "whole", 1) != 0;
      return;
    case ANVIL_RELAY_UPDATES:
      read_updates (reader, message);
      return;
    case ANVIL_RELAY_CONFIG:
      read_config (reader, message);
      return;
    case ANVIL_RELAY_WARM_OBJECTS:
      read_warm_objects (reader, message);
      return;
    case ANVIL_RELAY_REQUEST_LIMITS:
      read_limits (reader, message);
      return;
    case ANVIL_RELAY_RETRY_COUNTS:
      read_retry_counts (reader, message);
      return;
    case ANVIL_RELAY_ANNOUNCEMENTS:
      read_announcements (reader, message);
      return;
    case ANVIL_RELAY_FORWARD:
      body = read_array (reader, "forward");
      read_task (&body, &message->task);
      message->rows = read_bytes (&body, "request");
      return;
    case ANVIL_RELAY_RESPONSE:
      body = read_array (reader, "response");
      message->rows = read_bytes (&body, "response of an upstream");
      return;
    case ANVIL_RELAY_REQUEST_QUOTA:
      read_wants (reader, message);
      return;
    case ANVIL_RELAY_QUOTA:
      read_lents (reader, message);
      return;
    }
  *reader->bad_field = "kind";
}

gboolean
anvil_relay_message_unpack (anvil_str_t bytes, anvil_relay_message_t *message, GError **error)
{
  const char *bad_field = NULL;
  reader_t reader = { .bad_field = &bad_field };
  msgpack_zone zone;
  msgpack_object root;

  memset (message, 0, sizeof *message);
  if (!msgpack_zone_init (&zone, ZONE_CHUNK_BYTES))
    g_error ("out of memory");
  /* The unpacker allocates as many items as an array's header declares, so check these first. */
  if (!anvil_frame_check_bounds (bytes)
      || msgpack_unpack (bytes.data, bytes.length, NULL, &zone, &root) != MSGPACK_UNPACK_SUCCESS
      || root.type != MSGPACK_OBJECT_ARRAY)
    bad_field = "message";
  else
    {
      reader.array = &root.via.array;
      message->kind = (anvil_relay_message_kind_t) read_number (&reader, "kind", ANVIL_RELAY_QUOTA);
      message->number = read_number (&reader, "number", G_MAXUINT64);
      if (bad_field == NULL)
        read_body (&reader, message);
    }
  msgpack_zone_destroy (&zone);
  if (bad_field != NULL)
    g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID, "relay message: missing or invalid %s",
                 bad_field);
  return bad_field == NULL;
}
