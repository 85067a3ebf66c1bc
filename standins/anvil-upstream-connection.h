#pragma once

#include "anvil-upstream-job.h"

/*
 * Connections of callers. evhttp reports a connection only with its first
 * request, so a connection is counted from then on.
 */

/** upstream_connection_handle_request - opens a job for a received request */
void upstream_connection_handle_request (upstream_server_t *server, struct evhttp_request *request);

/** upstream_connection_set_idle - detaches the job, before its response is sent */
void upstream_connection_set_idle (upstream_server_t *server, struct evhttp_connection *evhttp);

/** upstream_connection_close_all - closes all connections of an upstream and aborts its jobs */
void upstream_connection_close_all (upstream_server_t *server);

/** upstream_connection_create_stream - creates the bufferevent of a new connection, whose input
 * counts on its link */
struct bufferevent *upstream_connection_create_stream (struct event_base *base, void *server);
