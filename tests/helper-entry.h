#pragma once

/*
 * Runs the request path of an entry in the test process: with sockets for callers
 * and upstreams and the real decision core, but without a platform.
 */

#include <check.h>
#include <event2/event.h>

#include "entry/caller-listener.h"
#include "entry/entry-settings.h"

#define RIG_TIMEOUT (20 * ANVIL_SECOND)

/**
 * rig_t - the request path of an entry
 * @upstream_listeners: listening sockets of the upstreams, by RIG_PHOTOS and RIG_BOOKING
 * @read_requested: the core has requested the rows of seats
 * @write_requested: the core has written @seat_row
 * @port: port for callers
 */
typedef struct
{
  struct event_base *base;
  struct event *tick;
  anvil_entry_settings_t settings;
  anvil_caller_limits_t limits;
  anvil_metrics_t *metrics;
  anvil_trace_ring_t *traces;
  anvil_steer_t *steer;
  anvil_upstream_pool_t *upstream_pool;
  anvil_caller_connections_t *callers;
  anvil_request_task_t *requests;
  anvil_caller_listener_t *listener;
  gboolean read_requested;
  gboolean write_requested;
  anvil_seat_row_t seat_row;
  guint16 port;
  int upstream_listeners[2];
} rig_t;

/* Upstreams, one for each service. The service "photos" is idempotent, "booking" is not. */
enum
{
  RIG_PHOTOS,
  RIG_BOOKING,
};

/** rig_open - @limits may be NULL; the upstreams of "photos" and "booking" have 2 slots each */
rig_t *rig_open (const anvil_caller_limits_t *limits);
void rig_close (rig_t *rig);

/** rig_step - runs pending events of the loop; FALSE once @deadline has passed */
gboolean rig_step (rig_t *rig, anvil_time_t deadline);

/* Runs the loop until @condition holds; the test fails after RIG_TIMEOUT. */
#define RIG_WAIT(rig, condition)                                                                   \
  do                                                                                               \
    {                                                                                              \
      anvil_time_t rig_deadline = anvil_clock_now () + RIG_TIMEOUT;                                \
      while (!(condition))                                                                         \
        ck_assert_msg (rig_step (rig, rig_deadline), "timed out: %s", #condition);                 \
  } while (0)

/** rig_connect - opens a caller's connection */
int rig_connect (rig_t *rig);

/** rig_send - writes all of @text, running the loop while the socket buffer is full */
void rig_send (rig_t *rig, int fd, const char *text);

/** rig_accept - accepts the next connection to an upstream */
int rig_accept (rig_t *rig, guint upstream);

/** rig_connection_pending - whether a connection to an upstream is waiting to be accepted */
gboolean rig_connection_pending (const rig_t *rig, guint upstream);

/** rig_readable - whether data or the end of the stream can be read from a socket */
gboolean rig_readable (int fd);

/** rig_read_message - reads one HTTP message, or up to the end of the stream; free with g_free() */
char *rig_read_message (rig_t *rig, int fd);

/** rig_peer_closed - whether the peer has closed the connection; discards received data */
gboolean rig_peer_closed (int fd);

/** rig_exchange - sends a request on a new connection and reads the response */
char *rig_exchange (rig_t *rig, const char *request);

/** rig_counter - value of a counter metric */
guint rig_counter (const rig_t *rig, const char *name, const char *labels);

/* Fails unless a message contains a text. */
#define RIG_ASSERT_CONTAINS(text, substring)                                                       \
  ck_assert_msg (strstr (text, substring) != NULL, "no \"%s\" in \"%s\"", substring, text)
