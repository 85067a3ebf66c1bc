#include "relay/http-status.h"

gboolean
anvil_http_status_is_promise (guint status)
{
  return status == STATUS_REQUEST_TIMEOUT || status == STATUS_MISDIRECTED
         || status == STATUS_TOO_MANY_REQUESTS || status == STATUS_UNAVAILABLE;
}
