/*
 * anvil-store: stand-in for the store of the users' platform, for tests.
 *
 * In addition to the store's calls, it serves POST /fault?kind=KIND&for_ms=N to inject a fault:
 *   busy     every call is rejected with status 503
 *   silent   calls get no response
 *   endless-PLACE  responses go on without end; PLACE as in endless.c
 *   lose     transactions are processed, but get no response
 *   late     transactions get no response, and are processed &late_ms=N later
 *   refuse-writes  transactions are rejected with status 429
 *   compact  the history of changes is deleted, once
 *   no-era   responses name no era
 *   odd-era  they name something else than a number
 *   old-era  they name the one before the present
 *   none     ends the fault
 *   drill    the store is away for that time and comes back, in a later era, from a copy that was
 *            &age_ms=N old when it began; &rewrite_ms=N after that, the rows of the operator and
 * the upstreams that were lost are written again, one every &step_ms=N and GET /follows?table=T,
 * which returns how often changes of a table were read.
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

#include "anvil-store-drill.h"
#include "anvil/clock.h"
#include "anvil/log.h"
#include "anvil/settings.h"
#include "endless.h"

#define MAX_POLL_WAIT_MS 30000
#define STATUS_CONDITION_FAILED 412
#define STATUS_GONE 410
#define STATUS_TOO_MANY_REQUESTS 429

typedef enum
{
  FAULT_NONE,
  FAULT_BUSY,
  FAULT_SILENT,
  FAULT_LOSE,
  FAULT_LATE,
  FAULT_REFUSE_WRITES,
  FAULT_ENDLESS,
  FAULT_NO_ERA,
  FAULT_ODD_ERA,
  FAULT_OLD_ERA,
} fault_t;

typedef struct
{
  struct event_base *base;
  struct evhttp *http;
  store_rows_t *rows;
  /* long_poll_t: reads of changes that wait for a change. */
  GPtrArray *long_polls;
  /* Numbers of reads of changes, by table. */
  GHashTable *change_reads;
  fault_t fault;
  /* Place of FAULT_ENDLESS. */
  const endless_message_t *endless;
  anvil_time_t fault_ends_at;
  /* How late FAULT_LATE processes transactions. */
  guint64 late_ms;
  store_drill_t *drill;
} store_t;

/** late_transaction_t - a transaction that is processed later */
typedef struct
{
  store_t *store;
  json_t *transaction;
  struct event *timer;
} late_transaction_t;

typedef struct
{
  store_t *store;
  struct evhttp_request *request;
  char *table;
  guint64 after;
  struct event *timer;
} long_poll_t;

static fault_t
active_fault (store_t *store)
{
  if (anvil_clock_now () >= store->fault_ends_at)
    store->fault = FAULT_NONE;
  return store->fault;
}

static void
add_era (store_t *store, struct evhttp_request *request)
{
  const fault_t fault = active_fault (store);
  guint64 era = store_drill_era (store->drill);
  char *text;

  if (era == 0 || fault == FAULT_NO_ERA)
    return;
  text = fault == FAULT_ODD_ERA
             ? g_strdup ("none")
             : g_strdup_printf ("%" G_GUINT64_FORMAT, fault == FAULT_OLD_ERA ? era - 1 : era);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Store-Era", text);
  g_free (text);
}

static void
respond (store_t *store, struct evhttp_request *request, int status, json_t *root)
{
  struct evbuffer *body = evbuffer_new ();
  char *text = root != NULL ? json_dumps (root, JSON_COMPACT) : NULL;

  if (text != NULL)
    evbuffer_add (body, text, strlen (text));
  add_era (store, request);
  evhttp_send_reply (request, status, NULL, body);
  evbuffer_free (body);
  free (text);
  json_decref (root);
}

static json_t *
page_to_json (const store_t *store, json_t *rows, gboolean has_more)
{
  return json_pack ("{s:o,s:b,s:I,s:I}", "rows", rows, "hasMore", has_more, "rowVersion",
                    (json_int_t) store_rows_version (store->rows), "nowMs",
                    (json_int_t) (anvil_clock_now () / ANVIL_MS));
}

