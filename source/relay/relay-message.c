#include "relay/relay-message.h"

#include <msgpack.h>
#include <string.h>

#include "anvil/error.h"
#include "net/message-check.h"
#include "relay/message-reader.h"
#include "steer/holder-pressure.h"

/* Memory for the msgpack objects of one message. */
#define ZONE_CHUNK_BYTES 2048
/* Value of a proof's age for "none". */
#define NO_PROOF (-1)
/* More than a holder has tasks or uses in a window; sums of two don't overflow. */
#define MAX_QUOTA_TOKENS (1u << 30)
/* Differences of two such times don't overflow. */
#define MAX_SENT_AT (G_MAXINT64 / 4)
/* Larger than any count of a second, and small enough that sums don't overflow. */
#define MAX_RETRY_COUNT (1u << 24)

static void
pack_info (msgpack_packer *packer, const anvil_member_info_t *info)
{
  msgpack_pack_array (packer, 15);
  anvil_message_pack_text (packer, info->name);
  anvil_message_pack_text (packer, info->zone);
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
  anvil_message_pack_text (packer, task->service);
  anvil_message_pack_text (packer, task->region);
  anvil_message_pack_text (packer, task->zone);
  msgpack_pack_array (packer, task->n_regions);
  for (guint i = 0; i < task->n_regions; i++)
    anvil_message_pack_text (packer, task->regions[i]);
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
  anvil_message_pack_text (packer, task->tenant);
  msgpack_pack_uint64 (packer, task->tenant_priority);
  msgpack_pack_uint64 (packer, task->quota_paid);
  msgpack_pack_uint64 (packer, task->is_repeat);
}

