#include "anvil/str.h"

#include <string.h>
#include <xxhash.h>

/* Longest text of a number; a double has no more significant digits. */
#define MAX_DIGITS 40

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

static gboolean
is_blank (char character)
{
  return character == ' ' || character == '\t';
}

gboolean
anvil_str_parse_decimal (anvil_str_t text, gdouble *number)
{
  char digits[MAX_DIGITS + 1];
  guint n_points = 0;

  while (text.length > 0 && is_blank (text.data[0]))
    text = (anvil_str_t){ .data = text.data + 1, .length = text.length - 1 };
  while (text.length > 0 && is_blank (text.data[text.length - 1]))
    text.length--;
  if (text.length == 0 || text.length > MAX_DIGITS || !g_ascii_isdigit (text.data[0]))
    return FALSE;
  for (gsize i = 0; i < text.length; i++)
    {
      n_points += text.data[i] == '.';
      if (n_points > 1 || (text.data[i] != '.' && !g_ascii_isdigit (text.data[i])))
        return FALSE;
    }
  memcpy (digits, text.data, text.length);
  digits[text.length] = '\0';
  *number = g_ascii_strtod (digits, NULL);
  return TRUE;
}
