#pragma once

/*
 * The request path of an entry in the test's own process: real sockets for
 * callers and upstreams, the real decision core, no platform.
 */

#include <check.h>
#include <event2/event.h>

#include "entry/caller-listener.h"
#include "entry/entry-settings.h"

#define RIG_PATIENCE (20 * ANVIL_SECOND)

/**
 * rig_t - an entry's request path
 * @upstream: listening sockets of the upstreams; photos (idempotent) first, then booking
 * @port: port for callers
 */
typedef struct
{
  struct event_base *base;
  struct event *tick;
  anvil_entry_settings_t settings;
  anvil_caller_limits_t limits;
  anvil_metrics_t *counters;
  anvil_trace_ring_t *traces;
  anvil_steer_t *steer;
  anvil_upstream_pool_t *pool;
  anvil_caller_connections_t *callers;
  anvil_request_task_t *requests;
  anvil_caller_listener_t *listener;
  gboolean rows_wanted;
  gboolean row_wanted;
  anvil_seat_row_t row;
  guint16 port;
  int upstream[2];
} rig_t;

enum
{
  RIG_PHOTOS,
  RIG_BOOKING,
};

/** rig_open - @limits may be NULL; the services "photos" and "booking" have a slot of 2 each */
rig_t *rig_open (const anvil_caller_limits_t *limits);
void rig_close (rig_t *rig);

/** rig_step - runs the event loop for a moment; FALSE once @until has passed */
gboolean rig_step (rig_t *rig, anvil_time_t until);

/* Runs the loop until @condition holds; the test fails when it never does. */
#define RIG_WAIT(rig, condition)                                                                   \
  do                                                                                               \
    {                                                                                              \
      anvil_time_t rig_until = anvil_clock_now () + RIG_PATIENCE;                                  \
      while (!(condition))                                                                         \
        ck_assert_msg (rig_step (rig, rig_until), "never: %s", #condition);                        \
  } while (0)

/** rig_connect - a caller's connection */
int rig_connect (rig_t *rig);

/** rig_send - writes all of @text, running the loop when the socket is full */
void rig_send (rig_t *rig, int fd, const char *text);

/** rig_accept - the next connection to an upstream */
int rig_accept (rig_t *rig, guint upstream);

/** rig_pending - whether a connection to an upstream waits to be accepted */
gboolean rig_pending (const rig_t *rig, guint upstream);

/** rig_readable - whether bytes or the end wait at a socket */
gboolean rig_readable (int fd);

/** rig_read_message - one whole HTTP message, or what came before the end; freed by the caller */
char *rig_read_message (rig_t *rig, int fd);

/** rig_closed - whether the other end has closed; what it sent before is discarded */
gboolean rig_closed (int fd);

/** rig_ask - sends a request on a connection of its own and reads the answer */
char *rig_ask (rig_t *rig, const char *request);

/** rig_counter - value of a counter */
guint rig_counter (const rig_t *rig, const char *name, const char *labels);

/* Whether a message has a piece of text. */
#define RIG_ASSERT_HAS(text, part)                                                                 \
  ck_assert_msg (strstr (text, part) != NULL, "no \"%s\" in \"%s\"", part, text)
