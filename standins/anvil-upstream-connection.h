#pragma once

#include "anvil-upstream-job.h"

/*
 * Connections of callers. evhttp tells of one only when it carries its first
 * request, so it is counted from then on.
 */

/** upstream_connection_handle_request - a request came; opens its job */
void upstream_connection_handle_request (upstream_server_t *server, struct evhttp_request *request);

/** upstream_connection_set_idle - the request of a connection is about to be answered */
void upstream_connection_set_idle (upstream_server_t *server, struct evhttp_connection *evhttp);

/** upstream_connection_close_all - cuts every connection of an upstream, with the jobs on them */
void upstream_connection_close_all (upstream_server_t *server);

/** upstream_connection_create_stream - evhttp's stream for a new connection, metered on its link */
struct bufferevent *upstream_connection_create_stream (struct event_base *base, void *server);
