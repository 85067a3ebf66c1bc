#include "relay/upstream-load.h"

#include <string.h>

#include "steer/upstream-speed.h"

#define N_FIGURES 4

/* Takes the text up to the next comma off @rest. */
static anvil_str_t
next_figure (anvil_str_t *rest)
{
  const char *comma = memchr (rest->data, ',', rest->length);
  gsize length = comma != NULL ? (gsize) (comma - rest->data) : rest->length;
  anvil_str_t figure = { .data = rest->data, .length = length };
  gsize used = comma != NULL ? length + 1 : length;

  *rest = (anvil_str_t){ .data = rest->data + used, .length = rest->length - used };
  return figure;
}

guint
anvil_upstream_load_speed (anvil_str_t value)
{
  guint n_commas = 0;
  gdouble figure = 0;

  for (gsize i = 0; i < value.length; i++)
    n_commas += value.data[i] == ',';
  if (n_commas != N_FIGURES - 1)
    return 0;
  for (guint i = 0; i < N_FIGURES; i++)
    {
      if (!anvil_str_parse_decimal (next_figure (&value), &figure))
        return 0;
    }
  return figure >= 1 && figure <= ANVIL_MAX_SPEED ? (guint) (figure + 0.5) : 0;
}
