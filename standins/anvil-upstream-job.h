#pragma once

#include <event2/http.h>

#include "anvil-upstream-server.h"

/**
 * upstream_job_open - starts to process a request that was received completely
 * @path: network path between the caller and the upstream
 * @connect_time: simulated time to establish the connection, 0 if it was open already
 *
 * The job simulates the network delay of the request, waits for a slot, runs,
 * simulates the delay of the response, sends it and frees itself.
 */
upstream_job_t *upstream_job_open (upstream_server_t *server,
                                   struct evhttp_request *request,
                                   upstream_path_t path,
                                   anvil_time_t connect_time);

/** upstream_job_caller_disconnected - the caller closed the connection; the upstream is notified
 * after the path's delay */
void upstream_job_caller_disconnected (upstream_job_t *job);

/** upstream_job_abort - ends a job without a response; its request is freed by its connection, if
 * that is still open */
void upstream_job_abort (upstream_job_t *job);
