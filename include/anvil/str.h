#pragma once

#include <glib.h>

/**
 * anvil_str_t - a borrowed byte string with its length
 * @data: first byte; may be NULL if the string is empty
 * @length: bytes
 *
 * Strings of a configuration are also terminated by a zero byte, so that they
 * can be printed; strings that point into a message are not.
 */
typedef struct
{
  const char *data;
  gsize length;
} anvil_str_t;

/* The two arguments of "%.*s". */
#define ANVIL_STR_ARGS(s) (int) (s).length, (s).data

/**
 * anvil_str - borrows a zero-terminated string
 * @text: the string; NULL gives an empty one
 */
anvil_str_t anvil_str (const char *text);

/** anvil_str_equal - whether two strings have the same bytes */
gboolean anvil_str_equal (anvil_str_t a, anvil_str_t b);

/** anvil_str_compare - compares two strings bytewise; a prefix sorts before longer strings */
gint anvil_str_compare (anvil_str_t a, anvil_str_t b);

/** anvil_str_dup - zero-terminated copy; freed with g_free() */
char *anvil_str_dup (anvil_str_t s);

/** anvil_str_hash - 64-bit hash (XXH3), the same on every machine */
guint64 anvil_str_hash (anvil_str_t s);

/** anvil_str_parse_decimal - parses digits with at most one decimal point between or behind them,
 * surrounded by blanks; FALSE for anything else */
gboolean anvil_str_parse_decimal (anvil_str_t text, gdouble *number);
