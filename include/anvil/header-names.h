#pragma once

/**
 * anvil_header_names_t - names of the headers that callers, entries and upstreams exchange
 *
 * Supplied by the adapter of the deployment.
 *
 * @request_id: request id chosen by the caller; upstreams echo it
 * @timeout_ms: how long the caller waits, milliseconds; upstreams get the time that is left
 * @object: object that the request is about
 * @expected_upstream: id of the only upstream that may run the request
 * @upstream_id: id of the upstream that responded
 * @response_marker: present in every response that an upstream itself generated; a success
 *   without it isn't trusted
 * @not_run: in a response: the upstream has not run the request
 * @request_limit: in a response: requests a second that the upstream takes from all entries, as a
 *   decimal number
 * @leaving: in a response: "1" if the upstream is about to end
 * @load: the upstream's running and waiting requests and its slots, and on some services how long
 *   work takes on its VM now, percent of the usual time
 * @api_key: key of the caller's tenant; never forwarded where the configuration has tenants. NULL
 *   if no deployment has tenants
 * @tenant: name of the tenant, which only entries set; or NULL likewise
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
  const char *request_limit;
  const char *leaving;
  const char *load;
  const char *api_key;
  const char *tenant;
} anvil_header_names_t;
