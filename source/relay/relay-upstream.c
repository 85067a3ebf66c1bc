#include "relay/relay-upstream-internal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "anvil/log.h"

/* Longest time to connect: some round trips between far regions. */
#define CONNECT_TIMEOUT (400 * ANVIL_MS)
/* Bytes that the other end hasn't acknowledged for this long end a connection: several round trips
 * and a lost packet. */
#define UNACKNOWLEDGED_MS 900
/* An upstream that is silent while it works is asked whether its host lives: after this many
 * seconds, this many times. */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_PROBES 2
/* Connections are kept unused this long unless the upstream says otherwise. */
#define DEFAULT_KEEP (4 * ANVIL_SECOND)
/* A request that must not run twice is sent on a kept connection only if that was used this lately:
 * the older, the likelier its other end has gone unnoticed. */
#define FRESH_FOR_UNSAFE (1500 * ANVIL_MS)
/* Answers of other requests that are thrown away while one is waited for. */
#define MAX_STRAYS 4
#define SWEEP_PERIOD_S 1

static void
link_free (link_t *link)
{
  bufferevent_free (link->stream);
  g_free (link);
}

/* Ends a connection whose exchange is given up. An orderly close would let the kernel go on sending
 * what a cut has held up, for many seconds, and the upstream could run it long after its caller was
 * answered; a reset drops it. */
static void
link_abort (link_t *link)
{
  const struct linger at_once = { .l_onoff = 1, .l_linger = 0 };
  evutil_socket_t fd = bufferevent_getfd (link->stream);

  if (fd >= 0 && setsockopt (fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once) != 0)
    anvil_log (ANVIL_LOG_WARNING, "upstream", "connection is closed in order error=\"%s\"",
               g_strerror (errno));
  link_free (link);
}

static void
run_free (anvil_relay_attempt_t *run)
{
  g_free (run->id);
  g_free (run->upstream_id);
  g_string_free (run->field, TRUE);
  g_string_free (run->value, TRUE);
  g_string_free (run->headers, TRUE);
  evbuffer_free (run->body);
  g_free (run->answer_id);
  g_free (run->answer_upstream);
  g_free (run);
}

static GQueue *
kept_links (anvil_relay_upstream_pool_t *pool, guint64 upstream)
{
  return g_hash_table_lookup (pool->kept, &upstream);
}

static void
keep (link_t *link)
{
  anvil_relay_upstream_pool_t *pool = link->pool;
  GQueue *links = kept_links (pool, link->upstream);

  if (links == NULL)
    {
      links = g_queue_new ();
      g_hash_table_insert (pool->kept, g_memdup2 (&link->upstream, sizeof link->upstream), links);
    }
  link->used_at = anvil_clock_now ();
  g_queue_push_head (links, link);
}

static void
unkeep (link_t *link)
{
  GQueue *links = kept_links (link->pool, link->upstream);

  g_queue_remove (links, link);
  if (g_queue_is_empty (links))
    g_hash_table_remove (link->pool->kept, &link->upstream);
}

/* Ends a run and tells; its link has been dealt with. */
static void
finish (anvil_relay_attempt_t *run, const anvil_relay_attempt_outcome_t *outcome)
{
  run->done (run->context, outcome);
  run_free (run);
}

/* Whether any byte of the request has left. The word that a connection is up may come after its
 * first bytes have gone out, so it doesn't tell. */
static gboolean
has_sent (const anvil_relay_attempt_t *run)
{
  return evbuffer_get_length (bufferevent_get_output (run->link->stream)) < run->length;
}

/* No usable answer comes any more. */
static void
fail (anvil_relay_attempt_t *run, anvil_run_result_t result, const char *reason)
{
  const anvil_relay_attempt_outcome_t outcome
      = { .result = result, .reason = reason, .duration = anvil_clock_now () - run->started_at };

  link_abort (run->link);
  finish (run, &outcome);
}

/* The request's own answer is whole: keeps the connection if nothing speaks against it. */
static void
complete (anvil_relay_attempt_t *run, gboolean keep_alive)
{
  link_t *link = run->link;
  anvil_relay_attempt_outcome_t outcome = run_judge (run);
  gboolean reusable = keep_alive && !link->closing && run->strays == 0 && link->keep > 0
                      && outcome.result != ANVIL_RUN_INTERRUPTED && !outcome.misdirected
                      && evbuffer_get_length (bufferevent_get_input (link->stream)) == 0
                      && evbuffer_get_length (bufferevent_get_output (link->stream)) == 0;

  link->run = NULL;
  if (reusable)
    keep (link);
  else
    link_free (link);
  finish (run, &outcome);
}

