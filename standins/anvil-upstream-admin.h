#pragma once

#include "anvil-upstream-fleet.h"

/** upstream_admin_t - HTTP server for fault injection and reports */
typedef struct upstream_admin upstream_admin_t;

/** upstream_admin_open - starts to listen; NULL with @error if the address can't be bound */
upstream_admin_t *upstream_admin_open (upstream_context_t *context,
                                       upstream_fleet_t *fleet,
                                       guint32 address,
                                       guint16 port,
                                       GError **error);
void upstream_admin_close (upstream_admin_t *admin);

guint16 upstream_admin_port (const upstream_admin_t *admin);
