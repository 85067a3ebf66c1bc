#pragma once

#include "anvil/str.h"

/**
 * anvil_frame_check_bounds - whether a msgpack frame is whole and small enough to be unpacked
 * @bytes: the frame
 *
 * The unpacker of the library allocates an array by the length that its header
 * claims, so the claims are checked first. Allocates nothing.
 */
gboolean anvil_frame_check_bounds (anvil_str_t bytes);
