#include "anvil/codec.h"

#include <string.h>

#include <msgpack/unpack.h>

#include "anvil/error.h"
#include "message-check.h"

/* Chunk size of the msgpack zone in which the objects of a frame are allocated. */
#define ZONE_CHUNK_BYTES 4096

/**
 * reader_t - reads the fields of a record, which is a msgpack array, in order
 * @name: name of the record for errors
 * @items: the fields
 * @n_items: number of @items
 * @next: index of the field that is read next
 * @error: receives the first error only
 * @failed: whether there was an error; further reads return 0
 */
typedef struct
{
  const char *name;
  const msgpack_object *items;
  guint n_items;
  guint next;
  GError **error;
  gboolean failed;
} reader_t;

static void
set_error (reader_t *reader, const char *expected)
{
  if (!reader->failed)
    g_set_error (reader->error, ANVIL_ERROR, ANVIL_ERROR_INVALID, "%s: field %u: expected %s",
                 reader->name, reader->next, expected);
  reader->failed = TRUE;
}

/* Starts reading a record, which must have exactly @n_items fields. */
static reader_t
begin_record (reader_t *outer, const msgpack_object *object, const char *name, guint n_items)
{
  reader_t reader = { .name = name, .error = outer->error, .failed = outer->failed };

  if (object == NULL || object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != n_items)
    {
      set_error (&reader, "a record of the right length");
      return reader;
    }
  reader.items = object->via.array.ptr;
  reader.n_items = n_items;
  return reader;
}

static gboolean
end_record (reader_t *outer, const reader_t *inner)
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
      set_error (reader, "an unsigned integer in range");
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
  set_error (reader, "a signed integer in range");
  return 0;
}

