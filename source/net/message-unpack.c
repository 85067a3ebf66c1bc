#include "anvil/codec.h"

#include <string.h>

#include <msgpack/unpack.h>

#include "anvil/error.h"
#include "message-check.h"

/* Room of the zone that the objects of a frame are allocated from, bytes. */
#define ZONE_CHUNK_BYTES 4096

/* Reads the items of an array in order; the first fault is kept in @error. */
typedef struct
{
  const char *what;
  const msgpack_object *items;
  guint n_items;
  guint next;
  GError **error;
  gboolean failed;
} reader_t;

static void
fail (reader_t *reader, const char *expected)
{
  if (!reader->failed)
    g_set_error (reader->error, ANVIL_ERROR, ANVIL_ERROR_INVALID, "%s: field %u: expected %s",
                 reader->what, reader->next, expected);
  reader->failed = TRUE;
}

/* A reader over an array of exactly @n_items items. */
static reader_t
open_record (reader_t *outer, const msgpack_object *object, const char *what, guint n_items)
{
  reader_t reader = { .what = what, .error = outer->error, .failed = outer->failed };

  if (object == NULL || object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != n_items)
    {
      fail (&reader, "a record of the right length");
      return reader;
    }
  reader.items = object->via.array.ptr;
  reader.n_items = n_items;
  return reader;
}

static gboolean
close_record (reader_t *outer, const reader_t *inner)
{
  outer->failed = outer->failed || inner->failed;
  return !inner->failed;
}

static const msgpack_object *
next_object (reader_t *reader)
{
  if (reader->failed || reader->next >= reader->n_items)
    return NULL;
  return &reader->items[reader->next++];
}

static guint64
read_unsigned (reader_t *reader, guint64 maximum)
{
  const msgpack_object *object = next_object (reader);

  if (object == NULL || object->type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || object->via.u64 > maximum)
    {
      fail (reader, "a whole number in range");
      return 0;
    }
  return object->via.u64;
}

static guint16
read_u16 (reader_t *reader)
{
  return (guint16) read_unsigned (reader, G_MAXUINT16);
}

static guint64
read_u64 (reader_t *reader)
{
  return read_unsigned (reader, G_MAXUINT64);
}

