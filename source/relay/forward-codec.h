#pragma once

#include "anvil/announcement.h"
#include "anvil/dispatcher.h"

/* Format of requests and responses that pass between entries of anvil-relay; see
 * relay/relay-forward.h. */

/**
 * anvil_forwarded_request_t - a caller's request as its upstream gets it; texts are borrowed
 * @headers: headers to forward, "Name: value\r\n" each
 */
typedef struct
{
  anvil_str_t method;
  anvil_str_t target;
  anvil_str_t id;
  anvil_str_t headers;
  anvil_str_t body;
} anvil_forwarded_request_t;

/**
 * anvil_forwarded_response_t - how the run of a forwarded request ended; texts are borrowed
 * @result: see anvil_relay_attempt_outcome_t
 * @status: status of the response, 0 without one
 * @upstream: key of the upstream that ran it
 * @upstream_id: its id
 * @started_at: start of its process, see anvil_upstream_report_t; 0 if unknown
 * @duration: from the start of sending to the end of the response, microseconds
 * @announcement: what the upstream said of itself
 * @reason: why there is no usable response, for logs; empty if there is one
 * @headers: headers to forward, "Name: value\r\n" each
 */
typedef struct
{
  anvil_run_result_t result;
  guint status;
  guint64 upstream;
  anvil_str_t upstream_id;
  gint64 started_at;
  anvil_time_t duration;
  anvil_announcement_t announcement;
  anvil_str_t reason;
  anvil_str_t headers;
  anvil_str_t body;
} anvil_forwarded_response_t;

/** anvil_forwarded_request_pack - appends a request in msgpack to @out */
void anvil_forwarded_request_pack (const anvil_forwarded_request_t *request, GByteArray *out);

/** anvil_forwarded_request_unpack - FALSE if @bytes are malformed; texts point into them */
gboolean anvil_forwarded_request_unpack (anvil_str_t bytes, anvil_forwarded_request_t *request);

/** anvil_forwarded_response_pack - appends a response in msgpack to @out */
void anvil_forwarded_response_pack (const anvil_forwarded_response_t *response, GByteArray *out);

/** anvil_forwarded_response_unpack - FALSE if @bytes are malformed; texts point into them */
gboolean anvil_forwarded_response_unpack (anvil_str_t bytes, anvil_forwarded_response_t *response);