/* Applies the active fault to a call; TRUE if the call must not be handled further. */
static gboolean
apply_fault (store_t *store, struct evhttp_request *request)
{
  if (store_drill_away (store->drill))
    return TRUE;
  switch (active_fault (store))
    {
    case FAULT_BUSY:
      respond (store, request, HTTP_SERVUNAVAIL, NULL);
      return TRUE;
    case FAULT_SILENT:
      /* evhttp frees the request when the caller times out and closes its connection. */
      return TRUE;
    case FAULT_ENDLESS:
      endless_respond (request, store->endless, "");
      return TRUE;
    default:
      return FALSE;
    }
}

static void
long_poll_drop (gpointer data)
{
  long_poll_t *poll = data;

  event_free (poll->timer);
  g_free (poll->table);
  g_free (poll);
}

static void
respond_to_poll (long_poll_t *poll)
{
  store_t *store = poll->store;
  json_t *changes = store_rows_changes (store->rows, poll->table, poll->after);

  evhttp_connection_set_closecb (evhttp_request_get_connection (poll->request), NULL, NULL);
  respond (store, poll->request, changes != NULL ? HTTP_OK : STATUS_GONE,
           changes != NULL ? page_to_json (store, changes, FALSE) : NULL);
  g_ptr_array_remove_fast (store->long_polls, poll);
}

static void
on_poll_timeout (evutil_socket_t unused_fd, short unused_what, void *data)
{
  respond_to_poll (data);
}

static void
on_caller_disconnected (struct evhttp_connection *connection, void *data)
{
  long_poll_t *poll = data;

  g_ptr_array_remove_fast (poll->store->long_polls, poll);
}

/* Responds to the long polls whose table has changed. */
static void
respond_to_changed_polls (store_t *store)
{
  for (guint i = store->long_polls->len; i > 0; i--)
    {
      long_poll_t *poll = store->long_polls->pdata[i - 1];
      json_t *changes = store_rows_changes (store->rows, poll->table, poll->after);

      if (changes == NULL || json_array_size (changes) > 0)
        respond_to_poll (poll);
      json_decref (changes);
    }
}

static guint64
query_number (const struct evkeyvalq *query, const char *name)
{
  const char *text = evhttp_find_header (query, name);

  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : 0;
}

static const char *
query_text (const struct evkeyvalq *query, const char *name)
{
  const char *text = evhttp_find_header (query, name);

  return text != NULL ? text : "";
}

static void
parse_query (struct evhttp_request *request, struct evkeyvalq *query)
{
  const char *text = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));

  evhttp_parse_query_str (text != NULL ? text : "", query);
}

static void
on_read_rows (struct evhttp_request *request, void *data)
{
  store_t *store = data;
  struct evkeyvalq query;
  gboolean has_more;
  json_t *rows;

  if (apply_fault (store, request))
    return;
  parse_query (request, &query);
  rows = store_rows_read (store->rows, query_text (&query, "table"), query_text (&query, "from"),
                          &has_more);
  respond (store, request, HTTP_OK, page_to_json (store, rows, has_more));
  evhttp_clear_headers (&query);
}

static void
start_long_poll (
    store_t *store, struct evhttp_request *request, const char *table, guint64 after, guint64 ms)
{
  struct timeval time
      = { .tv_sec = (time_t) (ms / 1000), .tv_usec = (suseconds_t) (ms % 1000) * 1000 };
  long_poll_t *poll = g_new0 (long_poll_t, 1);

  poll->store = store;
  poll->request = request;
  poll->table = g_strdup (table);
  poll->after = after;
  poll->timer = evtimer_new (store->base, on_poll_timeout, poll);
  evtimer_add (poll->timer, &time);
  evhttp_connection_set_closecb (evhttp_request_get_connection (request), on_caller_disconnected,
                                 poll);
  g_ptr_array_add (store->long_polls, poll);
}

static void
count_change_read (store_t *store, const char *table)
{
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (store->change_reads, table));

  g_hash_table_insert (store->change_reads, g_strdup (table), GUINT_TO_POINTER (count + 1));
}

