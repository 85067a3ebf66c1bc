#pragma once

#include <event2/http.h>

#include "anvil/clock.h"

/* Answers that an entry gives itself; the body is {"error":"..."}. */

/** anvil_respond_bad_request - the request is malformed; nothing was run, the connection is closed
 */
void anvil_respond_bad_request (struct evhttp_request *request, int status, const char *what);

/**
 * anvil_respond_refused - 503, the request was truly not run
 * @reason: a word for programs
 * @retry_after: what the caller should wait
 */
void anvil_respond_refused (struct evhttp_request *request,
                            const char *reason,
                            const char *what,
                            anvil_time_t retry_after);

/** anvil_respond_unknown - 409, 502 or 504, the request may have run */
void anvil_respond_unknown (struct evhttp_request *request, int status, const char *what);

/**
 * anvil_respond_recorded - the outcome of an earlier request with the same key
 * @status: of that answer; its body wasn't kept
 */
void anvil_respond_recorded (struct evhttp_request *request, int status);
