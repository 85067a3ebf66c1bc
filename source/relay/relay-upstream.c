#include "relay/relay-upstream-internal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <linux/sockios.h>

#include "anvil/largest.h"
#include "anvil/log.h"

/* Connect time-out: a few round trips between distant regions. */
#define CONNECT_TIMEOUT (400 * ANVIL_MS)
/* A connection whose sent bytes stay unacknowledged for this long is dropped. Covers several round
 * trips and a lost packet. */
#define UNACKNOWLEDGED_TIMEOUT_MS 900
/* Requests up to this size fit into any upstream's receive buffer. */
#define MAX_SHORT_REQUEST_BYTES (16u << 10)
#define PEER_CHECK_INTERVAL (250 * ANVIL_MS)
/* Probes of a closed window that may stay without an answer; one or two may be lost. */
#define MAX_UNANSWERED_PROBES 2
/* TCP keep-alive, which detects a dead host while an upstream sends nothing because it is still
 * working: idle time and interval in seconds, and the number of probes. */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_PROBES 2
/* Idle time-out of a connection whose upstream sends no Keep-Alive header. */
#define DEFAULT_IDLE_TIMEOUT (4 * ANVIL_SECOND)
/* Responses to other requests that are discarded on one connection before the attempt fails. */
#define MAX_MISMATCHED_RESPONSES 4

void
upstream_connection_close (upstream_connection_t *connection)
{
  bufferevent_free (connection->stream);
  g_free (connection);
}

/* Resets the connection of an attempt that failed or was cancelled. After an orderly close the
 * kernel would go on retransmitting what a network failure has held up, for many seconds, and the
 * upstream could run the request long after its caller was answered. */
static void
connection_reset (upstream_connection_t *connection)
{
  const struct linger no_linger = { .l_onoff = 1, .l_linger = 0 };
  evutil_socket_t fd = bufferevent_getfd (connection->stream);

  if (fd >= 0 && setsockopt (fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger) != 0)
    anvil_log (ANVIL_LOG_WARNING, "upstream",
               "can't set SO_LINGER, connection is closed without a reset error=\"%s\"",
               g_strerror (errno));
  upstream_connection_close (connection);
}

/* Ends the attempt's part in the pool, while it still has its connection. */
static void
leave_pool (anvil_relay_attempt_t *attempt)
{
  anvil_relay_upstream_pool_t *pool = attempt->connection->pool;

  pool->buffered_bytes -= evbuffer_get_length (attempt->body);
  g_hash_table_remove (pool->attempts, attempt);
}

static void
attempt_drop (anvil_relay_attempt_t *attempt)
{
  if (attempt->peer_timer != NULL)
    event_free (attempt->peer_timer);
  if (attempt->unsent != NULL)
    evbuffer_free (attempt->unsent);
  g_free (attempt->request_id);
  g_free (attempt->upstream_id);
  g_string_free (attempt->field_name, TRUE);
  g_string_free (attempt->field_value, TRUE);
  g_string_free (attempt->headers, TRUE);
  evbuffer_free (attempt->body);
  g_free (attempt->response_request_id);
  g_free (attempt->response_upstream_id);
  g_free (attempt);
}

/* Calls back and frees the attempt. The caller has already disposed of the connection. */
static void
attempt_finish (anvil_relay_attempt_t *attempt, const anvil_relay_attempt_outcome_t *outcome)
{
  attempt->done (attempt->context, outcome);
  attempt_drop (attempt);
}

/* Whether any byte of the request has been sent. BEV_EVENT_CONNECTED can't tell, since it may be
 * delivered after the first bytes were written. */
static gboolean
is_request_sent (const anvil_relay_attempt_t *attempt)
{
  return attempt->unsent == NULL
         && evbuffer_get_length (bufferevent_get_output (attempt->connection->stream))
                < attempt->request_bytes;
}

static void
attempt_abort (anvil_relay_attempt_t *attempt, const anvil_relay_attempt_outcome_t *outcome)
{
  leave_pool (attempt);
  connection_reset (attempt->connection);
  attempt_finish (attempt, outcome);
}

/* Ends an attempt for which no usable response can arrive any more. */
static void
attempt_fail (anvil_relay_attempt_t *attempt, anvil_run_result_t result, const char *reason)
{
  attempt_abort (attempt, &(anvil_relay_attempt_outcome_t){ .result = result,
                                                            .reason = reason,
                                                            .duration = anvil_clock_now ()
                                                                        - attempt->started_at });
}

