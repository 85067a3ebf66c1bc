#include "anvil/request-limit.h"

#include <string.h>

/* Longest text of a number; a double has no more significant digits. */
#define MAX_DIGITS 40

static gboolean
is_blank (char character)
{
  return character == ' ' || character == '\t';
}

/* Digits with at most one decimal point between or behind them, surrounded by blanks. */
static gboolean
parse_decimal (anvil_str_t text, gdouble *number)
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

void
anvil_request_limit_add_field (anvil_request_limit_t *limit, anvil_str_t value)
{
  gdouble per_second;

  if (!parse_decimal (value, &per_second))
    {
      if (limit->state != ANVIL_REQUEST_LIMIT_NAMED)
        limit->state = ANVIL_REQUEST_LIMIT_UNKNOWN;
      return;
    }
  if (limit->state == ANVIL_REQUEST_LIMIT_NAMED)
    per_second = MIN (per_second, limit->per_second);
  *limit = (anvil_request_limit_t){ .state = ANVIL_REQUEST_LIMIT_NAMED, .per_second = per_second };
}