static gint64
read_i64 (reader_t *reader)
{
  const msgpack_object *object = next_object (reader);

  if (object != NULL && object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return object->via.i64;
  if (object != NULL && object->type == MSGPACK_OBJECT_POSITIVE_INTEGER
      && object->via.u64 <= G_MAXINT64)
    return (gint64) object->via.u64;
  fail (reader, "a signed number in range");
  return 0;
}

static gboolean
read_bool (reader_t *reader)
{
  const msgpack_object *object = next_object (reader);

  if (object == NULL || object->type != MSGPACK_OBJECT_BOOLEAN)
    {
      fail (reader, "true or false");
      return FALSE;
    }
  return object->via.boolean;
}

static anvil_node_t
read_node (reader_t *reader)
{
  return read_unsigned (reader, anvil_node (G_MAXUINT32, G_MAXUINT16));
}

static anvil_str_t
read_bytes (reader_t *reader, gsize maximum)
{
  const msgpack_object *object = next_object (reader);

  if (object == NULL || object->type != MSGPACK_OBJECT_BIN || object->via.bin.size > maximum)
    {
      fail (reader, "bytes within their bound");
      return (anvil_str_t){ 0 };
    }
  return (anvil_str_t){ .data = object->via.bin.ptr, .length = object->via.bin.size };
}

/* An array of up to @maximum records; its length, and the items in @items. */
static guint
read_list (reader_t *reader, guint maximum, const msgpack_object **items)
{
  const msgpack_object *object = next_object (reader);

  if (object == NULL || object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size > maximum)
    {
      fail (reader, "a list within its bound");
      return 0;
    }
  *items = object->via.array.ptr;
  return object->via.array.size;
}

static void
unpack_spare (reader_t *outer, const msgpack_object *object, anvil_spare_slots_t *spare)
{
  reader_t reader = open_record (outer, object, "spare", 3);

  spare->service = read_u16 (&reader);
  spare->half = read_u16 (&reader);
  spare->n_slots = read_u16 (&reader);
  close_record (outer, &reader);
}

static void
unpack_member (reader_t *outer, const msgpack_object *object, anvil_member_t *member)
{
  reader_t reader = open_record (outer, object, "member", 10);
  const msgpack_object *items = NULL;

  member->node = read_node (&reader);
  member->incarnation = read_u64 (&reader);
  member->version = read_u64 (&reader);
  member->state = (anvil_member_state_t) read_unsigned (&reader, ANVIL_MEMBER_DEAD);
  member->zone_hash = read_u64 (&reader);
  member->generation = read_u64 (&reader);
  member->caller_port = read_u16 (&reader);
  member->admin_port = read_u16 (&reader);
  member->load_permille = read_u16 (&reader);
  member->n_spare_slots = (guint8) read_list (&reader, ANVIL_MAX_SPARE_SLOT_RECORDS, &items);
  for (guint i = 0; i < member->n_spare_slots; i++)
    unpack_spare (&reader, &items[i], &member->spare_slots[i]);
  close_record (outer, &reader);
}

static void
unpack_row (reader_t *outer, const msgpack_object *object, anvil_seat_row_t *row)
{
  reader_t reader = open_record (outer, object, "row", 5);

  row->seat = read_u16 (&reader);
  row->epoch = read_u64 (&reader);
  row->holder = read_node (&reader);
  row->incarnation = read_u64 (&reader);
  row->list_version = read_u64 (&reader);
  close_record (outer, &reader);
}

static void
unpack_drain (reader_t *outer, const msgpack_object *object, anvil_drain_t *drain)
{
  reader_t reader = open_record (outer, object, "drain", 3);

  drain->upstream = read_u64 (&reader);
  drain->lamport_time = read_u64 (&reader);
  drain->draining = read_bool (&reader);
  close_record (outer, &reader);
}

static void
unpack_gossip (reader_t *outer, const msgpack_object *object, anvil_gossip_t *gossip)
{
  reader_t reader = open_record (outer, object, "gossip", 3);
  const msgpack_object *items = NULL;

  gossip->n_members = read_list (&reader, ANVIL_MAX_GOSSIP_MEMBERS, &items);
  for (guint i = 0; i < gossip->n_members; i++)
    unpack_member (&reader, &items[i], &gossip->members[i]);
  gossip->n_rows = read_list (&reader, ANVIL_MAX_GOSSIP_ROWS, &items);
  for (guint i = 0; i < gossip->n_rows; i++)
    unpack_row (&reader, &items[i], &gossip->rows[i]);
  gossip->n_drains = read_list (&reader, ANVIL_MAX_GOSSIP_DRAINS, &items);
  for (guint i = 0; i < gossip->n_drains; i++)
    unpack_drain (&reader, &items[i], &gossip->drains[i]);
  close_record (outer, &reader);
}

static void
unpack_grant_ask (reader_t *outer, const msgpack_object *object, anvil_grant_request_t *ask)
{
  reader_t reader = open_record (outer, object, "grant ask", 5);

  ask->seat = read_u16 (&reader);
  ask->epoch = read_u64 (&reader);
  ask->incarnation = read_u64 (&reader);
  ask->generation = read_u64 (&reader);
  ask->requested_at = read_i64 (&reader);
  close_record (outer, &reader);
}

static void
unpack_grant_answer (reader_t *outer, const msgpack_object *object, anvil_grant_response_t *answer)
{
  reader_t reader = open_record (outer, object, "grant answer", 7);

  answer->seat = read_u16 (&reader);
  answer->witness = read_u16 (&reader);
  answer->incarnation = read_u64 (&reader);
  answer->granted = read_bool (&reader);
  answer->exclusive_since = read_i64 (&reader);
  answer->requested_at = read_i64 (&reader);
  answer->generation = read_u64 (&reader);
  close_record (outer, &reader);
}

static void
unpack_grant_release (reader_t *outer, const msgpack_object *object, anvil_grant_release_t *release)
{
  reader_t reader = open_record (outer, object, "grant release", 3);

  release->seat = read_u16 (&reader);
  release->incarnation = read_u64 (&reader);
  release->released_at = read_i64 (&reader);
  close_record (outer, &reader);
}

static void
unpack_loan_ask (reader_t *outer, const msgpack_object *object, anvil_loan_request_t *ask)
{
  reader_t reader = open_record (outer, object, "loan ask", 10);

  ask->kind = (anvil_loan_kind_t) read_unsigned (&reader, ANVIL_LOAN_RATE);
  ask->nonce = read_u64 (&reader);
  ask->incarnation = read_u64 (&reader);
  ask->generation = read_u64 (&reader);
  ask->requested_at = read_i64 (&reader);
  ask->service = read_u16 (&reader);
  ask->half = read_u16 (&reader);
  ask->n_slots = read_u16 (&reader);
  ask->budget_hash = read_u64 (&reader);
  ask->amount = read_i64 (&reader);
  close_record (outer, &reader);
}

static guint8
unpack_slots (reader_t *outer, anvil_loan_slot_t *slots)
{
  const msgpack_object *items = NULL;
  guint n_slots = read_list (outer, ANVIL_MAX_LOAN_SLOTS, &items);

  for (guint i = 0; i < n_slots; i++)
    {
      reader_t reader = open_record (outer, &items[i], "slot", 2);

      slots[i].upstream = read_u64 (&reader);
      slots[i].slot = (guint8) read_unsigned (&reader, G_MAXUINT8);
      close_record (outer, &reader);
    }
  return (guint8) n_slots;
}

static void
unpack_loan_answer (reader_t *outer, const msgpack_object *object, anvil_loan_response_t *answer)
{
  reader_t reader = open_record (outer, object, "loan answer", 8);

  answer->kind = (anvil_loan_kind_t) read_unsigned (&reader, ANVIL_LOAN_RATE);
  answer->nonce = read_u64 (&reader);
  answer->incarnation = read_u64 (&reader);
  answer->requested_at = read_i64 (&reader);
  answer->term = read_i64 (&reader);
  answer->budget_hash = read_u64 (&reader);
  answer->amount = read_i64 (&reader);
  answer->n_slots = unpack_slots (&reader, answer->slots);
  close_record (outer, &reader);
}

static void
unpack_loan_return (reader_t *outer, const msgpack_object *object, anvil_loan_return_t *loan)
{
  reader_t reader = open_record (outer, object, "loan return", 3);

  loan->nonce = read_u64 (&reader);
  loan->incarnation = read_u64 (&reader);
  loan->n_slots = unpack_slots (&reader, loan->slots);
  close_record (outer, &reader);
}

static void
unpack_message (reader_t *outer, const msgpack_object *object, anvil_message_t *message)
{
  reader_t reader = open_record (outer, object, "message", 2);
  guint64 kind = read_unsigned (&reader, ANVIL_MESSAGE_LOAN_RETURN);
  const msgpack_object *body = next_object (&reader);

  message->kind = (anvil_message_kind_t) kind;
  switch (kind)
    {
    case ANVIL_MESSAGE_GOSSIP:
      unpack_gossip (&reader, body, &message->gossip);
      break;
    case ANVIL_MESSAGE_GRANT_REQUEST:
      unpack_grant_ask (&reader, body, &message->grant_request);
      break;
    case ANVIL_MESSAGE_GRANT_RESPONSE:
      unpack_grant_answer (&reader, body, &message->grant_response);
      break;
    case ANVIL_MESSAGE_GRANT_RELEASE:
      unpack_grant_release (&reader, body, &message->grant_release);
      break;
    case ANVIL_MESSAGE_LOAN_REQUEST:
      unpack_loan_ask (&reader, body, &message->loan_request);
      break;
    case ANVIL_MESSAGE_LOAN_RESPONSE:
      unpack_loan_answer (&reader, body, &message->loan_response);
      break;
    case ANVIL_MESSAGE_LOAN_RETURN:
      unpack_loan_return (&reader, body, &message->loan_return);
      break;
    default:
      fail (&reader, "a known kind of message");
    }
  close_record (outer, &reader);
}

static void
unpack_hello (reader_t *outer, const msgpack_object *object, anvil_hello_t *hello)
{
  reader_t reader = open_record (outer, object, "hello", 2);

  hello->version = read_u64 (&reader);
  hello->node = read_node (&reader);
  close_record (outer, &reader);
}

static void
unpack_config_ask (reader_t *outer, const msgpack_object *object, guint64 *generation)
{
  reader_t reader = open_record (outer, object, "configuration ask", 1);

  *generation = read_u64 (&reader);
  close_record (outer, &reader);
}

static void
unpack_config (reader_t *outer, const msgpack_object *object, anvil_config_frame_t *config)
{
  reader_t reader = open_record (outer, object, "configuration", 3);

  config->generation = read_u64 (&reader);
  config->head = read_bytes (&reader, ANVIL_MAX_HEAD_BYTES);
  config->file = read_bytes (&reader, G_MAXUINT32);
  close_record (outer, &reader);
}

/* Its own reader checks what is inside. */
static void
unpack_tasks (reader_t *outer, const msgpack_object *object, anvil_str_t *tasks)
{
  if (object == NULL || object->type != MSGPACK_OBJECT_BIN)
    {
      fail (outer, "bytes of a message about tasks");
      return;
    }
  *tasks = (anvil_str_t){ .data = object->via.bin.ptr, .length = object->via.bin.size };
}

static gboolean
unpack_frame (const msgpack_object *root, anvil_frame_t *frame, GError **error)
{
  reader_t outer = { .what = "frame", .error = error };
  reader_t reader = open_record (&outer, root, "frame", 2);
  guint64 kind = read_u64 (&reader);
  const msgpack_object *body = next_object (&reader);

  frame->kind = (anvil_frame_kind_t) kind;
  switch (kind)
    {
    case ANVIL_FRAME_HELLO:
      unpack_hello (&reader, body, &frame->hello);
      break;
    case ANVIL_FRAME_MESSAGE:
      unpack_message (&reader, body, &frame->message);
      break;
    case ANVIL_FRAME_CONFIG_REQUEST:
      unpack_config_ask (&reader, body, &frame->config_request);
      break;
    case ANVIL_FRAME_CONFIG:
      unpack_config (&reader, body, &frame->config);
      break;
    case ANVIL_FRAME_TASK_MESSAGE:
      unpack_tasks (&reader, body, &frame->task_message);
      break;
    default:
      fail (&reader, "a known kind of frame");
    }
  return close_record (&outer, &reader);
}

gboolean
anvil_frame_unpack (anvil_str_t bytes, anvil_frame_t *frame, GError **error)
{
  msgpack_zone zone;
  msgpack_object root;
  gboolean valid;

  memset (frame, 0, sizeof *frame);
  if (!anvil_frame_check_bounds (bytes))
    {
      g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID,
                   "frame: not a whole msgpack object within the bounds, length=%" G_GSIZE_FORMAT,
                   bytes.length);
      return FALSE;
    }
  if (!msgpack_zone_init (&zone, ZONE_CHUNK_BYTES))
    g_error ("out of memory");
  valid = msgpack_unpack (bytes.data, bytes.length, NULL, &zone, &root) == MSGPACK_UNPACK_SUCCESS;
  if (!valid)
    g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID, "frame: not a msgpack object");
  else
    valid = unpack_frame (&root, frame, error);
  msgpack_zone_destroy (&zone);
  return valid;
}