/* Ends an attempt with its complete response, and keeps the connection if it can be reused. */
static void
attempt_complete (anvil_relay_attempt_t *attempt, gboolean keep_alive)
{
  upstream_connection_t *connection = attempt->connection;
  anvil_relay_attempt_outcome_t outcome = attempt_classify_response (attempt);
  gboolean reusable = keep_alive && connection->n_requests < MAX_CONNECTION_REQUESTS
                      && !connection->close_after_response && attempt->n_mismatched == 0
                      && connection->idle_timeout > 0 && outcome.result != ANVIL_RUN_INTERRUPTED
                      && !outcome.misdirected && !attempt->announcement.leaving
                      && evbuffer_get_length (bufferevent_get_input (connection->stream)) == 0
                      && evbuffer_get_length (bufferevent_get_output (connection->stream)) == 0;

  leave_pool (attempt);
  connection->attempt = NULL;
  if (reusable)
    pool_add_idle (connection);
  else
    upstream_connection_close (connection);
  attempt_finish (attempt, &outcome);
}

/* Handles a complete response. Returns FALSE if the attempt has ended. */
static gboolean
on_response (anvil_relay_attempt_t *attempt)
{
  gboolean keep_alive = http_should_keep_alive (&attempt->parser);

  attempt->response_complete = FALSE;
  if (attempt->parser.status_code < 200)
    return TRUE;
  if (attempt_response_matches (attempt))
    {
      attempt_complete (attempt, keep_alive);
      return FALSE;
    }
  attempt->n_mismatched++;
  attempt->connection->pool->counters.mismatched_responses++;
  anvil_log (ANVIL_LOG_NOTICE, "upstream",
             "response to another request discarded upstream=%s request=%s answer_to=%s",
             attempt->upstream_id, attempt->request_id,
             attempt->response_request_id != NULL ? attempt->response_request_id : "-");
  if (keep_alive && attempt->n_mismatched <= MAX_MISMATCHED_RESPONSES)
    return TRUE;
  attempt_fail (attempt, ANVIL_RUN_INTERRUPTED, "responses carry ids of other requests");
  return FALSE;
}

static gint64
measure_body (gconstpointer value)
{
  const anvil_relay_attempt_t *attempt = value;

  return (gint64) evbuffer_get_length (attempt->body);
}

/* Gives up the longest responses while all together exceed the limit. It is an upstream that sends
 * without end whose responses are the longest. */
static void
enforce_buffer_limit (anvil_relay_upstream_pool_t *pool)
{
  while (pool->buffered_bytes > pool->max_buffered_bytes)
    {
      anvil_relay_attempt_t *attempt = anvil_find_largest (pool->attempts, measure_body);

      anvil_log (ANVIL_LOG_WARNING, "upstream",
                 "response given up, responses exceed their memory upstream=%s request=%s "
                 "bytes=%zu all_bytes=%zu limit=%zu",
                 attempt->upstream_id, attempt->request_id != NULL ? attempt->request_id : "-",
                 evbuffer_get_length (attempt->body), pool->buffered_bytes,
                 pool->max_buffered_bytes);
      pool->counters.oversized_responses++;
      attempt_fail (attempt, ANVIL_RUN_INTERRUPTED, "responses exceed their memory");
    }
}

static void
on_read (struct bufferevent *stream, void *data)
{
  upstream_connection_t *connection = data;
  struct evbuffer *input = bufferevent_get_input (stream);
  anvil_relay_upstream_pool_t *pool = connection->pool;
  anvil_relay_attempt_t *attempt = connection->attempt;
  struct evbuffer_iovec chunk;

  if (attempt == NULL)
    {
      /* Unsolicited bytes: they belong to no request, so the connection can't be reused. */
      pool_remove_idle (connection);
      upstream_connection_close (connection);
      return;
    }
  while (evbuffer_peek (input, -1, NULL, &chunk, 1) >= 1 && chunk.iov_len > 0)
    {
      size_t parsed = attempt_parse (attempt, chunk.iov_base, chunk.iov_len);

      evbuffer_drain (input, parsed);
      if (attempt->response_complete)
        {
          http_parser_pause (&attempt->parser, 0);
          if (!on_response (attempt))
            return;
        }
      else if (attempt_problem (attempt) != NULL)
        {
          attempt_fail (attempt, ANVIL_RUN_INTERRUPTED, attempt_problem (attempt));
          return;
        }
      if (attempt_has_excessive_framing (attempt))
        {
          pool->counters.oversized_responses++;
          attempt_fail (attempt, ANVIL_RUN_INTERRUPTED, "too many bytes outside of a body");
          return;
        }
    }
  enforce_buffer_limit (pool);
}