static void
on_get_change_reads (struct evhttp_request *request, void *data)
{
  store_t *store = data;
  struct evkeyvalq query;

  parse_query (request, &query);
  respond (store, request, HTTP_OK,
           json_pack ("{s:I}", "calls",
                      (json_int_t) GPOINTER_TO_UINT (g_hash_table_lookup (
                          store->change_reads, query_text (&query, "table")))));
  evhttp_clear_headers (&query);
}

static void
on_read_changes (struct evhttp_request *request, void *data)
{
  store_t *store = data;
  struct evkeyvalq query;
  json_t *changes;
  guint64 after;
  guint64 wait;

  if (apply_fault (store, request))
    return;
  parse_query (request, &query);
  count_change_read (store, query_text (&query, "table"));
  after = query_number (&query, "after");
  wait = MIN (query_number (&query, "waitMs"), MAX_POLL_WAIT_MS);
  changes = store_rows_changes (store->rows, query_text (&query, "table"), after);
  if (changes == NULL)
    respond (store, request, STATUS_GONE, NULL);
  else if (json_array_size (changes) == 0 && wait > 0)
    {
      json_decref (changes);
      start_long_poll (store, request, query_text (&query, "table"), after, wait);
    }
  else
    respond (store, request, HTTP_OK, page_to_json (store, changes, FALSE));
  evhttp_clear_headers (&query);
}

static void
on_late_transaction (evutil_socket_t unused_fd, short unused_what, void *data)
{
  late_transaction_t *late = data;

  store_rows_commit (late->store->rows, late->transaction);
  respond_to_changed_polls (late->store);
  event_free (late->timer);
  json_decref (late->transaction);
  g_free (late);
}

/* Takes over @transaction. */
static void
process_late (store_t *store, json_t *transaction)
{
  const struct timeval time = anvil_time_to_timeval ((anvil_time_t) store->late_ms * ANVIL_MS);
  late_transaction_t *late = g_new0 (late_transaction_t, 1);

  late->store = store;
  late->transaction = transaction;
  late->timer = evtimer_new (store->base, on_late_transaction, late);
  evtimer_add (late->timer, &time);
}

static void
on_transaction (struct evhttp_request *request, void *data)
{
  store_t *store = data;
  struct evbuffer *body = evhttp_request_get_input_buffer (request);
  gsize length = evbuffer_get_length (body);
  json_t *root;
  gboolean committed;

  if (apply_fault (store, request))
    return;
  if (active_fault (store) == FAULT_REFUSE_WRITES)
    {
      respond (store, request, STATUS_TOO_MANY_REQUESTS, NULL);
      return;
    }
  root = json_loadb ((const char *) evbuffer_pullup (body, -1), length, 0, NULL);
  if (active_fault (store) == FAULT_LATE)
    {
      process_late (store, root);
      return;
    }
  committed = store_rows_commit (store->rows, root);
  json_decref (root);
  if (active_fault (store) != FAULT_LOSE)
    respond (store, request, committed ? HTTP_OK : STATUS_CONDITION_FAILED,
             json_pack ("{s:I,s:I}", "rowVersion", (json_int_t) store_rows_version (store->rows),
                        "nowMs", (json_int_t) (anvil_clock_now () / ANVIL_MS)));
  respond_to_changed_polls (store);
}

static void
on_rows_rewritten (void *context)
{
  respond_to_changed_polls (context);
}

static void
start_drill (store_t *store, const struct evkeyvalq *query)
{
  const store_drill_plan_t plan = { .away = query_number (query, "for_ms"),
                                    .age = query_number (query, "age_ms"),
                                    .rewrite = query_number (query, "rewrite_ms"),
                                    .step = query_number (query, "step_ms") };

  store_drill_start (store->drill, &plan);
  /* Their connections end with the store; removing one changes the list. */
  while (store->long_polls->len > 0)
    {
      long_poll_t *poll = store->long_polls->pdata[0];
      struct evhttp_connection *connection = evhttp_request_get_connection (poll->request);

      evhttp_connection_set_closecb (connection, NULL, NULL);
      g_ptr_array_remove_index_fast (store->long_polls, 0);
      evhttp_connection_free (connection);
    }
}

