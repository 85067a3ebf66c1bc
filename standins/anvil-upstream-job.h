#pragma once

#include <event2/http.h>

#include "anvil-upstream-server.h"

/**
 * upstream_job_open - a request that an upstream's socket has received whole
 * @path: the way that it takes
 * @connecting: time that its connection costs, 0 when it was open already
 *
 * The job ends by itself: it travels, waits, runs, and its answer travels back.
 */
upstream_job_t *upstream_job_open (upstream_server_t *server,
                                   struct evhttp_request *request,
                                   upstream_path_t path,
                                   anvil_time_t connecting);

/** upstream_job_caller_disconnected - the caller closed the connection; the upstream learns it a
 * delay later */
void upstream_job_caller_disconnected (upstream_job_t *job);

/** upstream_job_abort - ends a job without an answer; its request is freed by its connection */
void upstream_job_abort (upstream_job_t *job);
