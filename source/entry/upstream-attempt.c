#include "upstream-attempt.h"

#include <string.h>
#include <strings.h>

#include "http-headers.h"
#include "net/http-response-head.h"

/* Time-out of opening a connection. */
#define UPSTREAM_CONNECT_TIMEOUT (1 * ANVIL_SECOND)
/* Minimum time-out that is passed to evhttp. If the deadline has passed already, the timer ends the
 * attempt. */
#define MIN_EVHTTP_TIMEOUT (1 * ANVIL_MS)

/* Length of a 64-bit number in hexadecimal. */
#define ATTEMPT_ID_LENGTH 16

struct anvil_attempt
{
  anvil_upstream_pool_t *pool;
  anvil_upstream_connection_t *connection;
  struct evhttp_request *request;
  struct event *timer;
  anvil_upstream_request_t target;
  char *uri;
  char id[ATTEMPT_ID_LENGTH + 1];
  anvil_attempt_cb_t done;
  void *context;
  gboolean starting;
  gboolean failed_at_start;
};

/*
 * Whether the framing of the response defines its end. A response that ends
 * with the connection can't be distinguished from a truncated one.
 */
static gboolean
is_complete (const anvil_attempt_t *attempt, struct evhttp_request *response)
{
  const struct evkeyvalq *headers = evhttp_request_get_input_headers (response);
  int status = evhttp_request_get_response_code (response);
  guint n_lengths = anvil_headers_count (headers, "Content-Length");
  guint n_encodings = anvil_headers_count (headers, "Transfer-Encoding");

  if (attempt->target.method == EVHTTP_REQ_HEAD || status == HTTP_NOCONTENT
      || status == HTTP_NOTMODIFIED)
    return TRUE;
  if (n_encodings == 0)
    return n_lengths == 1;
  return n_encodings == 1 && n_lengths == 0
         && strcasecmp (evhttp_find_header (headers, "Transfer-Encoding"), "chunked") == 0;
}

static gboolean
names_attempt (const anvil_attempt_t *attempt, struct evhttp_request *response)
{
  const struct evkeyvalq *headers = evhttp_request_get_input_headers (response);

  return anvil_headers_count (headers, ANVIL_ATTEMPT_ID) == 1
         && strcmp (evhttp_find_header (headers, ANVIL_ATTEMPT_ID), attempt->id) == 0;
}

/*
 * Whether the response answers this request. One that names no attempt may be
 * a late copy, except on a connection that has carried no other request.
 */
static gboolean
is_own_response (const anvil_attempt_t *attempt, struct evhttp_request *response)
{
  const struct evkeyvalq *headers = evhttp_request_get_input_headers (response);

  if (anvil_headers_count (headers, ANVIL_ATTEMPT_ID) > 0)
    return names_attempt (attempt, response);
  return anvil_upstream_connection_is_new (attempt->connection);
}

static anvil_attempt_result_t
classify (const anvil_attempt_t *attempt, struct evhttp_request *response)
{
  const char *upstream_state;

  if (response == NULL
      || !anvil_http_status_is_final ((guint) evhttp_request_get_response_code (response)))
    return anvil_upstream_connection_maybe_sent (attempt->connection) ? ANVIL_ATTEMPT_UNKNOWN
                                                                      : ANVIL_ATTEMPT_NOT_RUN;
  if (!is_complete (attempt, response) || !is_own_response (attempt, response))
    return ANVIL_ATTEMPT_UNKNOWN;
  if (evhttp_request_get_response_code (response) != HTTP_SERVUNAVAIL)
    return ANVIL_ATTEMPT_ANSWERED;
  upstream_state
      = evhttp_find_header (evhttp_request_get_input_headers (response), "Anvil-Upstream");
  if (upstream_state != NULL && strcmp (upstream_state, "shed") == 0)
    return ANVIL_ATTEMPT_NOT_RUN;
  if (upstream_state != NULL && strcmp (upstream_state, "draining") == 0)
    return ANVIL_ATTEMPT_DRAINING;
  return ANVIL_ATTEMPT_ANSWERED;
}

