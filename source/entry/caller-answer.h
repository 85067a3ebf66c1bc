#pragma once

#include <event2/http.h>

#include "anvil/clock.h"

/* Answers that an entry gives itself; the body is {"error":"..."}. */

/** anvil_answer_bad - the request is malformed; nothing was run, the connection is closed */
void anvil_answer_bad (struct evhttp_request *request, int status, const char *what);

/**
 * anvil_answer_refused - 503, the request was truly not run
 * @reason: a word for programs
 * @retry_after: what the caller should wait
 */
void anvil_answer_refused (struct evhttp_request *request,
                           const char *reason,
                           const char *what,
                           anvil_time_t retry_after);

/** anvil_answer_unknown - 409, 502 or 504, the request may have run */
void anvil_answer_unknown (struct evhttp_request *request, int status, const char *what);

/**
 * anvil_answer_recorded - the outcome of an earlier request with the same key
 * @status: of that answer; its body wasn't kept
 */
void anvil_answer_recorded (struct evhttp_request *request, int status);
