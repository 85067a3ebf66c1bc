#include "anvil/announcement.h"

gboolean
anvil_announcement_parse_pause (anvil_str_t value, anvil_time_t *pause)
{
  gdouble seconds;

  if (!anvil_str_parse_decimal (value, &seconds))
    return FALSE;
  seconds = MIN (seconds, (gdouble) ANVIL_MAX_PAUSE / (gdouble) ANVIL_SECOND);
  *pause = (anvil_time_t) (seconds * (gdouble) ANVIL_SECOND);
  return TRUE;
}