static gboolean
read_bool (reader_t *reader)
{
  const msgpack_object *object = next_object (reader);

  if (object == NULL || object->type != MSGPACK_OBJECT_BOOLEAN)
    {
      set_error (reader, "a boolean");
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
read_bytes (reader_t *reader, gsize max_bytes)
{
  const msgpack_object *object = next_object (reader);

  if (object == NULL || object->type != MSGPACK_OBJECT_BIN || object->via.bin.size > max_bytes)
    {
      set_error (reader, "binary data within its size limit");
      return (anvil_str_t){ 0 };
    }
  return (anvil_str_t){ .data = object->via.bin.ptr, .length = object->via.bin.size };
}

/* Reads an array of at most @max_items records into @items and returns its length. */
static guint
read_list (reader_t *reader, guint max_items, const msgpack_object **items)
{
  const msgpack_object *object = next_object (reader);

  if (object == NULL || object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size > max_items)
    {
      set_error (reader, "an array within its length limit");
      return 0;
    }
  *items = object->via.array.ptr;
  return object->via.array.size;
}

static void
unpack_spare_slots (reader_t *outer, const msgpack_object *object, anvil_spare_slots_t *spare_slots)
{
  reader_t reader = begin_record (outer, object, "spare slots", 3);

  spare_slots->service = read_u16 (&reader);
  spare_slots->half = read_u16 (&reader);
  spare_slots->n_slots = read_u16 (&reader);
  end_record (outer, &reader);
}

static void
unpack_member (reader_t *outer, const msgpack_object *object, anvil_member_t *member)
{
  reader_t reader = begin_record (outer, object, "member", 10);
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
    unpack_spare_slots (&reader, &items[i], &member->spare_slots[i]);
  end_record (outer, &reader);
}

static void
unpack_row (reader_t *outer, const msgpack_object *object, anvil_seat_row_t *row)
{
  reader_t reader = begin_record (outer, object, "seat row", 5);

  row->seat = read_u16 (&reader);
  row->epoch = read_u64 (&reader);
  row->holder = read_node (&reader);
  row->incarnation = read_u64 (&reader);
  row->list_version = read_u64 (&reader);
  end_record (outer, &reader);
}

static void
unpack_drain (reader_t *outer, const msgpack_object *object, anvil_drain_t *drain)
{
  reader_t reader = begin_record (outer, object, "drain", 3);

  drain->upstream = read_u64 (&reader);
  drain->lamport_time = read_u64 (&reader);
  drain->draining = read_bool (&reader);
  end_record (outer, &reader);
}

static void
unpack_gossip (reader_t *outer, const msgpack_object *object, anvil_gossip_t *gossip)
{
  reader_t reader = begin_record (outer, object, "gossip", 3);
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
  end_record (outer, &reader);
}

static void
unpack_grant_request (reader_t *outer, const msgpack_object *object, anvil_grant_request_t *request)
{
  reader_t reader = begin_record (outer, object, "grant request", 5);

  request->seat = read_u16 (&reader);
  request->epoch = read_u64 (&reader);
  request->incarnation = read_u64 (&reader);
  request->generation = read_u64 (&reader);
  request->requested_at = read_i64 (&reader);
  end_record (outer, &reader);
}

static void
unpack_grant_response (reader_t *outer,
                       const msgpack_object *object,
                       anvil_grant_response_t *response)
{
  reader_t reader = begin_record (outer, object, "grant response", 7);

  response->seat = read_u16 (&reader);
  response->witness = read_u16 (&reader);
  response->incarnation = read_u64 (&reader);
  response->granted = read_bool (&reader);
  response->exclusive_since = read_i64 (&reader);
  response->requested_at = read_i64 (&reader);
  response->generation = read_u64 (&reader);
  end_record (outer, &reader);
}

static void
unpack_grant_release (reader_t *outer, const msgpack_object *object, anvil_grant_release_t *release)
{
  reader_t reader = begin_record (outer, object, "grant release", 3);

  release->seat = read_u16 (&reader);
  release->incarnation = read_u64 (&reader);
  release->released_at = read_i64 (&reader);
  end_record (outer, &reader);
}

static void
unpack_loan_request (reader_t *outer, const msgpack_object *object, anvil_loan_request_t *request)
{
  reader_t reader = begin_record (outer, object, "loan request", 10);

  request->kind = (anvil_loan_kind_t) read_unsigned (&reader, ANVIL_LOAN_RATE);
  request->nonce = read_u64 (&reader);
  request->incarnation = read_u64 (&reader);
  request->generation = read_u64 (&reader);
  request->requested_at = read_i64 (&reader);
  request->service = read_u16 (&reader);
  request->half = read_u16 (&reader);
  request->n_slots = read_u16 (&reader);
  request->budget_hash = read_u64 (&reader);
  request->amount = read_i64 (&reader);
  end_record (outer, &reader);
}

static guint8
unpack_slots (reader_t *outer, anvil_loan_slot_t *slots)
{
  const msgpack_object *items = NULL;
  guint n_slots = read_list (outer, ANVIL_MAX_LOAN_SLOTS, &items);

  for (guint i = 0; i < n_slots; i++)
    {
      reader_t reader = begin_record (outer, &items[i], "slot", 2);

      slots[i].upstream = read_u64 (&reader);
      slots[i].slot = (guint8) read_unsigned (&reader, G_MAXUINT8);
      end_record (outer, &reader);
    }
  return (guint8) n_slots;
}

static void
unpack_loan_response (reader_t *outer,
                      const msgpack_object *object,
                      anvil_loan_response_t *response)
{
  reader_t reader = begin_record (outer, object, "loan response", 8);

  response->kind = (anvil_loan_kind_t) read_unsigned (&reader, ANVIL_LOAN_RATE);
  response->nonce = read_u64 (&reader);
  response->incarnation = read_u64 (&reader);
  response->requested_at = read_i64 (&reader);
  response->term = read_i64 (&reader);
  response->budget_hash = read_u64 (&reader);
  response->amount = read_i64 (&reader);
  response->n_slots = unpack_slots (&reader, response->slots);
  end_record (outer, &reader);
}

static void
unpack_loan_return (reader_t *outer, const msgpack_object *object, anvil_loan_return_t *loan)
{
  reader_t reader = begin_record (outer, object, "loan return", 3);

  loan->nonce = read_u64 (&reader);
  loan->incarnation = read_u64 (&reader);
  loan->n_slots = unpack_slots (&reader, loan->slots);
  end_record (outer, &reader);
}

static void
unpack_message (reader_t *outer, const msgpack_object *object, anvil_message_t *message)
{
  reader_t reader = begin_record (outer, object, "message", 2);
  guint64 kind = read_unsigned (&reader, ANVIL_MESSAGE_LOAN_RETURN);
  const msgpack_object *body = next_object (&reader);

  message->kind = (anvil_message_kind_t) kind;
  switch (kind)
    {
    case ANVIL_MESSAGE_GOSSIP:
      unpack_gossip (&reader, body, &message->gossip);
      break;
    case ANVIL_MESSAGE_GRANT_REQUEST:
      unpack_grant_request (&reader, body, &message->grant_request);
      break;
    case ANVIL_MESSAGE_GRANT_RESPONSE:
      unpack_grant_response (&reader, body, &message->grant_response);
      break;
    case ANVIL_MESSAGE_GRANT_RELEASE:
      unpack_grant_release (&reader, body, &message->grant_release);
      break;
    case ANVIL_MESSAGE_LOAN_REQUEST:
      unpack_loan_request (&reader, body, &message->loan_request);
      break;
    case ANVIL_MESSAGE_LOAN_RESPONSE:
      unpack_loan_response (&reader, body, &message->loan_response);
      break;
    case ANVIL_MESSAGE_LOAN_RETURN:
      unpack_loan_return (&reader, body, &message->loan_return);
      break;
    default:
      set_error (&reader, "a known message kind");
    }
  end_record (outer, &reader);
}

static void
unpack_hello (reader_t *outer, const msgpack_object *object, anvil_hello_t *hello)
{
  reader_t reader = begin_record (outer, object, "hello", 2);

  hello->version = read_u64 (&reader);
  hello->node = read_node (&reader);
  end_record (outer, &reader);
}

static void
unpack_config_request (reader_t *outer, const msgpack_object *object, guint64 *generation)
{
  reader_t reader = begin_record (outer, object, "configuration request", 1);

  *generation = read_u64 (&reader);
  end_record (outer, &reader);
}

static void
unpack_config (reader_t *outer, const msgpack_object *object, anvil_config_frame_t *config)
{
  reader_t reader = begin_record (outer, object, "configuration", 3);

  config->generation = read_u64 (&reader);
  config->head = read_bytes (&reader, ANVIL_MAX_HEAD_BYTES);
  config->file = read_bytes (&reader, G_MAXUINT32);
  end_record (outer, &reader);
}

/* The contents are parsed and checked by relay/relay-message.c. */
static void
unpack_relay_message (reader_t *outer, const msgpack_object *object, anvil_str_t *relay_message)
{
  if (object == NULL || object->type != MSGPACK_OBJECT_BIN)
    {
      set_error (outer, "binary data of a relay message");
      return;
    }
  *relay_message = (anvil_str_t){ .data = object->via.bin.ptr, .length = object->via.bin.size };
}

static gboolean
unpack_frame (const msgpack_object *root, anvil_frame_t *frame, GError **error)
{
  reader_t outer = { .name = "frame", .error = error };
  reader_t reader = begin_record (&outer, root, "frame", 2);
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
      unpack_config_request (&reader, body, &frame->config_request);
      break;
    case ANVIL_FRAME_CONFIG:
      unpack_config (&reader, body, &frame->config);
      break;
    case ANVIL_FRAME_RELAY_MESSAGE:
      unpack_relay_message (&reader, body, &frame->relay_message);
      break;
    default:
      set_error (&reader, "a known frame kind");
    }
  return end_record (&outer, &reader);
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
      g_set_error (
          error, ANVIL_ERROR, ANVIL_ERROR_INVALID,
          "frame: not one complete msgpack object within the limits, length=%" G_GSIZE_FORMAT,
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
