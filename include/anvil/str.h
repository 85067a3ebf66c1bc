#pragma once

#include <glib.h>

/**
 * anvil_str_t - a borrowed view of bytes with their length
 * @data: first byte, or NULL when the view is empty
 * @length: bytes
 *
 * Views that a configuration hands out are also terminated by a zero byte, so
 * that they may be printed; a view cut from a message isn't.
 */
typedef struct
{
  const char *data;
  gsize length;
} anvil_str_t;

/* The arguments that "%.*s" takes for a view. */
#define ANVIL_STR_ARGS(s) (int) (s).length, (s).data

/**
 * anvil_str - view of a zero-terminated string
 * @text: the string, or NULL for an empty view
 */
anvil_str_t anvil_str (const char *text);

/** anvil_str_equal - whether two views hold the same bytes */
gboolean anvil_str_equal (anvil_str_t a, anvil_str_t b);

/** anvil_str_compare - order of two views by their bytes, as memcmp gives it */
gint anvil_str_compare (anvil_str_t a, anvil_str_t b);

/** anvil_str_dup - zero-terminated copy of a view; freed with g_free() */
char *anvil_str_dup (anvil_str_t s);

/** anvil_str_hash - 64-bit hash of a view's bytes (XXH3), the same on every machine */
guint64 anvil_str_hash (anvil_str_t s);
