#pragma once

#include "anvil/clock.h"
#include "anvil/request-limit.h"

/*
 * The request limits that upstreams named in responses to this entry.
 *
 * Changes are logged. Entries tell a service's new holder of these limits.
 */

/* Limits in one message. */
#define ANVIL_MAX_MESSAGE_REQUEST_LIMITS 64

/**
 * anvil_named_limit_t - an upstream's request limit
 * @upstream: key of the upstream
 * @per_second: requests a second
 * @age: time since it was named, microseconds
 */
typedef struct
{
  guint64 upstream;
  gdouble per_second;
  anvil_time_t age;
} anvil_named_limit_t;

typedef struct anvil_request_limit_table anvil_request_limit_table_t;

anvil_request_limit_table_t *anvil_request_limit_table_new (void);
void anvil_request_limit_table_drop (anvil_request_limit_table_t *table);

/** anvil_request_limit_table_record - records what a response of an upstream says; does nothing if
 * that is unknown */
void anvil_request_limit_table_record (anvil_request_limit_table_t *table,
                                       anvil_time_t now,
                                       const char *service,
                                       guint64 upstream,
                                       const char *upstream_id,
                                       const anvil_request_limit_t *limit);

/** anvil_request_limit_table_remove - the upstream has left or restarted; its limit ends */
void anvil_request_limit_table_remove (anvil_request_limit_table_t *table, guint64 upstream);

/** anvil_request_limit_table_list - limits of a service's upstreams: anvil_named_limit_t; free with
 * g_array_unref() */
GArray *anvil_request_limit_table_list (const anvil_request_limit_table_t *table,
                                        anvil_time_t now,
                                        const char *service);

/** anvil_request_limit_table_count - number of upstreams with a limit */
guint anvil_request_limit_table_count (const anvil_request_limit_table_t *table);
