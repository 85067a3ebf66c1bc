#pragma once

#include <event2/event.h>

#include "anvil/clock.h"

/** platform_server_t - HTTP server for the calls of docs/PLATFORM.md, with fault injection */
typedef struct platform_server platform_server_t;

/**
 * platform_server_options_t - options of the server
 * @address: IPv4 in host order
 * @port: TCP port, 0 to let the kernel choose
 * @vm_lag: delay until a change of the VM list is visible
 * @seed: seed of the random faults
 * @writes_per_s: limit of commits and stored objects per second
 * @reads_per_s: limit of other calls per second
 */
typedef struct
{
  guint32 address;
  guint16 port;
  anvil_time_t vm_lag;
  guint32 seed;
  guint writes_per_s;
  guint reads_per_s;
} platform_server_options_t;

/** platform_server_open - starts to listen; NULL with @error if the address can't be bound */
platform_server_t *platform_server_open (struct event_base *base,
                                         const platform_server_options_t *options,
                                         GError **error);
void platform_server_close (platform_server_t *server);

guint16 platform_server_port (const platform_server_t *server);
