#include "anvil-registrant.h"

#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <jansson.h>

#include "anvil/clock.h"
#include "anvil/log.h"
#include "endless.h"

const char *
registrant_request_header (struct evhttp_request *request, const char *name)
{
  return evhttp_find_header (evhttp_request_get_input_headers (request), name);
}

/* Sends bytes past evhttp, which leaves the connection as it is. */
static void
send_raw (struct evhttp_request *request, const char *bytes)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (request);
  evutil_socket_t fd = bufferevent_getfd (evhttp_connection_get_bufferevent (connection));

  if (send (fd, bytes, strlen (bytes), MSG_NOSIGNAL) < 0)
    anvil_log (ANVIL_LOG_INFO, "upstream", "caller disconnected");
}

void
registrant_send_copy (struct evhttp_request *request, const char *text)
{
  char *response
      = g_strdup_printf ("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: x\r\n"
                         "Content-Length: %zu\r\n\r\n%s",
                         registrant_request_header (request, "Request-Id"), strlen (text), text);

  send_raw (request, response);
  g_free (response);
}

void
registrant_send_copy_of_refusal (struct evhttp_request *request)
{
  char *response = g_strdup_printf ("HTTP/1.1 503 Unavailable\r\nRequest-Id: %s\r\nNot-Run: 1\r\n"
                                    "Content-Length: 0\r\n\r\n",
                                    registrant_request_header (request, "Request-Id"));

  send_raw (request, response);
  g_free (response);
}

/* Sends bytes past evhttp, then closes the connection, with a TCP reset if @reset. */
static void
send_raw_and_close (struct evhttp_request *request, const char *bytes, gboolean reset)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (request);
  struct bufferevent *stream = evhttp_connection_get_bufferevent (connection);
  evutil_socket_t fd = bufferevent_getfd (stream);
  struct linger linger = { .l_onoff = 1 };

  if (send (fd, bytes, strlen (bytes), MSG_NOSIGNAL) < 0)
    anvil_log (ANVIL_LOG_INFO, "upstream", "caller disconnected");
  if (reset)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  evhttp_connection_free (connection);
}

void
registrant_send_faulty_response (const registrant_job_t *job, const char *text)
{
  const char *id = registrant_request_header (job->request, "Request-Id");
  char *fields = g_strdup_printf ("Request-Id: %s\r\nServer-Stamp: x\r\n", id);
  char *head = g_strdup_printf ("HTTP/1.1 200 OK\r\n%s", fields);
  char *response = NULL;

  if (strcmp (job->fault, "reset") == 0)
    send_raw_and_close (job->request, "", TRUE);
  else if (strcmp (job->fault, "truncate") == 0)
    response = g_strdup_printf ("%sContent-Length: 1000\r\n\r\n%s", head, text);
  else if (endless_find_fault (job->fault) != NULL)
    endless_respond (job->request, endless_find_fault (job->fault), fields);
  else if (strcmp (job->fault, "unframed") == 0)
    response = g_strdup_printf ("%sConnection: close\r\n\r\n%s", head, text);
  else if (strcmp (job->fault, "stray") == 0)
    response = g_strdup_printf ("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: x\r\n"
                                "Content-Length: 5\r\n\r\nstray%sContent-Length: %zu\r\n\r\n%s",
                                head, strlen (text), text);
  else
    response = g_strdup ("this is no answer\r\n\r\n");
  if (response != NULL)
    send_raw_and_close (job->request, response, FALSE);
  g_free (response);
  g_free (head);
  g_free (fields);
}

void
registrant_log_event (upstream_t *upstream, const char *event, const char *id)
{
  if (upstream->event_log == NULL)
    return;
  fprintf (upstream->event_log, "%s %" G_GINT64_FORMAT " %s\n", event, anvil_clock_wall (), id);
  fflush (upstream->event_log);
}

static void
on_row_written (void *context, const anvil_http_result_t *reply)
{
  upstream_t *upstream = context;

  if (reply->status != HTTP_OK)
    anvil_log (ANVIL_LOG_INFO, "upstream", "row was not stored status=%d", reply->status);
  else if (upstream->draining && !upstream->drain_stored)
    {
      upstream->drain_stored = TRUE;
      registrant_log_event (upstream, "draining", "-");
    }
}

void
registrant_write_row (upstream_t *upstream, gboolean remove)
{
  const anvil_setting_t *settings = upstream->settings;
  gint64 cold_ms = upstream->started_at + settings[COLD_MS].integer - g_get_real_time () / 1000;
  json_t *value = json_pack (
      "{s:s,s:I,s:{s:s,s:s,s:s,s:I},s:{s:s,s:i,s:I}}", "address",
      settings[ADVERTISE].text != NULL ? settings[ADVERTISE].text : upstream->endpoint, "born",
      (json_int_t) upstream->started_at, "info", "service", settings[SERVICE].text, "version", "v1",
      "zone", settings[ZONE].text, "slots", (json_int_t) settings[SLOTS].integer, "status", "state",
      upstream->draining ? "draining" : "ready", "sequence", (int) ++upstream->sequence,
      "coldRemainingMs", (json_int_t) MAX (cold_ms, 0));
  char *text = json_dumps (value, JSON_COMPACT);
  char *encoded = g_base64_encode ((const guchar *) text, strlen (text));
  json_t *row
      = json_pack ("{s:s,s:s,s:s}", "table", "servers", "part", "", "key", settings[ID].text);
  json_t *root;
  struct evbuffer *body = evbuffer_new ();

  if (!remove)
    json_object_set_new (row, "value", json_string (encoded));
  root = json_pack ("{s:[],s:[],s:[o]}", "expect", remove ? "writes" : "remove",
                    remove ? "remove" : "writes", row);
  free (text);
  text = json_dumps (root, JSON_COMPACT);
  evbuffer_add (body, text, strlen (text));
  anvil_http_pool_call (upstream->store_pool, EVHTTP_REQ_POST, "/-/rows-tx", body, on_row_written,
                        upstream);
  evbuffer_free (body);
  json_decref (root);
  json_decref (value);
  g_free (encoded);
  free (text);
}
