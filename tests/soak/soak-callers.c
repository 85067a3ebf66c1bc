#include "soak-callers.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/http.h>

#include "anvil/clock.h"
#include "relay/http-status.h"

#define HOST "shop.example"
/* The route's time-out and some time for the network. */
#define RESPONSE_TIMEOUT_S 5
#define TICK_INTERVAL_US 10000
#define N_OBJECTS 12
#define MAX_REPEATS 3
#define MAX_REPEAT_DELAY_MS 300

typedef struct
{
  soak_callers_t *callers;
  soak_request_t *request;
  char *target;
  char *object;
  guint n_repeats;
  struct evhttp_connection *connection;
} call_t;

struct soak_callers
{
  struct event_base *base;
  const guint16 *ports;
  guint n_ports;
  GRand *random;
  gdouble per_tick;
  gdouble fault_ratio;
  gdouble refusal_ratio;
  GRand *refusal_random;
  gdouble n_due;
  struct event *tick;
  GPtrArray *requests;
  /* Idle connections, by entry. */
  GQueue *idle;
  guint64 run_id;
};

static void
request_free (gpointer data)
{
  soak_request_t *request = data;

  g_free (request->id);
  g_free (request->detail);
  g_free (request->leaving_id);
  g_free (request);
}

/* Returns what is wrong with a success response, or NULL. */
static char *
response_error (const call_t *call, struct evhttp_request *http)
{
  struct evkeyvalq *headers = evhttp_request_get_input_headers (http);
  struct evbuffer *body = evhttp_request_get_input_buffer (http);
  gsize length = evbuffer_get_length (body);
  const char *signature = evhttp_find_header (headers, "Server-Stamp");
  const char *id = evhttp_find_header (headers, "Request-Id");
  char *text = g_strndup ((const char *) evbuffer_pullup (body, -1), length);
  char *expected = g_strdup_printf (" %s %s 0", call->target, call->request->id);
  char *fault = NULL;

  if (signature == NULL)
    fault = g_strdup ("success without a signature");
  else if (g_strcmp0 (id, call->request->id) != 0)
    fault = g_strdup_printf ("response has request id %s", id != NULL ? id : "none");
  else if (!g_str_has_suffix (text, expected))
    fault = g_strdup_printf ("body \"%s\" instead of \"...%s\"", text, expected);
  g_free (expected);
  g_free (text);
  return fault;
}

static void
set_leaving_id (soak_request_t *request, struct evkeyvalq *headers)
{
  if (evhttp_find_header (headers, "Server-Leaving") != NULL)
    request->leaving_id = g_strdup (evhttp_find_header (headers, "Instance-Id"));
}

static void
set_outcome (call_t *call, struct evhttp_request *http)
{
  soak_request_t *request = call->request;

  request->ended_at = anvil_clock_wall ();
  request->status = http != NULL ? (guint) evhttp_request_get_response_code (http) : 0;
  if (http != NULL)
    set_leaving_id (request, evhttp_request_get_input_headers (http));
  if (anvil_http_status_is_promise (request->status))
    request->outcome = SOAK_REFUSED;
  else if (request->status == 200)
    {
      request->detail = response_error (call, http);
      request->outcome = request->detail != NULL ? SOAK_INVALID : SOAK_ANSWERED;
    }
  else
    request->outcome = SOAK_UNKNOWN;
}

/*
 * libevent doesn't allow a connection to be freed from its own callback, and frees it by itself
 * only after a response.
 */
static void
on_free_connection (evutil_socket_t unused_fd, short unused_what, void *data)
{
  evhttp_connection_free (data);
}

static void
call_free (call_t *call)
{
  g_free (call->target);
  g_free (call->object);
  g_free (call);
}

static void repeat_later (call_t *call);