static void
on_fault (struct evhttp_request *request, void *data)
{
  store_t *store = data;
  struct evkeyvalq query;
  const char *kind;

  parse_query (request, &query);
  kind = query_text (&query, "kind");
  store->endless = endless_find_fault (kind);
  store->fault = strcmp (kind, "busy") == 0            ? FAULT_BUSY
                 : strcmp (kind, "silent") == 0        ? FAULT_SILENT
                 : strcmp (kind, "lose") == 0          ? FAULT_LOSE
                 : strcmp (kind, "late") == 0          ? FAULT_LATE
                 : strcmp (kind, "refuse-writes") == 0 ? FAULT_REFUSE_WRITES
                 : strcmp (kind, "no-era") == 0        ? FAULT_NO_ERA
                 : strcmp (kind, "odd-era") == 0       ? FAULT_ODD_ERA
                 : strcmp (kind, "old-era") == 0       ? FAULT_OLD_ERA
                 : store->endless != NULL              ? FAULT_ENDLESS
                                                       : FAULT_NONE;
  store->fault_ends_at
      = anvil_clock_now () + (anvil_time_t) query_number (&query, "for_ms") * ANVIL_MS;
  store->late_ms = query_number (&query, "late_ms");
  if (strcmp (kind, "compact") == 0)
    {
      store_rows_compact (store->rows);
      respond_to_changed_polls (store);
    }
  if (strcmp (kind, "drill") == 0)
    start_drill (store, &query);
  anvil_log (ANVIL_LOG_NOTICE, "store", "fault kind=%s", kind);
  respond (store, request, HTTP_OK, NULL);
  evhttp_clear_headers (&query);
}

static void
on_signal (evutil_socket_t unused_number, short unused_what, void *data)
{
  event_base_loopbreak (data);
}

static int
run (const anvil_setting_t *listen, guint64 era)
{
  store_t store = { .base = event_base_new (),
                    .rows = store_rows_new (),
                    .long_polls = g_ptr_array_new_with_free_func (long_poll_drop),
                    .change_reads = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL) };
  struct event *terminate = evsignal_new (store.base, SIGTERM, on_signal, store.base);
  struct evhttp_bound_socket *bound;
  char *host = anvil_endpoint_format (listen->address, 0);
  struct sockaddr_in local;
  socklen_t length = sizeof local;
  char *endpoint;

  *strrchr (host, ':') = '\0';
  store.drill = store_drill_new (store.base, store.rows, era, on_rows_rewritten, &store);
  evsignal_add (terminate, NULL);
  store.http = evhttp_new (store.base);
  evhttp_set_cb (store.http, "/-/rows-get", on_read_rows, &store);
  evhttp_set_cb (store.http, "/-/rows-feed", on_read_changes, &store);
  evhttp_set_cb (store.http, "/-/rows-tx", on_transaction, &store);
  evhttp_set_cb (store.http, "/fault", on_fault, &store);
  evhttp_set_cb (store.http, "/follows", on_get_change_reads, &store);
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
  g_ptr_array_unref (store.long_polls);
  store_drill_drop (store.drill);
  store_rows_drop (store.rows);
  g_hash_table_unref (store.change_reads);
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
      .help = "Address and port to listen on, port 0 for any free port",
      .default_value = "127.0.0.1:0" },
    { .name = "era",
      .kind = ANVIL_SETTING_INTEGER,
      .help = "Era that responses name until the first drill, 0 for none",
      .default_value = "0",
      .minimum = 0,
      .maximum = G_MAXINT32 },
  };
  anvil_settings_t settings
      = { .program = "anvil-store", .items = items, .n_items = G_N_ELEMENTS (items) };
  anvil_settings_outcome_t outcome = anvil_settings_load (&settings, argc, (const char **) argv);
  int status = outcome == ANVIL_SETTINGS_INVALID ? 2 : EXIT_SUCCESS;

  signal (SIGPIPE, SIG_IGN);
  if (outcome == ANVIL_SETTINGS_RUN)
    status = run (&items[0], (guint64) items[1].integer);
  anvil_settings_clear (&settings);
  return status;
}
