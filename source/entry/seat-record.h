#pragma once

#include "anvil/message.h"
#include "anvil/platform.h"

/* Encoding of a seat's row in the platform's table: key "seat/N" and a JSON value, see
 * docs/PLATFORM.md. */

/** anvil_seat_record_parse - FALSE with @error if the row isn't a valid record */
gboolean anvil_seat_record_parse (const anvil_row_t *row, anvil_seat_row_t *seat, GError **error);

/** anvil_seat_record_key - key of the row; free it with g_free() */
char *anvil_seat_record_key (guint16 seat);

/** anvil_seat_record_value - value of the row; free it with free() */
char *anvil_seat_record_value (const anvil_seat_row_t *seat);
