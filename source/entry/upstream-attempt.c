#include "upstream-attempt.h"

#include <string.h>
#include <strings.h>

#include "http-headers.h"

/* Longest time to open a connection. */
#define CONNECT_TIMEOUT (1 * ANVIL_SECOND)
/* Least time-out that is given to the library; a deadline that has passed is met by the timer. */
#define MIN_LIBRARY_TIMEOUT (1 * ANVIL_MS)

struct anvil_attempt
{
  anvil_upstream_pool_t *pool;
  anvil_upstream_connection_t *connection;
  struct evhttp_request *request;
  struct event *timer;
  anvil_upstream_request_t options;
  char *uri;
  anvil_attempt_cb_t done;
  void *context;
  gboolean starting;
  gboolean failed_at_start;
};

/*
 * Whether the answer's framing says where it ends. An answer that ends with
 * its connection can't be told from one that was cut.
 */
static gboolean
is_whole (const anvil_attempt_t *attempt, struct evhttp_request *response)
{
  const struct evkeyvalq *headers = evhttp_request_get_input_headers (response);
  int status = evhttp_request_get_response_code (response);
  guint n_lengths = anvil_headers_count (headers, "Content-Length");
  guint n_encodings = anvil_headers_count (headers, "Transfer-Encoding");

  if (attempt->options.method == EVHTTP_REQ_HEAD || status == HTTP_NOCONTENT
      || status == HTTP_NOTMODIFIED)
    return TRUE;
  if (n_encodings == 0)
    return n_lengths == 1;
  return n_encodings == 1 && n_lengths == 0
         && strcasecmp (evhttp_find_header (headers, "Transfer-Encoding"), "chunked") == 0;
}

static anvil_attempt_result_t
judge (const anvil_attempt_t *attempt, struct evhttp_request *response)
{
  const char *word;

  if (response == NULL || evhttp_request_get_response_code (response) == 0)
    return anvil_upstream_connection_maybe_sent (attempt->connection) ? ANVIL_ATTEMPT_UNKNOWN
                                                                      : ANVIL_ATTEMPT_NOT_RUN;
  if (!is_whole (attempt, response))
    return ANVIL_ATTEMPT_UNKNOWN;
  if (evhttp_request_get_response_code (response) != HTTP_SERVUNAVAIL)
    return ANVIL_ATTEMPT_ANSWERED;
  word = evhttp_find_header (evhttp_request_get_input_headers (response), "Anvil-Upstream");
  if (word != NULL && strcmp (word, "shed") == 0)
    return ANVIL_ATTEMPT_NOT_RUN;
  if (word != NULL && strcmp (word, "draining") == 0)
    return ANVIL_ATTEMPT_DRAINING;
  return ANVIL_ATTEMPT_ANSWERED;
}

static gboolean
may_reuse (const anvil_attempt_t *attempt, struct evhttp_request *response)
{
  const char *connection;

  if (response == NULL || evhttp_request_get_response_code (response) == 0
      || !is_whole (attempt, response))
    return FALSE;
  connection = evhttp_find_header (evhttp_request_get_input_headers (response), "Connection");
  if (connection != NULL && strcasecmp (connection, "close") == 0)
    return FALSE;
  return anvil_upstream_connection_input_empty (attempt->connection);
}

static void
free_attempt (anvil_attempt_t *attempt)
{
  event_free (attempt->timer);
  g_free (attempt->uri);
  g_free (attempt);
}

static void
end_attempt (anvil_attempt_t *attempt, struct evhttp_request *response)
{
  anvil_attempt_result_t result = judge (attempt, response);

  if (may_reuse (attempt, response))
    anvil_upstream_pool_release (attempt->pool, attempt->connection);
  else
    anvil_upstream_connection_close (attempt->connection);
  attempt->done (attempt->context, result, result == ANVIL_ATTEMPT_ANSWERED ? response : NULL);
  free_attempt (attempt);
}

static void
on_response (struct evhttp_request *response, void *data)
{
  anvil_attempt_t *attempt = data;

  attempt->request = NULL;
  if (attempt->starting)
    {
      attempt->failed_at_start = TRUE;
      return;
    }
  end_attempt (attempt, response);
}

/* Ends the request without its callback. */
static void
abort_request (anvil_attempt_t *attempt)
{
  if (attempt->request != NULL)
    evhttp_cancel_request (attempt->request);
  attempt->request = NULL;
}

/* Connecting took too long, or the deadline has passed. */
static void
on_timer (evutil_socket_t fd, short what, void *data)
{
  anvil_attempt_t *attempt = data;
  anvil_time_t left = attempt->options.deadline - anvil_clock_now ();

  if (attempt->request != NULL && left > 0
      && anvil_upstream_connection_maybe_sent (attempt->connection))
    {
      struct timeval rest = { .tv_sec = left / ANVIL_SECOND, .tv_usec = left % ANVIL_SECOND };

      event_add (attempt->timer, &rest);
      return;
    }
  abort_request (attempt);
  end_attempt (attempt, NULL);
}

anvil_attempt_t *
anvil_attempt_new (anvil_upstream_pool_t *pool,
                   const anvil_upstream_request_t *order,
                   anvil_attempt_cb_t done,
                   void *context)
{
  anvil_attempt_t *attempt = g_new0 (anvil_attempt_t, 1);

  attempt->pool = pool;
  attempt->options = *order;
  attempt->uri = g_strdup (order->uri);
  attempt->done = done;
  attempt->context = context;
  attempt->request = evhttp_request_new (on_response, attempt);
  attempt->timer = evtimer_new (anvil_upstream_pool_base (pool), on_timer, attempt);
  return attempt;
}

struct evhttp_request *
anvil_attempt_request (const anvil_attempt_t *attempt)
{
  return attempt->request;
}

void
anvil_attempt_start (anvil_attempt_t *attempt)
{
  const anvil_upstream_request_t *order = &attempt->options;
  anvil_time_t left = MAX (order->deadline - anvil_clock_now (), 0);
  anvil_time_t wait = MIN (left, CONNECT_TIMEOUT);
  struct timeval timeout = { .tv_sec = wait / ANVIL_SECOND, .tv_usec = wait % ANVIL_SECOND };

  attempt->connection = anvil_upstream_pool_acquire (attempt->pool, order->address, order->port);
  anvil_upstream_connection_prepare (attempt->connection, MAX (left, MIN_LIBRARY_TIMEOUT),
                                     order->pace_bytes_per_s);
  attempt->starting = TRUE;
  if (evhttp_make_request (anvil_upstream_connection_http (attempt->connection), attempt->request,
                           order->method, attempt->uri)
      != 0)
    {
      attempt->request = NULL;
      attempt->failed_at_start = TRUE;
    }
  attempt->starting = FALSE;
  if (attempt->failed_at_start)
    timeout = (struct timeval){ 0 };
  event_add (attempt->timer, &timeout);
}

anvil_attempt_result_t
anvil_attempt_cancel (anvil_attempt_t *attempt)
{
  anvil_attempt_result_t result = judge (attempt, NULL);

  abort_request (attempt);
  anvil_upstream_connection_close (attempt->connection);
  free_attempt (attempt);
  return result;
}
