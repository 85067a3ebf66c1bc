#include "steer/read-span.h"

void
anvil_read_span_add (anvil_read_span_t *span, anvil_time_t since, anvil_time_t until)
{
  gboolean connected = span->until > 0 && since - span->until <= ANVIL_MAX_READ_GAP;

  if (!connected || since < span->since)
    span->since = since;
  span->until = MAX (span->until, until);
}

anvil_time_t
anvil_read_span_length (const anvil_read_span_t *span, anvil_time_t now)
{
  if (span->until == 0 || now - span->until > ANVIL_MAX_READ_GAP)
    return 0;
  return now - span->since;
}
