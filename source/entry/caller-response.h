#pragma once

#include <event2/http.h>

#include "anvil/clock.h"

/* Responses that the entry generates itself. Error responses have the body {"error":"..."}. */

/** anvil_respond_bad_request - the request is invalid, not run; closes the connection */
void anvil_respond_bad_request (struct evhttp_request *request, int status, const char *message);

/**
 * anvil_respond_refused - 503, the request has certainly not been run
 * @reason: machine-readable reason for the Anvil-Reason header
 * @retry_after: how long the caller should wait before it retries
 */
void anvil_respond_refused (struct evhttp_request *request,
                            const char *reason,
                            const char *message,
                            anvil_time_t retry_after);

/** anvil_respond_unknown - 409, 502 or 504, whether the request was run is unknown */
void anvil_respond_unknown (struct evhttp_request *request, int status, const char *message);

/**
 * anvil_respond_recorded - repeats the result of an earlier request with the same idempotency key
 * @status: HTTP status of the earlier response; its body was not kept
 */
void anvil_respond_recorded (struct evhttp_request *request, int status);
