#pragma once

#include <event2/event.h>
#include <glib.h>

/*
 * A loopback TCP proxy that injects network faults.
 */

/**
 * soak_proxy_fault_t - fault that applies to all connections of a proxy
 * @SOAK_PROXY_FAULT_NONE: forwards all data
 * @SOAK_PROXY_FAULT_DELAY: forwards all data after a delay
 * @SOAK_PROXY_FAULT_BLACKHOLE: forwards no data in either direction
 * @SOAK_PROXY_FAULT_ONE_WAY: forwards only data from the client
 * @SOAK_PROXY_FAULT_RESET: resets every connection, open and new
 */
typedef enum
{
  SOAK_PROXY_FAULT_NONE,
  SOAK_PROXY_FAULT_DELAY,
  SOAK_PROXY_FAULT_BLACKHOLE,
  SOAK_PROXY_FAULT_ONE_WAY,
  SOAK_PROXY_FAULT_RESET,
} soak_proxy_fault_t;

typedef struct soak_proxy soak_proxy_t;

/** soak_proxy_open - listens on a port that the kernel chooses; see soak_proxy_set_target() */
soak_proxy_t *soak_proxy_open (struct event_base *base);
void soak_proxy_close (soak_proxy_t *proxy);

/** soak_proxy_set_target - sets the loopback port that new connections are forwarded to */
void soak_proxy_set_target (soak_proxy_t *proxy, guint16 port);
guint16 soak_proxy_port (const soak_proxy_t *proxy);

/** soak_proxy_set_fault - sets the current fault; @delay_ms is for SOAK_PROXY_FAULT_DELAY */
void soak_proxy_set_fault (soak_proxy_t *proxy, soak_proxy_fault_t fault, guint delay_ms);

/** soak_proxy_reset_connections - resets all open connections */
void soak_proxy_reset_connections (soak_proxy_t *proxy);