static void
on_response (struct evhttp_request *http, void *data)
{
  call_t *call = data;
  soak_callers_t *callers = call->callers;
  const char *connection
      = http != NULL ? evhttp_find_header (evhttp_request_get_input_headers (http), "Connection")
                     : NULL;
  const struct timeval immediately = { 0 };

  set_outcome (call, http);
  if (call->request->status != 0 && g_strcmp0 (connection, "close") != 0)
    g_queue_push_tail (&callers->idle[call->request->entry], call->connection);
  else
    event_base_once (callers->base, -1, EV_TIMEOUT, on_free_connection, call->connection,
                     &immediately);
  if (call->request->outcome == SOAK_REFUSED && callers->refusal_ratio > 0
      && call->n_repeats < MAX_REPEATS)
    repeat_later (call);
  else
    call_free (call);
}

static struct evhttp_connection *
take_connection (soak_callers_t *callers, guint entry)
{
  struct evhttp_connection *connection = NULL;

  /* Two of three requests reuse an idle connection if there is one. */
  if (g_rand_int_range (callers->random, 0, 3) > 0)
    connection = g_queue_pop_head (&callers->idle[entry]);
  if (connection == NULL)
    connection
        = evhttp_connection_base_new (callers->base, NULL, "127.0.0.1", callers->ports[entry]);
  evhttp_connection_set_timeout (connection, RESPONSE_TIMEOUT_S);
  evhttp_connection_set_retries (connection, 0);
  return connection;
}

/* Sends a request; @call is freed after its response. */
static void
send_call (call_t *call)
{
  soak_request_t *request = call->request;
  struct evhttp_request *http = evhttp_request_new (on_response, call);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (http);

  request->sent_at = anvil_clock_wall ();
  evhttp_add_header (headers, "Host", HOST);
  evhttp_add_header (headers, "Request-Id", request->id);
  evhttp_add_header (headers, "Affinity-Key", call->object);
  evhttp_add_header (headers, "Deadline-Ms", "2000");
  if (evhttp_make_request (call->connection, http,
                           request->idempotent ? EVHTTP_REQ_GET : EVHTTP_REQ_POST, call->target)
      != 0)
    request->outcome = SOAK_UNKNOWN;
}

/* Sends a refused request again. */
static void
on_repeat (evutil_socket_t unused_fd, short unused_what, void *data)
{
  call_t *call = data;
  soak_callers_t *callers = call->callers;
  soak_request_t *refused = call->request;
  soak_request_t *request;

  if (callers->refusal_ratio <= 0)
    {
      call_free (call);
      return;
    }
  request = g_new0 (soak_request_t, 1);
  request->id = g_strdup (refused->id);
  request->idempotent = refused->idempotent;
  request->entry = refused->entry;
  refused->repeat = request;
  g_ptr_array_add (callers->requests, request);
  call->request = request;
  call->n_repeats++;
  call->connection = take_connection (callers, request->entry);
  send_call (call);
}

static void
repeat_later (call_t *call)
{
  const gint32 ms = g_rand_int_range (call->callers->refusal_random, 0, MAX_REPEAT_DELAY_MS);
  const struct timeval delay = { .tv_usec = (suseconds_t) ms * 1000 };

  event_base_once (call->callers->base, -1, EV_TIMEOUT, on_repeat, call, &delay);
}

static const char *
choose_response_fault (soak_callers_t *callers)
{
  static const char *const faults[]
      = { "reset",    "truncate", "garbage", "unsigned",     "error",
          "unframed", "stray",    "copies",  "endless-head", "endless-body" };

  if (callers->refusal_ratio > 0
      && g_rand_double (callers->refusal_random) < callers->refusal_ratio)
    return "refused-once";
  if (g_rand_double (callers->random) >= callers->fault_ratio)
    return "";
  return faults[g_rand_int_range (callers->random, 0, G_N_ELEMENTS (faults))];
}

/* Status of an upstream's error. Requests with an error run, whatever the status promises. */
static guint
choose_error_status (const soak_callers_t *callers)
{
  static const guint statuses[] = { 500, 503, 429, 408, 421 };

  return statuses[callers->requests->len % G_N_ELEMENTS (statuses)];
}

