#pragma once

#include "anvil/str.h"

/**
 * anvil_frame_check_bounds - whether a frame is one complete msgpack object within the limits
 * @bytes: the frame
 *
 * Has to be called before msgpack_unpack(), which allocates an array of whatever
 * length its header declares. Allocates nothing itself.
 */
gboolean anvil_frame_check_bounds (anvil_str_t bytes);
