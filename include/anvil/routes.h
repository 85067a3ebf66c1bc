#pragma once

#include "anvil/clock.h"
#include "anvil/str.h"

/*
 * Routing table: maps the host and path prefix of a request to services.
 *
 * A table is filled by a configuration parser, checked by anvil_routes_finish(),
 * and immutable afterwards.
 */

/* Most services that one route is split over. */
#define ANVIL_MAX_ROUTE_SERVICES 16
/* Most regions that one route is restricted to. */
#define ANVIL_MAX_ROUTE_REGIONS 16

/**
 * anvil_route_kind_t - whether a request may be repeated when its outcome is unknown
 * @ANVIL_ROUTE_SAFE: it may run more than once
 * @ANVIL_ROUTE_UNSAFE: it must run at most once
 * @ANVIL_ROUTE_UPLOAD: like unsafe, with a large body
 */
typedef enum
{
  ANVIL_ROUTE_SAFE,
  ANVIL_ROUTE_UNSAFE,
  ANVIL_ROUTE_UPLOAD,
} anvil_route_kind_t;

/**
 * anvil_weighted_service_t - a service of a route and its share of the requests
 * @weight: share relative to the route's other services
 */
typedef struct
{
  char *service;
  guint weight;
} anvil_weighted_service_t;

/**
 * anvil_route_t - one route; its strings belong to the table
 * @name: name in the configuration and in logs
 * @host: host without port, case-insensitive
 * @prefix: begins and ends with a slash
 * @kind: whether requests may be repeated
 * @timeout: longest time until a request is answered, microseconds; 0 for none
 * @target_latency: latency aimed at, microseconds; 0 for none
 * @max_attempts: most upstreams that one request may be sent to
 * @priority: 0 is the most urgent
 * @sticky: whether upstreams are faster on objects that they handled recently
 * @services: services, at least one with a weight above 0
 * @regions: regions that may serve it, all if empty
 * @is_public: callers need no key, and no tenant's quota or priority applies
 * @has_repeat_share: whether @repeat_share is set; otherwise that of the settings applies
 * @repeat_share: see anvil_dispatcher_limits_t
 */
typedef struct
{
  char *name;
  char *host;
  char *prefix;
  anvil_route_kind_t kind;
  anvil_time_t timeout;
  anvil_time_t target_latency;
  guint max_attempts;
  guint priority;
  gboolean sticky;
  anvil_weighted_service_t services[ANVIL_MAX_ROUTE_SERVICES];
  guint n_services;
  char *regions[ANVIL_MAX_ROUTE_REGIONS];
  guint n_regions;
  gboolean is_public;
  gboolean has_repeat_share;
  gdouble repeat_share;
} anvil_route_t;

/**
 * anvil_service_t - properties of all upstreams of a service
 * @max_connections: connections that one upstream accepts from all clients together
 * @cold_time: how long an upstream is cold after its start, microseconds
 * @cold_per_second: requests a second that a cold upstream can handle
 */
typedef struct
{
  char *name;
  guint max_connections;
  anvil_time_t cold_time;
  gdouble cold_per_second;
} anvil_service_t;

/**
 * anvil_routes_limits_t - limits on requests and connections of callers
 * @max_header_bytes: request line and headers
 * @max_body_bytes: body of a request
 * @header_timeout: longest time from the first to the last byte of the headers, microseconds
 * @idle_timeout: longest pause between two requests of a connection, microseconds
 */
typedef struct
{
  gsize max_header_bytes;
  gsize max_body_bytes;
  anvil_time_t header_timeout;
  anvil_time_t idle_timeout;
} anvil_routes_limits_t;

typedef struct anvil_routes anvil_routes_t;

/** anvil_routes_new - an empty table of @version with the default limits */
anvil_routes_t *anvil_routes_new (gint64 version);

/** anvil_routes_drop - releases one reference */
void anvil_routes_drop (anvil_routes_t *routes);
anvil_routes_t *anvil_routes_keep (anvil_routes_t *routes);

/** anvil_routes_add - adds a route to be filled in; borrowed until the next call */
anvil_route_t *anvil_routes_add (anvil_routes_t *routes);

/** anvil_routes_add_service - adds a service to be filled in; borrowed until the next call */
anvil_service_t *anvil_routes_add_service (anvil_routes_t *routes);

void anvil_routes_set_limits (anvil_routes_t *routes, const anvil_routes_limits_t *limits);

/**
 * anvil_routes_finish - checks the table and builds its index
 *
 * Return: FALSE with @error naming the invalid route or service; the table must then
 * be released.
 */
gboolean anvil_routes_finish (anvil_routes_t *routes, GError **error);

gint64 anvil_routes_version (const anvil_routes_t *routes);
const anvil_routes_limits_t *anvil_routes_limits (const anvil_routes_t *routes);
guint anvil_routes_count (const anvil_routes_t *routes);
const anvil_route_t *anvil_routes_at (const anvil_routes_t *routes, guint index);
guint anvil_routes_count_services (const anvil_routes_t *routes);
const anvil_service_t *anvil_routes_service_at (const anvil_routes_t *routes, guint index);

/** anvil_routes_lookup_service - a service by its name, or NULL */
const anvil_service_t *anvil_routes_lookup_service (const anvil_routes_t *routes, anvil_str_t name);

/**
 * anvil_routes_match - finds the route of a request
 * @host: the Host header, with or without a port
 * @path: path; it may include a query
 *
 * Return: the route of that host with the longest prefix of @path, or NULL.
 */
const anvil_route_t *
anvil_routes_match (const anvil_routes_t *routes, anvil_str_t host, anvil_str_t path);