/* The upstream ended its side, which may mark the end of a response without a length. */
static void
on_end (upstream_connection_t *connection)
{
  anvil_relay_attempt_t *attempt = connection->attempt;

  attempt_parse (attempt, NULL, 0);
  if (attempt->response_complete && attempt_response_matches (attempt))
    attempt_complete (attempt, FALSE);
  else
    attempt_fail (attempt, ANVIL_RUN_INTERRUPTED,
                  "upstream closed the connection before the end of its response");
}

/* Logs which calls on the socket learnt of the end of a connection: a response without a length is
 * whole or not by that. */
static void
log_end (const anvil_relay_attempt_t *attempt, short events)
{
  const upstream_connection_t *connection = attempt->connection;
  const gboolean end_read = (events & BEV_EVENT_EOF) != 0;
  const gboolean read_failed
      = !end_read && (events & BEV_EVENT_READING) != 0 && (events & BEV_EVENT_ERROR) != 0;

  anvil_log (ANVIL_LOG_INFO, "upstream",
             "connection ended before the response upstream=%s request=%s reused=%d end_read=%d "
             "read_failed=%d write_failed=%d in_body=%d body_bytes=%zu unsent_bytes=%zu",
             attempt->upstream_id, attempt->request_id != NULL ? attempt->request_id : "-",
             connection->reused, end_read, read_failed, connection->end.write_failed,
             attempt->in_body, attempt->body_bytes,
             evbuffer_get_length (bufferevent_get_output (connection->stream)));
}

