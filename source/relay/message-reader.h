#pragma once

#include <glib.h>
#include <msgpack.h>

#include "anvil/clock.h"
#include "anvil/str.h"

/**
 * anvil_message_reader_t - reads the items of an array in order; after the first error every read
 * returns an empty value
 * @array: NULL if the array itself was missing or invalid
 * @next: index of the next item
 * @bad_field: name of the first field that was missing or invalid, or NULL
 */
typedef struct
{
  const msgpack_object_array *array;
  guint next;
  const char **bad_field;
} anvil_message_reader_t;

/** anvil_message_append - write callback of a packer that appends to the GByteArray @data */
int anvil_message_append (void *data, const char *bytes, size_t length);

void anvil_message_pack_text (msgpack_packer *packer, anvil_str_t text);

void anvil_message_pack_bytes (msgpack_packer *packer, anvil_str_t bytes);

/** anvil_message_has_more - TRUE if items are left; entries of older versions send fewer items */
gboolean anvil_message_has_more (const anvil_message_reader_t *reader);

/** anvil_message_read_number - an integer from 0 to @max */
guint64 anvil_message_read_number (anvil_message_reader_t *reader, const char *field, guint64 max);

/** anvil_message_read_time - a time in microseconds, which may be negative */
anvil_time_t anvil_message_read_time (anvil_message_reader_t *reader, const char *field);

/** anvil_message_read_rate - a finite number, 0 or more */
gdouble anvil_message_read_rate (anvil_message_reader_t *reader, const char *field);

/** anvil_message_read_text - a string, whose bytes belong to the message */
anvil_str_t anvil_message_read_text (anvil_message_reader_t *reader, const char *field);

/** anvil_message_read_bytes - binary data, whose bytes belong to the message */
anvil_str_t anvil_message_read_bytes (anvil_message_reader_t *reader, const char *field);

/** anvil_message_read_array - a reader of a nested array, which reports to the same @bad_field */
anvil_message_reader_t anvil_message_read_array (anvil_message_reader_t *reader, const char *field);

/** anvil_message_array_length - number of items; more than @max is an error */
guint anvil_message_array_length (anvil_message_reader_t *reader, const char *field, guint max);