static void
send_request (soak_callers_t *callers)
{
  soak_request_t *request = g_new0 (soak_request_t, 1);
  call_t *call = g_new0 (call_t, 1);
  const char *fault = choose_response_fault (callers);
  char object[16];

  request->id
      = g_strdup_printf ("s%" G_GINT64_MODIFIER "x-%u", callers->run_id, callers->requests->len);
  request->idempotent = g_rand_boolean (callers->random);
  request->entry = (guint) g_rand_int_range (callers->random, 0, (gint32) callers->n_ports);
  g_ptr_array_add (callers->requests, request);
  g_snprintf (object, sizeof object, "%d", g_rand_int_range (callers->random, 0, N_OBJECTS));
  call->callers = callers;
  call->object = g_strdup (object);
  call->request = request;
  call->target
      = g_strdup_printf ("/%s/%s?fault=%s", request->idempotent ? "view" : "pay", object, fault);
  if (strcmp (fault, "error") == 0)
    {
      char *path = call->target;

      call->target = g_strdup_printf ("%s&status=%u", path, choose_error_status (callers));
      g_free (path);
    }
  call->connection = take_connection (callers, request->entry);
  send_call (call);
}

static void
on_tick (evutil_socket_t unused_fd, short unused_what, void *data)
{
  soak_callers_t *callers = data;

  for (callers->n_due += callers->per_tick; callers->n_due >= 1; callers->n_due -= 1)
    send_request (callers);
}

soak_callers_t *
soak_callers_open (struct event_base *base,
                   const guint16 *ports,
                   guint n_ports,
                   GRand *random,
                   gdouble per_second,
                   gdouble fault_ratio,
                   gdouble refusal_ratio,
                   GRand *refusal_random)
{
  soak_callers_t *callers = g_new0 (soak_callers_t, 1);
  const struct timeval period = { .tv_usec = TICK_INTERVAL_US };

  callers->base = base;
  callers->ports = ports;
  callers->n_ports = n_ports;
  callers->random = random;
  callers->per_tick = per_second * TICK_INTERVAL_US / (gdouble) ANVIL_SECOND;
  callers->fault_ratio = fault_ratio;
  callers->refusal_ratio = refusal_ratio;
  callers->refusal_random = refusal_random;
  callers->requests = g_ptr_array_new_with_free_func (request_free);
  callers->idle = g_new0 (GQueue, n_ports);
  callers->run_id = (guint64) anvil_clock_wall ();
  callers->tick = event_new (base, -1, EV_PERSIST, on_tick, callers);
  event_add (callers->tick, &period);
  return callers;
}

void
soak_callers_stop (soak_callers_t *callers)
{
  event_del (callers->tick);
}

void
soak_callers_disable_faults (soak_callers_t *callers)
{
  callers->fault_ratio = 0;
  callers->refusal_ratio = 0;
}

void
soak_callers_close (soak_callers_t *callers)
{
  event_free (callers->tick);
  for (guint i = 0; i < callers->n_ports; i++)
    {
      struct evhttp_connection *connection;

      while ((connection = g_queue_pop_head (&callers->idle[i])) != NULL)
        evhttp_connection_free (connection);
    }
  g_free (callers->idle);
  g_ptr_array_unref (callers->requests);
  g_free (callers);
}

const soak_request_t *
soak_callers_find (const soak_callers_t *callers, const char *id, gint64 at)
{
  const char *number = strrchr (id, '-');
  guint index = number != NULL ? (guint) atoi (number + 1) : G_MAXUINT;
  const soak_request_t *request
      = index < callers->requests->len ? callers->requests->pdata[index] : NULL;

  if (request == NULL || strcmp (request->id, id) != 0)
    return NULL;
  while (request->repeat != NULL && request->repeat->sent_at <= at)
    request = request->repeat;
  return request;
}

const GPtrArray *
soak_callers_requests (const soak_callers_t *callers)
{
  return callers->requests;
}
