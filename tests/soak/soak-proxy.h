#pragma once

#include <event2/event.h>
#include <glib.h>

/*
 * A loopback proxy that harms the connections that run through it.
 */

/**
 * soak_harm_t - what it does
 * @SOAK_HARM_NONE: passes everything on
 * @SOAK_HARM_DELAY: passes everything on, later
 * @SOAK_HARM_SILENT: passes nothing on, either way
 * @SOAK_HARM_ONE_WAY: passes on only what comes from the side that connected
 * @SOAK_HARM_REFUSE: resets every connection, open and new
 */
typedef enum
{
  SOAK_HARM_NONE,
  SOAK_HARM_DELAY,
  SOAK_HARM_SILENT,
  SOAK_HARM_ONE_WAY,
  SOAK_HARM_REFUSE,
} soak_harm_t;

typedef struct soak_proxy soak_proxy_t;

/** soak_proxy_open - listens on a port of the kernel's choice; connects to @target later */
soak_proxy_t *soak_proxy_open (struct event_base *base);
void soak_proxy_close (soak_proxy_t *proxy);

/** soak_proxy_set_target - where connections go from now on */
void soak_proxy_set_target (soak_proxy_t *proxy, guint16 port);
guint16 soak_proxy_port (const soak_proxy_t *proxy);

/** soak_proxy_harm - from now on; @delay_ms is for SOAK_HARM_DELAY */
void soak_proxy_harm (soak_proxy_t *proxy, soak_harm_t harm, guint delay_ms);

/** soak_proxy_reset - resets every open connection, once */
void soak_proxy_reset (soak_proxy_t *proxy);