/* An answer was read whole; FALSE if its run has ended. */
static gboolean
on_answer (anvil_relay_attempt_t *run)
{
  gboolean keep_alive = http_should_keep_alive (&run->parser);

  run->ended = FALSE;
  if (run->parser.status_code < 200)
    return TRUE;
  if (run_is_ours (run))
    {
      complete (run, keep_alive);
      return FALSE;
    }
  run->strays++;
  run->link->pool->counters.mismatched_responses++;
  anvil_log (ANVIL_LOG_NOTICE, "upstream",
             "answer to another request thrown away upstream=%s request=%s answer_to=%s",
             run->upstream_id, run->id, run->answer_id != NULL ? run->answer_id : "-");
  if (keep_alive && run->strays <= MAX_STRAYS)
    return TRUE;
  fail (run, ANVIL_RUN_INTERRUPTED, "answers belong to other requests");
  return FALSE;
}

static void
on_read (struct bufferevent *stream, void *data)
{
  link_t *link = data;
  struct evbuffer *input = bufferevent_get_input (stream);
  anvil_relay_attempt_t *run = link->run;
  struct evbuffer_iovec piece;

  if (run == NULL)
    {
      /* Bytes that belong to no request. */
      unkeep (link);
      link_free (link);
      return;
    }
  while (evbuffer_peek (input, -1, NULL, &piece, 1) >= 1 && piece.iov_len > 0)
    {
      size_t parsed = run_parse (run, piece.iov_base, piece.iov_len);

      evbuffer_drain (input, parsed);
      if (run->ended)
        {
          http_parser_pause (&run->parser, 0);
          if (!on_answer (run))
            return;
          continue;
        }
      if (HTTP_PARSER_ERRNO (&run->parser) != HPE_OK || run->parser.upgrade)
        {
          fail (run, ANVIL_RUN_INTERRUPTED, "answer can't be read");
          return;
        }
    }
}

/* The other end closed in order, which may be the end of an answer without a length. */
static void
on_end_of_stream (link_t *link)
{
  anvil_relay_attempt_t *run = link->run;

  run_parse (run, NULL, 0);
  if (run->ended && run_is_ours (run))
    complete (run, FALSE);
  else
    fail (run, ANVIL_RUN_INTERRUPTED, "upstream closed before the end of its answer");
}

static void
set_socket_options (evutil_socket_t fd)
{
  unsigned int unacknowledged = UNACKNOWLEDGED_MS;
  int on = 1;
  int idle = KEEPALIVE_IDLE_S;
  int probes = KEEPALIVE_PROBES;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged, sizeof unacknowledged);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &idle, sizeof idle);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

static void
on_event (struct bufferevent *stream, short what, void *data)
{
  link_t *link = data;

  if ((what & BEV_EVENT_CONNECTED) != 0)
    {
      bufferevent_set_timeouts (stream, NULL, NULL);
      return;
    }
  if (link->run == NULL)
    {
      unkeep (link);
      link_free (link);
    }
  else if (!has_sent (link->run))
    fail (link->run, ANVIL_RUN_CONNECT_FAILED,
          (what & BEV_EVENT_TIMEOUT) != 0 ? "no connection in time" : "connection refused");
  else if ((what & BEV_EVENT_EOF) != 0)
    on_end_of_stream (link);
  else
    fail (link->run, ANVIL_RUN_INTERRUPTED, "connection reset");
}

static link_t *
link_open (anvil_relay_upstream_pool_t *pool, const anvil_relay_upstream_request_t *send)
{
  struct timeval patience
      = anvil_time_to_timeval (MIN (CONNECT_TIMEOUT, MAX (send->timeout, ANVIL_MS)));
  struct sockaddr_in local = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (pool->local) };
  struct sockaddr_in remote = { .sin_family = AF_INET,
                                .sin_port = htons (send->port),
                                .sin_addr.s_addr = htonl (send->address) };
  evutil_socket_t fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  link_t *link = g_new0 (link_t, 1);

  link->pool = pool;
  link->upstream = send->upstream_key;
  link->address = send->address;
  link->port = send->port;
  link->keep = DEFAULT_KEEP;
  if (fd >= 0)
    {
      set_socket_options (fd);
      if (pool->local != 0 && bind (fd, (struct sockaddr *) &local, sizeof local) != 0)
        anvil_log (ANVIL_LOG_WARNING, "upstream", "can't bind to the own address, another is used");
    }
  link->stream
      = bufferevent_socket_new (pool->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb (link->stream, on_read, NULL, on_event, link);
  bufferevent_set_timeouts (link->stream, NULL, &patience);
  /* A failure is reported by the deferred event callback. */
  bufferevent_socket_connect (link->stream, (struct sockaddr *) &remote, sizeof remote);
  bufferevent_enable (link->stream, EV_READ | EV_WRITE);
  pool->counters.connections_opened++;
  return link;
}

/* A kept connection that may carry the request, or NULL. */
static link_t *
take_kept (anvil_relay_upstream_pool_t *pool, const anvil_relay_upstream_request_t *send)
{
  GQueue *links = kept_links (pool, send->upstream_key);
  link_t *link = links != NULL ? g_queue_peek_head (links) : NULL;
  anvil_time_t unused;

  if (link == NULL)
    return NULL;
  unused = anvil_clock_now () - link->used_at;
  if (link->address != send->address || link->port != send->port || unused > link->keep
      || (!send->idempotent && unused > FRESH_FOR_UNSAFE))
    return NULL;
  unkeep (link);
  link->reused = TRUE;
  pool->counters.connections_reused++;
  return link;
}

