#pragma once

#include <event2/event.h>
#include <glib.h>

/*
 * A loopback TCP proxy that injects network faults.
 */

/**
 * fault_proxy_kind_t - fault that applies to all connections of a proxy
 * @FAULT_PROXY_NONE: forwards all data
 * @FAULT_PROXY_DELAY: forwards all data after a delay
 * @FAULT_PROXY_BLACKHOLE: forwards no data in either direction
 * @FAULT_PROXY_ONE_WAY: forwards only data from the client
 * @FAULT_PROXY_RESET: resets every connection, open and new
 */
typedef enum
{
  FAULT_PROXY_NONE,
  FAULT_PROXY_DELAY,
  FAULT_PROXY_BLACKHOLE,
  FAULT_PROXY_ONE_WAY,
  FAULT_PROXY_RESET,
} fault_proxy_kind_t;

typedef struct fault_proxy fault_proxy_t;

/** fault_proxy_open - listens on a port that the kernel chooses; see fault_proxy_set_target() */
fault_proxy_t *fault_proxy_open (struct event_base *base);
void fault_proxy_close (fault_proxy_t *proxy);

/** fault_proxy_set_target - sets the loopback port that new connections are forwarded to */
void fault_proxy_set_target (fault_proxy_t *proxy, guint16 port);
guint16 fault_proxy_port (const fault_proxy_t *proxy);

/** fault_proxy_set_fault - sets the current fault; @delay_ms is for FAULT_PROXY_DELAY */
void fault_proxy_set_fault (fault_proxy_t *proxy, fault_proxy_kind_t fault, guint delay_ms);

/** fault_proxy_set_rate - limits what all clients together receive from now on, bytes per second;
 * call it before there are connections */
void fault_proxy_set_rate (fault_proxy_t *proxy, guint bytes_per_second);

/** fault_proxy_reset_connections - resets all open connections */
void fault_proxy_reset_connections (fault_proxy_t *proxy);
