#include "anvil/str.h"

#include <string.h>
#include <xxhash.h>

anvil_str_t
anvil_str (const char *text)
{
  return (anvil_str_t){ .data = text, .length = text != NULL ? strlen (text) : 0 };
}

gboolean
anvil_str_equal (anvil_str_t a, anvil_str_t b)
{
  return a.length == b.length && (a.length == 0 || memcmp (a.data, b.data, a.length) == 0);
}

gint
anvil_str_compare (anvil_str_t a, anvil_str_t b)
{
  gsize shorter = MIN (a.length, b.length);
  gint order = shorter > 0 ? memcmp (a.data, b.data, shorter) : 0;

  if (order != 0)
    return order;
  return (a.length > b.length) - (a.length < b.length);
}

char *
anvil_str_dup (anvil_str_t s)
{
  return g_strndup (s.data != NULL ? s.data : "", s.length);
}

guint64
anvil_str_hash (anvil_str_t s)
{
  return XXH3_64bits (s.data, s.length);
}
