#pragma once

#include "anvil/message.h"
#include "anvil/platform.h"

/* A seat's row as the platform's table keeps it: key "seat/N", JSON value; docs/PLATFORM.md. */

/** anvil_seat_record_parse - FALSE with @error if the row isn't a valid record */
gboolean anvil_seat_record_parse (const anvil_row_t *row, anvil_seat_row_t *seat, GError **error);

/** anvil_seat_record_key - the row's key; freed with g_free() */
char *anvil_seat_record_key (guint16 seat);

/** anvil_seat_record_value - the row's value; freed with free() */
char *anvil_seat_record_value (const anvil_seat_row_t *seat);
