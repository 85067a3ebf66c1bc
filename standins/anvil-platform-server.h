#pragma once

#include <event2/event.h>

#include "anvil/clock.h"

/** platform_server_t - the calls of docs/PLATFORM.md over HTTP, with faults */
typedef struct platform_server platform_server_t;

/**
 * platform_server_options_t - how the stand-in starts
 * @address: IPv4 in host order
 * @port: TCP port, 0 for one that the kernel picks
 * @vm_lag: age of the list of VMs
 * @seed: of the random numbers
 * @writes_per_s: commits and objects a second
 * @reads_per_s: other calls a second
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

/** platform_server_open - listens; NULL with @error if the address can't be had */
platform_server_t *platform_server_open (struct event_base *base,
                                         const platform_server_options_t *options,
                                         GError **error);
void platform_server_close (platform_server_t *service);

/** platform_server_port - port that it listens on */
guint16 platform_server_port (const platform_server_t *service);