static void
pack_grant (msgpack_packer *packer, const anvil_slot_grant_t *grant)
{
  msgpack_pack_array (packer, 10);
  msgpack_pack_uint64 (packer, grant->upstream);
  anvil_message_pack_text (packer, grant->upstream_id);
  anvil_message_pack_text (packer, grant->zone);
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
  anvil_message_pack_text (packer, message->service);
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
  anvil_message_pack_text (packer, message->service);
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
      anvil_message_pack_text (packer, message->wants[i].tenant);
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
      anvil_message_pack_text (packer, message->lents[i].tenant);
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
    anvil_message_pack_text (packer, message->evacuated[i]);
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
    case ANVIL_RELAY_WITHDRAW:
      msgpack_pack_nil (packer);
      return;
    case ANVIL_RELAY_WITHDRAWN:
      msgpack_pack_array (packer, 1);
      msgpack_pack_uint64 (packer, message->waited);
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
      anvil_message_pack_text (packer, message->service);
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
      anvil_message_pack_bytes (packer, message->rows);
      return;
    case ANVIL_RELAY_RESPONSE:
      msgpack_pack_array (packer, 1);
      anvil_message_pack_bytes (packer, message->rows);
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

/* Whether the message has times that count from when it was sent. */
static gboolean
is_dated (const anvil_relay_message_t *message)
{
  return message->kind == ANVIL_RELAY_REQUEST_SLOT || message->kind == ANVIL_RELAY_ADOPT
         || message->kind == ANVIL_RELAY_FORWARD || message->kind == ANVIL_RELAY_UPDATES;
}

/* Items behind the body, where entries of older versions don't look. */
static guint
count_more (const anvil_relay_message_t *message)
{
  if (is_dated (message))
    return 1;
  if (message->info.refused_share > 0)
    return 3;
  if (message->info.declined_share > 0)
    return 2;
  return message->n_named > 0 ? 1 : 0;
}

static void
pack_more (msgpack_packer *packer, const anvil_relay_message_t *message, anvil_time_t sent_at)
{
  const guint n = count_more (message);

  if (is_dated (message))
    {
      msgpack_pack_int64 (packer, sent_at);
      return;
    }
  if (n == 0)
    return;
  msgpack_pack_array (packer, message->n_named);
  for (guint i = 0; i < message->n_named; i++)
    msgpack_pack_uint64 (packer, message->named[i]);
  if (n > 1)
    msgpack_pack_uint64 (packer, message->info.declined_share);
  if (n > 2)
    msgpack_pack_uint64 (packer, message->info.refused_share);
}

void
anvil_relay_message_pack (const anvil_relay_message_t *message,
                          anvil_time_t sent_at,
                          GByteArray *out)
{
  msgpack_packer packer;

  msgpack_packer_init (&packer, out, anvil_message_append);
  msgpack_pack_array (&packer, 3 + count_more (message));
  msgpack_pack_uint64 (&packer, message->kind);
  msgpack_pack_uint64 (&packer, message->number);
  pack_body (&packer, message);
  pack_more (&packer, message, sent_at);
}

/* Entries of older versions don't send eras. */
static guint64
read_era (anvil_message_reader_t *reader)
{
  return anvil_message_has_more (reader)
             ? anvil_message_read_number (reader, "era of the store", G_MAXUINT64)
             : 0;
}

static void
read_info (anvil_message_reader_t *outer, anvil_member_info_t *info)
{
  anvil_message_reader_t reader = anvil_message_read_array (outer, "info");

  info->name = anvil_message_read_text (&reader, "name");
  info->zone = anvil_message_read_text (&reader, "zone");
  info->incarnation = anvil_message_read_number (&reader, "incarnation", G_MAXUINT64);
  info->caller_port = (guint16) anvil_message_read_number (&reader, "caller port", G_MAXUINT16);
  info->cpu_millicores = (guint) anvil_message_read_number (&reader, "capacity", G_MAXUINT);
  info->store_ok_for = anvil_message_read_time (&reader, "store_ok_for");
  info->ready = anvil_message_read_number (&reader, "ready", 1) != 0;
  info->leaving = anvil_message_read_number (&reader, "leaving", 1) != 0;
  info->reads_store = anvil_message_read_number (&reader, "reads store", 1) != 0;
  info->outdated = anvil_message_read_number (&reader, "outdated", 1) != 0;
  /* Entries of older versions don't send it; they hold services from their start. */
  info->knows_peers = reader.array == NULL || reader.next == reader.array->size
                      || anvil_message_read_number (&reader, "knows peers", 1) != 0;
  /* Nor this. They have room for any caller. */
  info->caller_share
      = reader.array == NULL || reader.next == reader.array->size
            ? ANVIL_FULL_CALLER_SHARE
            : (guint) anvil_message_read_number (&reader, "caller share", ANVIL_FULL_CALLER_SHARE);
  /* Nor this, which counts as none. */
  if (reader.array != NULL && reader.next < reader.array->size)
    info->config_version
        = (gint64) anvil_message_read_number (&reader, "config version", G_MAXINT64);
  info->config_proof_age = NO_PROOF;
  if (anvil_message_has_more (&reader))
    info->config_proof_age = anvil_message_read_time (&reader, "age of the configuration's proof");
  info->store_era = read_era (&reader);
}

/* Entries of older versions don't send this. */
static void
read_more (anvil_message_reader_t *reader, anvil_relay_message_t *message)
{
  anvil_message_reader_t named;

  if (!anvil_message_has_more (reader))
    return;
  named = anvil_message_read_array (reader, "named entries");
  message->n_named = anvil_message_array_length (&named, "named entries", ANVIL_MAX_NAMED_MEMBERS);
  for (guint i = 0; i < message->n_named; i++)
    message->named[i] = anvil_message_read_number (&named, "named entry", G_MAXUINT64);
  if (anvil_message_has_more (reader))
    message->info.declined_share
        = (guint) anvil_message_read_number (reader, "declined share", ANVIL_FULL_DECLINED_SHARE);
  if (anvil_message_has_more (reader))
    message->info.refused_share
        = (guint) anvil_message_read_number (reader, "refused share", ANVIL_FULL_REFUSED_SHARE);
}

static void
read_task (anvil_message_reader_t *outer, anvil_task_t *task)
{
  anvil_message_reader_t reader = anvil_message_read_array (outer, "task");
  anvil_message_reader_t regions;
  anvil_message_reader_t excluded;

  task->service = anvil_message_read_text (&reader, "service");
  task->region = anvil_message_read_text (&reader, "region");
  task->zone = anvil_message_read_text (&reader, "zone");
  regions = anvil_message_read_array (&reader, "regions");
  task->n_regions = anvil_message_array_length (&regions, "regions", ANVIL_MAX_ROUTE_REGIONS);
  for (guint i = 0; i < task->n_regions; i++)
    task->regions[i] = anvil_message_read_text (&regions, "allowed region");
  task->object = anvil_message_read_number (&reader, "object", G_MAXUINT64);
  task->kind = (anvil_route_kind_t) anvil_message_read_number (&reader, "kind", ANVIL_ROUTE_UPLOAD);
  task->priority = (guint) anvil_message_read_number (&reader, "priority", G_MAXUINT);
  task->attempt = (guint) anvil_message_read_number (&reader, "attempt", G_MAXUINT);
  excluded = anvil_message_read_array (&reader, "excluded");
  task->n_excluded
      = anvil_message_array_length (&excluded, "excluded", ANVIL_MAX_EXCLUDED_UPSTREAMS);
  for (guint i = 0; i < task->n_excluded; i++)
    task->excluded[i] = anvil_message_read_number (&excluded, "excluded upstream", G_MAXUINT64);
  task->body_bytes = anvil_message_read_number (&reader, "body bytes", G_MAXUINT64);
  task->target = anvil_message_read_time (&reader, "target");
  task->deadline = anvil_message_read_time (&reader, "deadline");
  task->tenant_priority = task->priority;
  /* Entries of older versions don't send the rest. */
  if (!anvil_message_has_more (&reader))
    return;
  task->route_class = anvil_message_read_number (&reader, "class of route", G_MAXUINT64);
  task->tenant = anvil_message_read_text (&reader, "tenant");
  task->tenant_priority
      = (guint) anvil_message_read_number (&reader, "tenant's priority", G_MAXUINT);
  task->quota_paid = anvil_message_read_number (&reader, "quota paid", 1) != 0;
  task->is_repeat = anvil_message_read_number (&reader, "repeat", 1) != 0;
}

static void
read_grant (anvil_message_reader_t *outer, anvil_slot_grant_t *grant)
{
  anvil_message_reader_t reader = anvil_message_read_array (outer, "grant");

  grant->upstream = anvil_message_read_number (&reader, "upstream", G_MAXUINT64);
  grant->upstream_id = anvil_message_read_text (&reader, "upstream id");
  grant->zone = anvil_message_read_text (&reader, "zone");
  grant->address = (guint32) anvil_message_read_number (&reader, "address", G_MAXUINT32);
  grant->port = (guint16) anvil_message_read_number (&reader, "port", G_MAXUINT16);
  grant->warm = anvil_message_read_number (&reader, "warm", 1) != 0;
  grant->row_version.version = anvil_message_read_number (&reader, "row version", G_MAXUINT64);
  /* Entries of older versions don't send it. */
  if (reader.array != NULL && reader.next < reader.array->size)
    grant->started_at = anvil_message_read_time (&reader, "start");
  if (anvil_message_has_more (&reader))
    grant->repeat_after = anvil_message_read_time (&reader, "time until a repeat");
  grant->row_version.era = read_era (&reader);
}

static void
read_warm_objects (anvil_message_reader_t *outer, anvil_relay_message_t *message)
{
  anvil_message_reader_t body = anvil_message_read_array (outer, "places");

  message->service = anvil_message_read_text (&body, "service");
  message->n_objects
      = anvil_warm_objects_unpack (anvil_message_read_bytes (&body, "list of places"),
                                   message->objects, ANVIL_MAX_MESSAGE_WARM_OBJECTS);
}

static void
read_evacuated (anvil_message_reader_t *body, anvil_relay_message_t *message)
{
  anvil_message_reader_t zones;

  message->operators_version.version
      = anvil_message_read_number (body, "version of the operators' table", G_MAXUINT64);
  zones = anvil_message_read_array (body, "evacuated zones");
  message->n_evacuated
      = anvil_message_array_length (&zones, "evacuated zones", ANVIL_MAX_MESSAGE_ZONES);
  for (guint i = 0; i < message->n_evacuated; i++)
    message->evacuated[i] = anvil_message_read_text (&zones, "evacuated zone");
}

static void
read_config (anvil_message_reader_t *outer, anvil_relay_message_t *message)
{
  anvil_message_reader_t body = anvil_message_read_array (outer, "configuration");

  message->read_version.version
      = anvil_message_read_number (&body, "version of the table", G_MAXUINT64);
  message->rows = anvil_message_read_bytes (&body, "changes of the configuration");
  read_evacuated (&body, message);
  message->operators_version.era = read_era (&body);
  message->read_version.era = read_era (&body);
}

static void
read_updates (anvil_message_reader_t *outer, anvil_relay_message_t *message)
{
  anvil_message_reader_t body = anvil_message_read_array (outer, "updates");

  message->after_version.version = anvil_message_read_number (&body, "after", G_MAXUINT64);
  message->age = anvil_message_read_time (&body, "age");
  message->store_ok_for = anvil_message_read_time (&body, "time without an outage");
  message->grace_remaining = anvil_message_read_time (&body, "remaining grace");
  message->digest = anvil_message_read_number (&body, "digest", G_MAXUINT64);
  message->rows = anvil_message_read_bytes (&body, "rows");
  /* Entries of older versions don't send the rest. */
  if (body.array == NULL || body.next == body.array->size)
    return;
  read_evacuated (&body, message);
  message->operators_version.era = read_era (&body);
  message->after_version.era = read_era (&body);
  message->era = read_era (&body);
  /* Such an entry still asks the store itself. */
  message->operators_age = anvil_message_has_more (&body)
                               ? anvil_message_read_time (&body, "age of the operators' table")
                               : G_MAXINT64;
}

static void
read_updates_request (anvil_message_reader_t *outer, anvil_relay_message_t *message)
{
  anvil_message_reader_t body;

  if (!anvil_message_has_more (outer) || outer->array->ptr[outer->next].type == MSGPACK_OBJECT_NIL)
    return;
  body = anvil_message_read_array (outer, "request for updates");
  message->era = read_era (&body);
}

static void
read_report (anvil_message_reader_t *outer, anvil_run_report_t *report)
{
  anvil_message_reader_t body = anvil_message_read_array (outer, "finished");

  report->result
      = (anvil_run_result_t) anvil_message_read_number (&body, "result", ANVIL_RUN_UNUSED);
  report->duration = anvil_message_read_time (&body, "duration");
  report->still_running = anvil_message_read_number (&body, "still running", 1) != 0;
  /* Entries of older versions don't send it. */
  if (body.array == NULL || body.next == body.array->size)
    return;
  report->request_limit.state = (anvil_request_limit_state_t) anvil_message_read_number (
      &body, "state of the request limit", ANVIL_REQUEST_LIMIT_NAMED);
  report->request_limit.per_second = anvil_message_read_rate (&body, "request limit");
  if (anvil_message_has_more (&body))
    report->speed = (guint) anvil_message_read_number (&body, "speed", G_MAXUINT);
}

static void
read_limits (anvil_message_reader_t *outer, anvil_relay_message_t *message)
{
  anvil_message_reader_t list = anvil_message_read_array (outer, "request limits");

  message->n_limits
      = anvil_message_array_length (&list, "request limits", ANVIL_MAX_MESSAGE_REQUEST_LIMITS);
  for (guint i = 0; i < message->n_limits; i++)
    {
      anvil_message_reader_t limit = anvil_message_read_array (&list, "request limit");

      message->limits[i].upstream = anvil_message_read_number (&limit, "upstream", G_MAXUINT64);
      message->limits[i].per_second = anvil_message_read_rate (&limit, "requests a second");
      message->limits[i].age = anvil_message_read_time (&limit, "age");
    }
}

static void
read_announcements (anvil_message_reader_t *outer, anvil_relay_message_t *message)
{
  anvil_message_reader_t body = anvil_message_read_array (outer, "announcements");
  anvil_message_reader_t list;

  message->service = anvil_message_read_text (&body, "service");
  list = anvil_message_read_array (&body, "list of announcements");
  message->n_announcements = anvil_message_array_length (&list, "list of announcements",
                                                         ANVIL_MAX_MESSAGE_ANNOUNCEMENTS);
  for (guint i = 0; i < message->n_announcements; i++)
    {
      anvil_message_reader_t item = anvil_message_read_array (&list, "announcement");
      anvil_named_announcement_t *announcement = &message->announcements[i];

      announcement->upstream = anvil_message_read_number (&item, "upstream", G_MAXUINT64);
      announcement->started_at = anvil_message_read_time (&item, "start");
      announcement->announcement.leaving = anvil_message_read_number (&item, "leaving", 1) != 0;
      announcement->announcement.pause
          = (anvil_time_t) anvil_message_read_number (&item, "pause", ANVIL_MAX_PAUSE);
    }
}

static void
read_counts (anvil_message_reader_t *outer, const char *field, guint32 *counts)
{
  anvil_message_reader_t list = anvil_message_read_array (outer, field);

  for (guint i = 0; i < ANVIL_RETRY_COUNTED_BUCKETS; i++)
    counts[i] = (guint32) anvil_message_read_number (&list, field, MAX_RETRY_COUNT);
}

static void
read_retry_counts (anvil_message_reader_t *outer, anvil_relay_message_t *message)
{
  anvil_message_reader_t body = anvil_message_read_array (outer, "retry counts");
  anvil_message_reader_t list;

  message->service = anvil_message_read_text (&body, "service");
  list = anvil_message_read_array (&body, "list of retry counts");
  message->n_retry_counts
      = anvil_message_array_length (&list, "list of retry counts", ANVIL_MAX_RETRY_ORIGINS);
  for (guint i = 0; i < message->n_retry_counts; i++)
    {
      anvil_message_reader_t item = anvil_message_read_array (&list, "retry counts of a holder");

      message->retry_counts[i].origin = anvil_message_read_number (&item, "origin", G_MAXUINT64);
      message->retry_counts[i].n_attempts
          = anvil_message_read_number (&item, "attempts", G_MAXUINT64);
      read_counts (&item, "requests", message->retry_counts[i].requests);
      read_counts (&item, "retries", message->retry_counts[i].retries);
    }
}

static void
read_wants (anvil_message_reader_t *outer, anvil_relay_message_t *message)
{
  anvil_message_reader_t list = anvil_message_read_array (outer, "request of quotas");

  message->n_wants
      = anvil_message_array_length (&list, "request of quotas", ANVIL_MAX_MESSAGE_QUOTAS);
  for (guint i = 0; i < message->n_wants; i++)
    {
      anvil_message_reader_t item = anvil_message_read_array (&list, "wanted tokens");
      anvil_quota_want_t *want = &message->wants[i];

      want->tenant = anvil_message_read_text (&item, "tenant");
      want->waiting
          = (guint) anvil_message_read_number (&item, "tokens for waiting tasks", MAX_QUOTA_TOKENS);
      want->ahead = (guint) anvil_message_read_number (&item, "tokens ahead", MAX_QUOTA_TOKENS);
      want->used_elsewhere
          = (guint) anvil_message_read_number (&item, "tokens used", MAX_QUOTA_TOKENS);
    }
}

static void
read_lents (anvil_message_reader_t *outer, anvil_relay_message_t *message)
{
  anvil_message_reader_t list = anvil_message_read_array (outer, "quotas");

  message->n_lents = anvil_message_array_length (&list, "quotas", ANVIL_MAX_MESSAGE_QUOTAS);
  for (guint i = 0; i < message->n_lents; i++)
    {
      anvil_message_reader_t item = anvil_message_read_array (&list, "lent tokens");
      anvil_quota_lent_t *lent = &message->lents[i];

      lent->tenant = anvil_message_read_text (&item, "tenant");
      lent->wanted = (guint) anvil_message_read_number (&item, "wanted tokens", MAX_QUOTA_TOKENS);
      lent->lent = (guint) anvil_message_read_number (&item, "lent tokens", 2ul * MAX_QUOTA_TOKENS);
      lent->retry_after = anvil_message_read_time (&item, "time until a token");
      lent->use_share
          = (guint) anvil_message_read_number (&item, "share of use", ANVIL_QUOTA_FULL_SHARE);
    }
}

static void
read_body (anvil_message_reader_t *reader, anvil_relay_message_t *message)
{
  anvil_message_reader_t body;

  switch (message->kind)
    {
    case ANVIL_RELAY_PING:
    case ANVIL_RELAY_PONG:
      read_info (reader, &message->info);
      read_more (reader, message);
      return;
    case ANVIL_RELAY_REQUEST_SLOT:
      read_task (reader, &message->task);
      return;
    case ANVIL_RELAY_ADOPT:
      body = anvil_message_read_array (reader, "adopt");
      read_task (&body, &message->task);
      message->upstream = anvil_message_read_number (&body, "upstream", G_MAXUINT64);
      return;
    case ANVIL_RELAY_GRANT:
      read_grant (reader, &message->grant);
      return;
    case ANVIL_RELAY_REFUSE:
      body = anvil_message_read_array (reader, "refuse");
      message->refused.reason = (anvil_task_refusal_reason_t) anvil_message_read_number (
          &body, "reason", ANVIL_TASK_NO_COUNTER);
      message->refused.retry_after = anvil_message_read_time (&body, "retry after");
      message->refused.waiting = (guint) anvil_message_read_number (&body, "waiting", G_MAXUINT);
      message->refused.running = (guint) anvil_message_read_number (&body, "running", G_MAXUINT);
      message->refused.slots = (guint) anvil_message_read_number (&body, "slots", G_MAXUINT);
      return;
    case ANVIL_RELAY_FINISHED:
      read_report (reader, &message->report);
      return;
    case ANVIL_RELAY_CANCEL:
    case ANVIL_RELAY_WITHDRAW:
      return;
    case ANVIL_RELAY_WITHDRAWN:
      body = anvil_message_read_array (reader, "withdrawn");
      message->waited = anvil_message_read_number (&body, "waited", 1) != 0;
      return;
    case ANVIL_RELAY_REQUEST_UPDATES:
      read_updates_request (reader, message);
      return;
    case ANVIL_RELAY_REQUEST_CONFIG:
      body = anvil_message_read_array (reader, "request of the configuration");
      message->whole = anvil_message_read_number (&body, "whole", 1) != 0;
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
      body = anvil_message_read_array (reader, "forward");
      read_task (&body, &message->task);
      message->rows = anvil_message_read_bytes (&body, "request");
      return;
    case ANVIL_RELAY_RESPONSE:
      body = anvil_message_read_array (reader, "response");
      message->rows = anvil_message_read_bytes (&body, "response of an upstream");
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
  anvil_message_reader_t reader = { .bad_field = &bad_field };
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
      message->kind = (anvil_relay_message_kind_t) anvil_message_read_number (
          &reader, "kind", ANVIL_RELAY_WITHDRAWN);
      message->number = anvil_message_read_number (&reader, "number", G_MAXUINT64);
      if (bad_field == NULL)
        read_body (&reader, message);
      /* Entries of older versions don't send it. */
      if (bad_field == NULL && is_dated (message) && anvil_message_has_more (&reader))
        message->sent_at
            = (anvil_time_t) anvil_message_read_number (&reader, "time of sending", MAX_SENT_AT);
    }
  msgpack_zone_destroy (&zone);
  if (bad_field != NULL)
    g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID, "relay message: missing or invalid %s",
                 bad_field);
  return bad_field == NULL;
}
