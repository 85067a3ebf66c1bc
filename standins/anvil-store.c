/*
 * anvil-store: stands in for the store of the users' platform.
 *
 * Beside the platform's calls it has POST /fault?kind=KIND&for_ms=N:
 *   busy     every call is turned away with 503
 *   silent   calls get no answer
 *   lose     writes are done and their answers lost
 *   compact  the history is forgotten, once
 *   none     ends the fault
 * and GET /follows?table=T: how often changes of a table were asked for.
 */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "anvil-store-rows.h"
#include "anvil/clock.h"
#include "anvil/log.h"
#include "anvil/settings.h"

#define MAX_HOLD_MS 30000
#define STATUS_CONDITION_FAILED 412
#define STATUS_GONE 410

typedef enum
{
  FAULT_NONE,
  FAULT_BUSY,
  FAULT_SILENT,
  FAULT_LOSE,
} fault_t;

typedef struct
{
  struct event_base *base;
  struct evhttp *http;
  store_rows_t *rows;
  /* held_t, calls that wait for changes. */
  GPtrArray *held;
  /* Counts of calls for changes, by table. */
  GHashTable *follows;
  fault_t fault;
  anvil_time_t fault_ends;
} store_t;

typedef struct
{
  store_t *store;
  struct evhttp_request *request;
  char *table;
  guint64 after;
  struct event *timer;
} held_t;

static void
answer (struct evhttp_request *request, int status, json_t *root)
{
  struct evbuffer *body = evbuffer_new ();
  char *text = root != NULL ? json_dumps (root, JSON_COMPACT) : NULL;

  if (text != NULL)
    evbuffer_add (body, text, strlen (text));
  evhttp_send_reply (request, status, NULL, body);
  evbuffer_free (body);
  free (text);
  json_decref (root);
}

static json_t *
page (const store_t *store, json_t *rows)
{
  return json_pack ("{s:o,s:b,s:I,s:I}", "rows", rows, "hasMore", 0, "rowVersion",
                    (json_int_t) store_rows_version (store->rows), "nowMs",
                    (json_int_t) (anvil_clock_now () / ANVIL_MS));
}

static fault_t
current_fault (store_t *store)
{
  if (anvil_clock_now () >= store->fault_ends)
    store->fault = FAULT_NONE;
  return store->fault;
}

/* Whether a fault has dealt with the call. */
static gboolean
taken_by_fault (store_t *store, struct evhttp_request *request)
{
  switch (current_fault (store))
    {
    case FAULT_BUSY:
      answer (request, HTTP_SERVUNAVAIL, NULL);
      return TRUE;
    case FAULT_SILENT:
      /* The caller gives up and closes; the library then frees the request. */
      return TRUE;
    default:
      return FALSE;
    }
}

static void
held_free (gpointer data)
{
  held_t *held = data;

  event_free (held->timer);
  g_free (held->table);
  g_free (held);
}

static void
answer_held (held_t *held)
{
  store_t *store = held->store;
  json_t *changes = store_rows_changes (store->rows, held->table, held->after);

  evhttp_connection_set_closecb (evhttp_request_get_connection (held->request), NULL, NULL);
  answer (held->request, changes != NULL ? HTTP_OK : STATUS_GONE,
          changes != NULL ? page (store, changes) : NULL);
  g_ptr_array_remove_fast (store->held, held);
}

static void
on_hold_ends (evutil_socket_t unused_fd, short unused_what, void *data)
{
  answer_held (data);
}

static void
on_caller_gone (struct evhttp_connection *connection, void *data)
{
  held_t *held = data;

  g_ptr_array_remove_fast (held->store->held, held);
}

/* Answers held calls whose table has changed. */
static void
wake_held (store_t *store)
{
  for (guint i = store->held->len; i > 0; i--)
    {
      held_t *held = store->held->pdata[i - 1];
      json_t *changes = store_rows_changes (store->rows, held->table, held->after);

      if (changes == NULL || json_array_size (changes) > 0)
        answer_held (held);
      json_decref (changes);
    }
}

static guint64
number_in (const struct evkeyvalq *query, const char *name)
{
  const char *text = evhttp_find_header (query, name);

  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : 0;
}

static const char *
text_in (const struct evkeyvalq *query, const char *name)
{
  const char *text = evhttp_find_header (query, name);

  return text != NULL ? text : "";
}

static void
read_query (struct evhttp_request *request, struct evkeyvalq *query)
{
  const char *text = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));

  evhttp_parse_query_str (text != NULL ? text : "", query);
}

static void
on_get (struct evhttp_request *request, void *data)
{
  store_t *store = data;
  struct evkeyvalq query;

  if (taken_by_fault (store, request))
    return;
  read_query (request, &query);
  answer (request, HTTP_OK,
          page (store, store_rows_read (store->rows, text_in (&query, "table"),
                                        text_in (&query, "from"))));
  evhttp_clear_headers (&query);
}

static void
hold (store_t *store, struct evhttp_request *request, const char *table, guint64 after, guint64 ms)
{
  struct timeval time
      = { .tv_sec = (time_t) (ms / 1000), .tv_usec = (suseconds_t) (ms % 1000) * 1000 };
  held_t *held = g_new0 (held_t, 1);

  held->store = store;
  held->request = request;
  held->table = g_strdup (table);
  held->after = after;
  held->timer = evtimer_new (store->base, on_hold_ends, held);
  evtimer_add (held->timer, &time);
  evhttp_connection_set_closecb (evhttp_request_get_connection (request), on_caller_gone, held);
  g_ptr_array_add (store->held, held);
}

static void
count_follow (store_t *store, const char *table)
{
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (store->follows, table));

  g_hash_table_insert (store->follows, g_strdup (table), GUINT_TO_POINTER (count + 1));
}

