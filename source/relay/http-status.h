#pragma once

#include <glib.h>

/* Status codes that the relay sends or interprets. */
#define STATUS_BAD_REQUEST 400
#define STATUS_UNAUTHORIZED 401
#define STATUS_NOT_FOUND 404
#define STATUS_METHOD_NOT_ALLOWED 405
#define STATUS_REQUEST_TIMEOUT 408
#define STATUS_BODY_TOO_LARGE 413
#define STATUS_MISDIRECTED 421
#define STATUS_TOO_MANY_REQUESTS 429
#define STATUS_HEADERS_TOO_LARGE 431
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define STATUS_GATEWAY_TIMEOUT 504

/** anvil_http_status_is_promise - whether a status promises the caller that its request has not run
 * and never will. The relay sends such a status only if it knows that. */
gboolean anvil_http_status_is_promise (guint status);
