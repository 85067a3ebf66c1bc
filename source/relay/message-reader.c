#include "relay/message-reader.h"

#include <math.h>

int
anvil_message_append (void *data, const char *bytes, size_t length)
{
  g_byte_array_append (data, (const guint8 *) bytes, (guint) length);
  return 0;
}

void
anvil_message_pack_text (msgpack_packer *packer, anvil_str_t text)
{
  msgpack_pack_str (packer, text.length);
  msgpack_pack_str_body (packer, text.data, text.length);
}

void
anvil_message_pack_bytes (msgpack_packer *packer, anvil_str_t bytes)
{
  msgpack_pack_bin (packer, bytes.length);
  msgpack_pack_bin_body (packer, bytes.data, bytes.length);
}

gboolean
anvil_message_has_more (const anvil_message_reader_t *reader)
{
  return reader->array != NULL && reader->next < reader->array->size;
}

static const msgpack_object *
read_item (anvil_message_reader_t *reader, const char *field, msgpack_object_type type)
{
  const msgpack_object *object;

  if (*reader->bad_field != NULL)
    return NULL;
  if (anvil_message_has_more (reader))
    {
      object = &reader->array->ptr[reader->next++];
      if (object->type == type)
        return object;
    }
  *reader->bad_field = field;
  return NULL;
}

guint64
anvil_message_read_number (anvil_message_reader_t *reader, const char *field, guint64 max)
{
  const msgpack_object *object = read_item (reader, field, MSGPACK_OBJECT_POSITIVE_INTEGER);

  if (object == NULL)
    return 0;
  if (object->via.u64 <= max)
    return object->via.u64;
  *reader->bad_field = field;
  return 0;
}

anvil_time_t
anvil_message_read_time (anvil_message_reader_t *reader, const char *field)
{
  if (anvil_message_has_more (reader)
      && reader->array->ptr[reader->next].type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return reader->array->ptr[reader->next++].via.i64;
  return (anvil_time_t) anvil_message_read_number (reader, field, G_MAXINT64);
}

gdouble
anvil_message_read_rate (anvil_message_reader_t *reader, const char *field)
{
  const msgpack_object *object = read_item (reader, field, MSGPACK_OBJECT_FLOAT64);

  if (object == NULL)
    return 0;
  if (isfinite (object->via.f64) && object->via.f64 >= 0)
    return object->via.f64;
  *reader->bad_field = field;
  return 0;
}

anvil_str_t
anvil_message_read_text (anvil_message_reader_t *reader, const char *field)
{
  const msgpack_object *object = read_item (reader, field, MSGPACK_OBJECT_STR);

  if (object == NULL)
    return (anvil_str_t){ 0 };
  return (anvil_str_t){ .data = object->via.str.ptr, .length = object->via.str.size };
}

anvil_message_reader_t
anvil_message_read_array (anvil_message_reader_t *reader, const char *field)
{
  const msgpack_object *object = read_item (reader, field, MSGPACK_OBJECT_ARRAY);

  return (anvil_message_reader_t){ .array = object != NULL ? &object->via.array : NULL,
                                   .bad_field = reader->bad_field };
}

guint
anvil_message_array_length (anvil_message_reader_t *reader, const char *field, guint max)
{
  if (reader->array == NULL)
    return 0;
  if (reader->array->size <= max)
    return reader->array->size;
  *reader->bad_field = field;
  return 0;
}

anvil_str_t
anvil_message_read_bytes (anvil_message_reader_t *reader, const char *field)
{
  const msgpack_object *object = read_item (reader, field, MSGPACK_OBJECT_BIN);

  if (object == NULL)
    return (anvil_str_t){ 0 };
  return (anvil_str_t){ .data = object->via.bin.ptr, .length = object->via.bin.size };
}