static void
on_follows (struct evhttp_request *request, void *data)
{
  store_t *store = data;
  struct evkeyvalq query;

  read_query (request, &query);
  answer (request, HTTP_OK,
          json_pack ("{s:I}", "calls",
                     (json_int_t) GPOINTER_TO_UINT (
                         g_hash_table_lookup (store->follows, text_in (&query, "table")))));
  evhttp_clear_headers (&query);
}

static void
on_feed (struct evhttp_request *request, void *data)
{
  store_t *store = data;
  struct evkeyvalq query;
  json_t *changes;
  guint64 after;
  guint64 wait;

  if (taken_by_fault (store, request))
    return;
  read_query (request, &query);
  count_follow (store, text_in (&query, "table"));
  after = number_in (&query, "after");
  wait = MIN (number_in (&query, "waitMs"), MAX_HOLD_MS);
  changes = store_rows_changes (store->rows, text_in (&query, "table"), after);
  if (changes == NULL)
    answer (request, STATUS_GONE, NULL);
  else if (json_array_size (changes) == 0 && wait > 0)
    {
      json_decref (changes);
      hold (store, request, text_in (&query, "table"), after, wait);
    }
  else
    answer (request, HTTP_OK, page (store, changes));
  evhttp_clear_headers (&query);
}

static void
on_transaction (struct evhttp_request *request, void *data)
{
  store_t *store = data;
  struct evbuffer *body = evhttp_request_get_input_buffer (request);
  gsize length = evbuffer_get_length (body);
  json_t *root;
  gboolean done;

  if (taken_by_fault (store, request))
    return;
  root = json_loadb ((const char *) evbuffer_pullup (body, -1), length, 0, NULL);
  done = store_rows_commit (store->rows, root);
  json_decref (root);
  if (current_fault (store) != FAULT_LOSE)
    answer (request, done ? HTTP_OK : STATUS_CONDITION_FAILED,
            json_pack ("{s:I,s:I}", "rowVersion", (json_int_t) store_rows_version (store->rows),
                       "nowMs", (json_int_t) (anvil_clock_now () / ANVIL_MS)));
  wake_held (store);
}

static void
on_fault (struct evhttp_request *request, void *data)
{
  store_t *store = data;
  struct evkeyvalq query;
  const char *kind;

  read_query (request, &query);
  kind = text_in (&query, "kind");
  store->fault = strcmp (kind, "busy") == 0     ? FAULT_BUSY
                 : strcmp (kind, "silent") == 0 ? FAULT_SILENT
                 : strcmp (kind, "lose") == 0   ? FAULT_LOSE
                                                : FAULT_NONE;
  store->fault_ends = anvil_clock_now () + (anvil_time_t) number_in (&query, "for_ms") * ANVIL_MS;
  if (strcmp (kind, "compact") == 0)
    {
      store_rows_compact (store->rows);
      wake_held (store);
    }
  anvil_log (ANVIL_LOG_NOTICE, "store", "fault kind=%s", kind);
  answer (request, HTTP_OK, NULL);
  evhttp_clear_headers (&query);
}

static void
on_signal (evutil_socket_t unused_number, short unused_what, void *data)
{
  event_base_loopbreak (data);
}

static int
run (const anvil_setting_t *listen)
{
  store_t store = { .base = event_base_new (),
                    .rows = store_rows_new (),
                    .held = g_ptr_array_new_with_free_func (held_free),
                    .follows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL) };
  struct event *terminate = evsignal_new (store.base, SIGTERM, on_signal, store.base);
  struct evhttp_bound_socket *bound;
  char *host = anvil_endpoint_format (listen->address, 0);
  struct sockaddr_in local;
  socklen_t length = sizeof local;
  char *endpoint;

  *strrchr (host, ':') = '\0';
  evsignal_add (terminate, NULL);
  store.http = evhttp_new (store.base);
  evhttp_set_cb (store.http, "/-/rows-get", on_get, &store);
  evhttp_set_cb (store.http, "/-/rows-feed", on_feed, &store);
  evhttp_set_cb (store.http, "/-/rows-tx", on_transaction, &store);
  evhttp_set_cb (store.http, "/fault", on_fault, &store);
  evhttp_set_cb (store.http, "/follows", on_follows, &store);
  bound = evhttp_bind_socket_with_handle (store.http, host, listen->port);
  if (bound == NULL)
    {
      fprintf (stderr, "anvil-store: can't listen on %s:%u\n", host, listen->port);
      return EXIT_FAILURE;
    }
  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *) &local, &length);
  endpoint = anvil_endpoint_format (listen->address, ntohs (local.sin_port));
  anvil_log (ANVIL_LOG_NOTICE, "store", "ready, listening on %s", endpoint);
  event_base_dispatch (store.base);
  event_free (terminate);
  evhttp_free (store.http);
  g_ptr_array_unref (store.held);
  store_rows_drop (store.rows);
  g_hash_table_unref (store.follows);
  event_base_free (store.base);
  g_free (endpoint);
  g_free (host);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  anvil_setting_t items[] = {
    { .name = "listen",
      .kind = ANVIL_SETTING_ENDPOINT,
      .help = "Address and port, port 0 for any",
      .fallback = "127.0.0.1:0" },
  };
  anvil_settings_t settings
      = { .program = "anvil-store", .items = items, .n_items = G_N_ELEMENTS (items) };
  anvil_settings_outcome_t outcome = anvil_settings_load (&settings, argc, (const char **) argv);
  int status = outcome == ANVIL_SETTINGS_BAD ? 2 : EXIT_SUCCESS;

  signal (SIGPIPE, SIG_IGN);
  if (outcome == ANVIL_SETTINGS_RUN)
    status = run (&items[0]);
  anvil_settings_clear (&settings);
  return status;
}
