#pragma once

#include <glib.h>

#include <event2/bufferevent.h>

/*
 * How a TCP connection ends, from the events of its bufferevent.
 *
 * The kernel reports the error of a connection once, to the call on its socket that comes first. If
 * that is a write, the read that follows returns 0, as it does when the peer has ended its side. So
 * an end that was read is the peer's own only if no call has failed before it and no error is left
 * to be reported.
 *
 * A write that fails says that no more can be sent. What the peer had sent before is still to be
 * read, and may complete a response.
 */

/**
 * anvil_stream_state_t - state of a connection
 * @ANVIL_STREAM_OPEN: more bytes may arrive
 * @ANVIL_STREAM_ENDED: the peer has ended its side, and nothing was lost
 * @ANVIL_STREAM_BROKEN: it failed or timed out; what has arrived may be a part
 */
typedef enum
{
  ANVIL_STREAM_OPEN,
  ANVIL_STREAM_ENDED,
  ANVIL_STREAM_BROKEN,
} anvil_stream_state_t;

/**
 * anvil_stream_end_t - what is known of the end of a connection; zero-initialised for a new one
 * @write_failed: a write has failed
 */
typedef struct
{
  gboolean write_failed;
} anvil_stream_end_t;

/**
 * anvil_stream_end_update - state of a connection after events of its bufferevent
 * @stream: a bufferevent of a socket
 * @events: what its event callback was called with. With BEV_OPT_DEFER_CALLBACKS these may be the
 *   events of several calls on the socket
 *
 * A response without a length is complete only at ANVIL_STREAM_ENDED.
 */
anvil_stream_state_t
anvil_stream_end_update (anvil_stream_end_t *end, struct bufferevent *stream, short events);
