#pragma once

#include <glib.h>

/* Bytes of HTTP messages that may arrive outside of bodies: heads, also of interim and discarded
 * responses, and trailers. A body in chunks has more, up to this number for each byte of the body,
 * which allows chunks of one byte. */
#define ANVIL_MAX_FRAMING_BYTES (64u << 10)
#define ANVIL_MAX_FRAMING_PER_BODY_BYTE 16

/** anvil_http_framing_is_excessive - whether so many bytes have arrived that belong to no body that
 * no message needs them */
static inline gboolean
anvil_http_framing_is_excessive (guint64 framing_bytes, guint64 body_bytes)
{
  return framing_bytes > ANVIL_MAX_FRAMING_BYTES + body_bytes * ANVIL_MAX_FRAMING_PER_BODY_BYTE;
}