static void
write_request (anvil_relay_attempt_t *run, const anvil_relay_upstream_request_t *send)
{
  const anvil_header_names_t *wire = run->link->pool->wire;
  struct evbuffer *out = bufferevent_get_output (run->link->stream);
  gsize length = evbuffer_get_length (send->body);
  gboolean body_expected = length > 0 || strcmp (send->method, "POST") == 0
                           || strcmp (send->method, "PUT") == 0
                           || strcmp (send->method, "PATCH") == 0;

  evbuffer_add_printf (out, "%s %s HTTP/1.1\r\n", send->method, send->target);
  evbuffer_add (out, send->headers->str, send->headers->len);
  evbuffer_add_printf (out, "%s: %" G_GINT64_FORMAT "\r\n%s: %s\r\n", wire->timeout_ms,
                       MAX (send->timeout / ANVIL_MS, 1), wire->expected_upstream,
                       send->upstream_id);
  if (body_expected)
    evbuffer_add_printf (out, "Content-Length: %zu\r\n", length);
  evbuffer_add (out, "\r\n", 2);
  if (length > 0)
    evbuffer_add (out, evbuffer_pullup (send->body, -1), length);
  run->length = evbuffer_get_length (out);
}

anvil_relay_attempt_t *
anvil_relay_attempt_start (anvil_relay_upstream_pool_t *pool,
                           const anvil_relay_upstream_request_t *send,
                           anvil_relay_attempt_cb_t done,
                           void *context)
{
  anvil_relay_attempt_t *run = g_new0 (anvil_relay_attempt_t, 1);

  run->done = done;
  run->context = context;
  run->id = g_strdup (send->id);
  run->upstream_id = g_strdup (send->upstream_id);
  run->head = strcmp (send->method, "HEAD") == 0;
  run->started_at = anvil_clock_now ();
  run->field = g_string_new (NULL);
  run->value = g_string_new (NULL);
  run->headers = g_string_new (NULL);
  run->body = evbuffer_new ();
  http_parser_init (&run->parser, HTTP_RESPONSE);
  run->parser.data = run;
  run->link = take_kept (pool, send);
  if (run->link == NULL)
    run->link = link_open (pool, send);
  run->link->run = run;
  write_request (run, send);
  return run;
}

gboolean
anvil_relay_attempt_cancel (anvil_relay_attempt_t *run)
{
  gboolean sent = has_sent (run);

  link_abort (run->link);
  run_free (run);
  return sent;
}

void
anvil_relay_upstream_pool_close_idle (anvil_relay_upstream_pool_t *pool, guint64 upstream)
{
  GQueue *links = kept_links (pool, upstream);

  if (links == NULL)
    return;
  for (GList *item = links->head; item != NULL; item = item->next)
    link_free (item->data);
  g_hash_table_remove (pool->kept, &upstream);
}

/* Closes connections that were unused for too long; the oldest are at the end. */
static void
on_sweep (evutil_socket_t unused_fd, short unused_what, void *data)
{
  anvil_relay_upstream_pool_t *pool = data;
  anvil_time_t now = anvil_clock_now ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->kept);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      GQueue *links = value;
      link_t *oldest;

      while ((oldest = g_queue_peek_tail (links)) != NULL && now - oldest->used_at > oldest->keep)
        link_free (g_queue_pop_tail (links));
      if (g_queue_is_empty (links))
        g_hash_table_iter_remove (&iter);
    }
}

anvil_relay_upstream_pool_t *
anvil_relay_upstream_pool_open (struct event_base *base,
                                const anvil_header_names_t *wire,
                                guint32 local)
{
  anvil_relay_upstream_pool_t *pool = g_new0 (anvil_relay_upstream_pool_t, 1);
  const struct timeval period = { .tv_sec = SWEEP_PERIOD_S };

  pool->base = base;
  pool->wire = wire;
  pool->local = local;
  pool->kept
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, (GDestroyNotify) g_queue_free);
  pool->sweep = event_new (base, -1, EV_PERSIST, on_sweep, pool);
  event_add (pool->sweep, &period);
  return pool;
}

void
anvil_relay_upstream_pool_close (anvil_relay_upstream_pool_t *pool)
{
  GHashTableIter iter;
  gpointer value;

  if (pool == NULL)
    return;
  g_hash_table_iter_init (&iter, pool->kept);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      GQueue *links = value;

      for (GList *item = links->head; item != NULL; item = item->next)
        link_free (item->data);
    }
  g_hash_table_unref (pool->kept);
  event_free (pool->sweep);
  g_free (pool);
}

const anvil_relay_upstream_pool_counters_t *
anvil_relay_upstream_pool_counters (const anvil_relay_upstream_pool_t *pool)
{
  return &pool->counters;
}
