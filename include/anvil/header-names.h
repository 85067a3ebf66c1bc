#pragma once

/**
 * anvil_header_names_t - names of the headers that callers, entries and upstreams exchange
 *
 * The deployment's adapter fills them in; the product knows their meaning only.
 *
 * @request_id: the caller's id of a request; upstreams echo it
 * @timeout_ms: milliseconds that the caller waits; upstreams get what is left
 * @object: what the request is about
 * @expected_upstream: id that an upstream must have to run the request
 * @upstream_id: id of the upstream that answered
 * @response_marker: the upstream's mark of its answers; a success without it isn't one
 * @not_run: an upstream's word that it has not run the request
 * @load: an upstream's running and waiting requests and its slots
 */
typedef struct
{
  const char *request_id;
  const char *timeout_ms;
  const char *object;
  const char *expected_upstream;
  const char *upstream_id;
  const char *response_marker;
  const char *not_run;
  const char *load;
} anvil_header_names_t;
