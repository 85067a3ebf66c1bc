#pragma once

#include <event2/http.h>

#include "anvil/metrics.h"
#include "anvil/steer.h"

/** anvil_lookup_respond - responds to GET /v1/entries?service=NAME&client=IP */
void
anvil_lookup_respond (struct evhttp_request *http, anvil_steer_t *steer, anvil_metrics_t *metrics);
