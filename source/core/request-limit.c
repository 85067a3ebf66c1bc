#include "anvil/request-limit.h"

void
anvil_request_limit_add_field (anvil_request_limit_t *limit, anvil_str_t value)
{
  gdouble per_second;

  if (!anvil_str_parse_decimal (value, &per_second))
    {
      if (limit->state != ANVIL_REQUEST_LIMIT_NAMED)
        limit->state = ANVIL_REQUEST_LIMIT_UNKNOWN;
      return;
    }
  if (limit->state == ANVIL_REQUEST_LIMIT_NAMED)
    per_second = MIN (per_second, limit->per_second);
  *limit = (anvil_request_limit_t){ .state = ANVIL_REQUEST_LIMIT_NAMED, .per_second = per_second };
}