static gboolean
is_reusable (const anvil_attempt_t *attempt, struct evhttp_request *response)
{
  const char *connection;

  if (response == NULL
      || !anvil_http_status_is_final ((guint) evhttp_request_get_response_code (response))
      || !is_complete (attempt, response) || !names_attempt (attempt, response))
    return FALSE;
  connection = evhttp_find_header (evhttp_request_get_input_headers (response), "Connection");
  if (connection != NULL && strcasecmp (connection, "close") == 0)
    return FALSE;
  return anvil_upstream_connection_input_empty (attempt->connection);
}

static void
drop_attempt (anvil_attempt_t *attempt)
{
  event_free (attempt->timer);
  g_free (attempt->uri);
  g_free (attempt);
}

static void
end_attempt (anvil_attempt_t *attempt, struct evhttp_request *response)
{
  anvil_attempt_result_t result = classify (attempt, response);

  if (is_reusable (attempt, response))
    anvil_upstream_pool_release (attempt->pool, attempt->connection);
  else
    anvil_upstream_connection_close (attempt->connection);
  attempt->done (attempt->context, result, result == ANVIL_ATTEMPT_ANSWERED ? response : NULL);
  drop_attempt (attempt);
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

/* Cancels the request; its callback is not called. */
static void
cancel_request (anvil_attempt_t *attempt)
{
  if (attempt->request != NULL)
    evhttp_cancel_request (attempt->request);
  attempt->request = NULL;
}

/* Ends the attempt if connecting has timed out or the deadline has passed. */
static void
on_timer (evutil_socket_t fd, short what, void *data)
{
  anvil_attempt_t *attempt = data;
  anvil_time_t time_left = attempt->target.deadline - anvil_clock_now ();

  if (attempt->request != NULL && time_left > 0
      && anvil_upstream_connection_maybe_sent (attempt->connection))
    {
      struct timeval timeout
          = { .tv_sec = time_left / ANVIL_SECOND, .tv_usec = time_left % ANVIL_SECOND };

      event_add (attempt->timer, &timeout);
      return;
    }
  cancel_request (attempt);
  end_attempt (attempt, NULL);
}

anvil_attempt_t *
anvil_attempt_new (anvil_upstream_pool_t *pool,
                   const anvil_upstream_request_t *target,
                   anvil_attempt_cb_t done,
                   void *context)
{
  anvil_attempt_t *attempt = g_new0 (anvil_attempt_t, 1);

  attempt->pool = pool;
  attempt->target = *target;
  attempt->uri = g_strdup (target->uri);
  g_snprintf (attempt->id, sizeof attempt->id, "%" G_GINT64_MODIFIER "x",
              anvil_upstream_pool_next_attempt (pool));
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
  const anvil_upstream_request_t *target = &attempt->target;
  struct evkeyvalq *headers = evhttp_request_get_output_headers (attempt->request);
  anvil_time_t time_left = MAX (target->deadline - anvil_clock_now (), 0);
  anvil_time_t connect_timeout = MIN (time_left, UPSTREAM_CONNECT_TIMEOUT);
  struct timeval timeout
      = { .tv_sec = connect_timeout / ANVIL_SECOND, .tv_usec = connect_timeout % ANVIL_SECOND };

  evhttp_remove_header (headers, ANVIL_ATTEMPT_ID);
  evhttp_add_header (headers, ANVIL_ATTEMPT_ID, attempt->id);
  attempt->connection = anvil_upstream_pool_acquire (attempt->pool, target->address, target->port);
  anvil_upstream_connection_prepare (attempt->connection, MAX (time_left, MIN_EVHTTP_TIMEOUT),
                                     target->pace_bytes_per_s);
  attempt->starting = TRUE;
  if (evhttp_make_request (anvil_upstream_connection_http (attempt->connection), attempt->request,
                           target->method, attempt->uri)
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
  anvil_attempt_result_t result = classify (attempt, NULL);

  cancel_request (attempt);
  anvil_upstream_connection_close (attempt->connection);
  drop_attempt (attempt);
  return result;
}