static void
set_socket_options (evutil_socket_t fd)
{
  int on = 1;
  int idle_s = KEEPALIVE_IDLE_S;
  int probes = KEEPALIVE_PROBES;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &idle_s, sizeof idle_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

/* Sends the request on a connection that has just been established. Opening it takes up to
 * CONNECT_TIMEOUT, and longer if the event loop is late; the upstream may have left meanwhile. */
static void
send_unsent (anvil_relay_attempt_t *attempt)
{
  upstream_connection_t *connection = attempt->connection;
  anvil_relay_upstream_pool_t *pool = connection->pool;
  const char *reason = pool->withhold != NULL
                           ? pool->withhold (pool->withhold_context, connection->upstream_key,
                                             attempt->upstream_started_at)
                           : NULL;

  if (reason != NULL)
    {
      anvil_log (ANVIL_LOG_INFO, "upstream",
                 "request withheld after its connection was opened upstream=%s request=%s "
                 "reason=%s took_ms=%" G_GINT64_FORMAT,
                 attempt->upstream_id, attempt->request_id != NULL ? attempt->request_id : "-",
                 reason, (anvil_clock_now () - attempt->started_at) / ANVIL_MS);
      attempt_abort (attempt, &(anvil_relay_attempt_outcome_t){ .result = ANVIL_RUN_CONNECT_FAILED,
                                                                .reason = "request withheld",
                                                                .withheld = TRUE });
      return;
    }
  evbuffer_add_buffer (bufferevent_get_output (connection->stream), attempt->unsent);
  evbuffer_free (g_steal_pointer (&attempt->unsent));
}

static void
on_event (struct bufferevent *stream, short events, void *data)
{
  upstream_connection_t *connection = data;
  const anvil_stream_state_t state = anvil_stream_end_update (&connection->end, stream, events);

  if ((events & BEV_EVENT_CONNECTED) != 0)
    bufferevent_set_timeouts (stream, NULL, NULL);
  if (state == ANVIL_STREAM_OPEN)
    {
      if (connection->attempt != NULL && connection->attempt->unsent != NULL)
        send_unsent (connection->attempt);
      return;
    }
  if (connection->attempt == NULL)
    {
      pool_remove_idle (connection);
      upstream_connection_close (connection);
      return;
    }
  log_end (connection->attempt, events);
  if (!is_request_sent (connection->attempt))
    attempt_fail (connection->attempt, ANVIL_RUN_CONNECT_FAILED,
                  (events & BEV_EVENT_TIMEOUT) != 0
                      ? "connect timed out"
                      : "connection failed before the request was sent");
  else if (state == ANVIL_STREAM_ENDED)
    on_end (connection);
  else
    attempt_fail (connection->attempt, ANVIL_RUN_INTERRUPTED,
                  "connection failed after the request was sent");
}

static upstream_connection_t *
connection_open (anvil_relay_upstream_pool_t *pool, const anvil_relay_upstream_request_t *request)
{
  struct timeval timeout
      = anvil_time_to_timeval (MIN (CONNECT_TIMEOUT, MAX (request->timeout, ANVIL_MS)));
  struct sockaddr_in local
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (pool->local_address) };
  struct sockaddr_in remote = { .sin_family = AF_INET,
                                .sin_port = htons (request->port),
                                .sin_addr.s_addr = htonl (request->address) };
  evutil_socket_t fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  upstream_connection_t *connection = g_new0 (upstream_connection_t, 1);

  connection->pool = pool;
  connection->upstream_key = request->upstream_key;
  connection->address = request->address;
  connection->port = request->port;
  connection->idle_timeout = DEFAULT_IDLE_TIMEOUT;
  if (fd >= 0)
    {
      set_socket_options (fd);
      if (pool->local_address != 0 && bind (fd, (struct sockaddr *) &local, sizeof local) != 0)
        anvil_log (ANVIL_LOG_WARNING, "upstream",
                   "can't bind to the configured local address, the kernel chooses one");
    }
  connection->stream
      = bufferevent_socket_new (pool->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb (connection->stream, on_read, NULL, on_event, connection);
  bufferevent_set_timeouts (connection->stream, NULL, &timeout);
  anvil_byte_counts_watch (&pool->counters.bytes, connection->stream);
  /* Errors are reported to the deferred event callback. */
  bufferevent_socket_connect (connection->stream, (struct sockaddr *) &remote, sizeof remote);
  bufferevent_enable (connection->stream, EV_READ | EV_WRITE);
  pool->counters.connections_opened++;
  return connection;
}

static void
connection_set_user_timeout (upstream_connection_t *connection, unsigned int timeout_ms)
{
  evutil_socket_t fd = bufferevent_getfd (connection->stream);

  if (connection->user_timeout_ms == timeout_ms)
    return;
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
  connection->user_timeout_ms = timeout_ms;
}

/* Whether the upstream has stopped acknowledging what is sent. One that doesn't read, so that its
 * window is closed, still acknowledges each probe. */
static gboolean
is_peer_silent (const anvil_relay_attempt_t *attempt, const struct tcp_info *info)
{
  const anvil_time_t sending_for = anvil_clock_now () - attempt->started_at;

  return (info->tcpi_retransmits > 0 || info->tcpi_probes > MAX_UNANSWERED_PROBES)
         && info->tcpi_last_ack_recv >= UNACKNOWLEDGED_TIMEOUT_MS
         && sending_for >= UNACKNOWLEDGED_TIMEOUT_MS * ANVIL_MS;
}

static gboolean
is_request_acknowledged (const anvil_relay_attempt_t *attempt)
{
  struct bufferevent *stream = attempt->connection->stream;
  int unacknowledged;

  return attempt->unsent == NULL && evbuffer_get_length (bufferevent_get_output (stream)) == 0
         && ioctl (bufferevent_getfd (stream), SIOCOUTQ, &unacknowledged) == 0
         && unacknowledged == 0;
}

static void
on_peer_timer (evutil_socket_t unused_fd, short unused_events, void *data)
{
  anvil_relay_attempt_t *attempt = data;
  const struct timeval interval = anvil_time_to_timeval (PEER_CHECK_INTERVAL);
  struct tcp_info info;
  socklen_t length = sizeof info;

  if (is_request_acknowledged (attempt))
    connection_set_user_timeout (attempt->connection, UNACKNOWLEDGED_TIMEOUT_MS);
  else if (getsockopt (bufferevent_getfd (attempt->connection->stream), IPPROTO_TCP, TCP_INFO,
                       &info, &length)
               == 0
           && is_peer_silent (attempt, &info))
    attempt_fail (attempt, ANVIL_RUN_INTERRUPTED, "upstream stopped acknowledging the request");
  else
    evtimer_add (attempt->peer_timer, &interval);
}

/* TCP_USER_TIMEOUT drops a connection also while the peer's window is closed, so it can't be short
 * for a request that may fill the window: the upstream may read on later. */
static void
detect_silent_peer (anvil_relay_attempt_t *attempt, anvil_time_t timeout)
{
  upstream_connection_t *connection = attempt->connection;
  const struct timeval interval = anvil_time_to_timeval (PEER_CHECK_INTERVAL);

  if (attempt->request_bytes <= MAX_SHORT_REQUEST_BYTES)
    {
      connection_set_user_timeout (connection, UNACKNOWLEDGED_TIMEOUT_MS);
      return;
    }
  connection_set_user_timeout (
      connection, (unsigned int) CLAMP (timeout / ANVIL_MS, UNACKNOWLEDGED_TIMEOUT_MS, G_MAXINT));
  attempt->peer_timer = evtimer_new (connection->pool->base, on_peer_timer, attempt);
  evtimer_add (attempt->peer_timer, &interval);
}

static void
write_request (anvil_relay_attempt_t *attempt,
               const anvil_relay_upstream_request_t *request,
               struct evbuffer *out)
{
  const anvil_header_names_t *header_names = attempt->connection->pool->header_names;
  gsize length = evbuffer_get_length (request->body);
  gboolean body_expected = length > 0 || strcmp (request->method, "POST") == 0
                           || strcmp (request->method, "PUT") == 0
                           || strcmp (request->method, "PATCH") == 0;

  evbuffer_add_printf (out, "%s %s HTTP/1.1\r\n", request->method, request->target);
  evbuffer_add (out, request->headers->str, request->headers->len);
  evbuffer_add_printf (out, "%s: %" G_GINT64_FORMAT "\r\n%s: %s\r\n", header_names->timeout_ms,
                       MAX (request->timeout / ANVIL_MS, 1), header_names->expected_upstream,
                       request->upstream_id);
  if (body_expected)
    evbuffer_add_printf (out, "Content-Length: %zu\r\n", length);
  evbuffer_add (out, "\r\n", 2);
  if (length > 0)
    evbuffer_add (out, evbuffer_pullup (request->body, -1), length);
  attempt->request_bytes = evbuffer_get_length (out);
}

anvil_relay_attempt_t *
anvil_relay_attempt_start (anvil_relay_upstream_pool_t *pool,
                           const anvil_relay_upstream_request_t *request,
                           anvil_relay_attempt_cb_t done,
                           void *context)
{
  anvil_relay_attempt_t *attempt = g_new0 (anvil_relay_attempt_t, 1);

  attempt->done = done;
  attempt->announced = request->announced;
  attempt->context = context;
  attempt->request_id = g_strdup (request->id);
  attempt->upstream_id = g_strdup (request->upstream_id);
  attempt->is_head = strcmp (request->method, "HEAD") == 0;
  attempt->started_at = anvil_clock_now ();
  attempt->field_name = g_string_new (NULL);
  attempt->field_value = g_string_new (NULL);
  attempt->headers = g_string_new (NULL);
  attempt->body = evbuffer_new ();
  http_parser_init (&attempt->parser, HTTP_RESPONSE);
  attempt->parser.data = attempt;
  attempt->upstream_started_at = request->started_at;
  attempt->connection = pool_take_idle (pool, request);
  if (attempt->connection == NULL)
    {
      attempt->connection = connection_open (pool, request);
      attempt->unsent = evbuffer_new ();
    }
  attempt->connection->attempt = attempt;
  upstream_connection_add_request (attempt->connection, request->id);
  g_hash_table_add (pool->attempts, attempt);
  write_request (attempt, request,
                 attempt->unsent != NULL ? attempt->unsent
                                         : bufferevent_get_output (attempt->connection->stream));
  detect_silent_peer (attempt, request->timeout);
  return attempt;
}

anvil_run_result_t
anvil_relay_outcome_result (const anvil_relay_attempt_outcome_t *outcome)
{
  return outcome->withheld ? ANVIL_RUN_UNUSED : outcome->result;
}

gboolean
anvil_relay_attempt_cancel (anvil_relay_attempt_t *attempt)
{
  gboolean sent = is_request_sent (attempt);

  leave_pool (attempt);
  connection_reset (attempt->connection);
  attempt_drop (attempt);
  return sent;
}

gboolean
anvil_relay_attempt_has_unread_bytes (const anvil_relay_attempt_t *attempt)
{
  return upstream_connection_has_unread_bytes (attempt->connection);
}
