#include "anvil/platform.h"

#include <event2/buffer.h>
#include <event2/http.h>

#include "anvil/error.h"
#include "anvil/log.h"
#include "net/http-json.h"
#include "net/http-pool.h"
#include "net/platform-client-codec.h"

#define STATUS_CONFLICT 409
#define STATUS_TOO_MANY 429

struct anvil_platform
{
  anvil_http_pool_t *pool;
  gboolean away;
};

typedef union
{
  anvil_platform_rows_cb_t rows;
  anvil_platform_commit_cb_t commit;
  anvil_platform_object_cb_t object;
  anvil_platform_vms_cb_t vms;
} call_done_t;

typedef struct
{
  anvil_platform_t *platform;
  call_done_t done;
  void *context;
} call_t;

static call_t *
call_new (anvil_platform_t *platform, call_done_t done, void *context)
{
  call_t *call = g_new0 (call_t, 1);

  call->platform = platform;
  call->done = done;
  call->context = context;
  return call;
}

/* Logs when the platform goes away and when it comes back. */
static void
note_reply (anvil_platform_t *platform, const anvil_http_result_t *reply)
{
  gboolean away = reply->status == 0;

  if (away != platform->away)
    anvil_log (ANVIL_LOG_NOTICE, "platform", away ? "no answer sent=%d" : "answers again sent=%d",
               reply->sent);
  platform->away = away;
}

/* The fault of an answer that isn't 200, or NULL. */
static GError *
reply_error (const anvil_http_result_t *reply)
{
  switch (reply->status)
    {
    case HTTP_OK:
      return NULL;
    case 0:
      return g_error_new_literal (ANVIL_ERROR, ANVIL_ERROR_UNAVAILABLE,
                                  "no whole answer from the platform");
    case HTTP_NOTFOUND:
      return g_error_new_literal (ANVIL_ERROR, ANVIL_ERROR_NOT_FOUND,
                                  "the platform has no such thing");
    case STATUS_CONFLICT:
      return g_error_new_literal (ANVIL_ERROR, ANVIL_ERROR_CONFLICT, "a version differs");
    case STATUS_TOO_MANY:
    case HTTP_SERVUNAVAIL:
      return g_error_new (ANVIL_ERROR, ANVIL_ERROR_UNAVAILABLE, "the platform shed the call: %d",
                          reply->status);
    default:
      return g_error_new (ANVIL_ERROR, ANVIL_ERROR_INVALID, "the platform answered %d",
                          reply->status);
    }
}

anvil_platform_t *
anvil_platform_open (struct event_base *base, guint32 address, guint16 port, anvil_time_t timeout)
{
  anvil_platform_t *platform = g_new0 (anvil_platform_t, 1);

  platform->pool = anvil_http_pool_open (base, address, port, timeout);
  return platform;
}

void
anvil_platform_close (anvil_platform_t *platform)
{
  if (platform == NULL)
    return;
  anvil_http_pool_close (platform->pool);
  g_free (platform);
}

static void
on_rows (void *context, const anvil_http_result_t *reply)
{
  call_t *call = context;
  anvil_platform_rows_t rows = { 0 };
  GError *error = reply_error (reply);

  note_reply (call->platform, reply);
  if (error == NULL)
    anvil_platform_unpack_rows (reply->body, &rows, &error);
  if (error == NULL)
    call->done.rows (call->context, rows.rows, rows.n_rows, NULL);
  else
    call->done.rows (call->context, NULL, 0, error);
  anvil_platform_rows_clear (&rows);
  g_clear_error (&error);
  g_free (call);
}

void
anvil_platform_read_rows (anvil_platform_t *platform,
                          const char *prefix,
                          anvil_platform_rows_cb_t done,
                          void *context)
{
  char *encoded = evhttp_uriencode (prefix, -1, 0);
  char *uri = g_strconcat ("/v1/rows?prefix=", encoded, NULL);

  anvil_http_pool_call (platform->pool, EVHTTP_REQ_GET, uri, NULL, on_rows,
                        call_new (platform, (call_done_t){ .rows = done }, context));
  g_free (uri);
  free (encoded);
}

/* What an answer without a verdict of its own means for a write. */
static anvil_commit_result_t
write_result (const anvil_http_result_t *reply)
{
  if (reply->status == 0)
    return reply->sent ? ANVIL_COMMIT_UNKNOWN : ANVIL_COMMIT_NOT_DONE;
  if (reply->status == STATUS_TOO_MANY || reply->status == HTTP_SERVUNAVAIL)
    return ANVIL_COMMIT_NOT_DONE;
  if (reply->status >= 400 && reply->status < 500 && reply->status != STATUS_CONFLICT)
    return ANVIL_COMMIT_NOT_DONE;
  return ANVIL_COMMIT_UNKNOWN;
}

static anvil_commit_result_t
commit_result (const anvil_http_result_t *reply)
{
  gboolean committed;

  if (reply->status != HTTP_OK && reply->status != STATUS_CONFLICT)
    return write_result (reply);
  if (!anvil_platform_unpack_committed (reply->body, &committed)
      || committed != (reply->status == HTTP_OK))
    return ANVIL_COMMIT_UNKNOWN;
  return committed ? ANVIL_COMMIT_DONE : ANVIL_COMMIT_CONFLICT;
}

/* Ends a write; its error tells the result to those that decide by the code. */
static void
finish_write (call_t *call, const anvil_http_result_t *reply, anvil_commit_result_t result)
{
  GError *error = reply_error (reply);

  if (result == ANVIL_COMMIT_UNKNOWN)
    {
      g_clear_error (&error);
      error = g_error_new (ANVIL_ERROR, ANVIL_ERROR_UNKNOWN_OUTCOME,
                           "no valid answer to a write: status %d", reply->status);
    }
  note_reply (call->platform, reply);
  call->done.commit (call->context, result, error);
  g_clear_error (&error);
  g_free (call);
}

static void
on_commit (void *context, const anvil_http_result_t *reply)
{
  finish_write (context, reply, commit_result (reply));
}

/* A transaction that breaks the bounds ends at once, as no other callback of the client does. */
static void
refuse_commit (anvil_platform_commit_cb_t done, void *context, GError *error)
{
  done (context, ANVIL_COMMIT_NOT_DONE, error);
  g_error_free (error);
}

void
anvil_platform_commit (anvil_platform_t *platform,
                       const anvil_row_t *conditions,
                       guint n_conditions,
                       const anvil_row_t *writes,
                       guint n_writes,
                       anvil_platform_commit_cb_t done,
                       void *context)
{
  struct evbuffer *body = evbuffer_new ();
  GError *error = NULL;

  if (anvil_platform_pack_commit (conditions, n_conditions, writes, n_writes, body, &error))
    anvil_http_pool_call (platform->pool, EVHTTP_REQ_POST, "/v1/commit", body, on_commit,
                          call_new (platform, (call_done_t){ .commit = done }, context));
  else
    refuse_commit (done, context, error);
  evbuffer_free (body);
}

static char *
object_uri (const char *name)
{
  char *encoded = evhttp_uriencode (name, -1, 0);
  char *uri = g_strconcat ("/v1/objects/", encoded, NULL);

  free (encoded);
  return uri;
}

static void
on_object_put (void *context, const anvil_http_result_t *reply)
{
  gboolean stored = reply->status == HTTP_OK;

  finish_write (context, reply, stored ? ANVIL_COMMIT_DONE : write_result (reply));
}

void
anvil_platform_put_object (anvil_platform_t *platform,
                           const char *name,
                           anvil_str_t body,
                           anvil_platform_commit_cb_t done,
                           void *context)
{
  struct evbuffer *buffer = evbuffer_new ();
  char *uri = object_uri (name);

  evbuffer_add (buffer, body.data, body.length);
  anvil_http_pool_call (platform->pool, EVHTTP_REQ_PUT, uri, buffer, on_object_put,
                        call_new (platform, (call_done_t){ .commit = done }, context));
  g_free (uri);
  evbuffer_free (buffer);
}

static void
on_object (void *context, const anvil_http_result_t *reply)
{
  call_t *call = context;
  GError *error = reply_error (reply);
  anvil_str_t body = { 0 };

  note_reply (call->platform, reply);
  if (error == NULL)
    body = (anvil_str_t){ .data = (const char *) evbuffer_pullup (reply->body, -1),
                          .length = evbuffer_get_length (reply->body) };
  call->done.object (call->context, body, error);
  g_clear_error (&error);
  g_free (call);
}

void
anvil_platform_get_object (anvil_platform_t *platform,
                           const char *name,
                           anvil_platform_object_cb_t done,
                           void *context)
{
  char *uri = object_uri (name);

  anvil_http_pool_call (platform->pool, EVHTTP_REQ_GET, uri, NULL, on_object,
                        call_new (platform, (call_done_t){ .object = done }, context));
  g_free (uri);
}

static void
on_vms (void *context, const anvil_http_result_t *reply)
{
  call_t *call = context;
  anvil_platform_vms_t vms = { 0 };
  GError *error = reply_error (reply);

  note_reply (call->platform, reply);
  if (error == NULL)
    anvil_platform_unpack_vms (reply->body, &vms, &error);
  call->done.vms (call->context, error == NULL ? &vms.list : NULL, error);
  anvil_platform_vms_clear (&vms);
  g_clear_error (&error);
  g_free (call);
}

void
anvil_platform_list_vms (anvil_platform_t *platform, anvil_platform_vms_cb_t done, void *context)
{
  anvil_http_pool_call (platform->pool, EVHTTP_REQ_GET, "/v1/vms", NULL, on_vms,
                        call_new (platform, (call_done_t){ .vms = done }, context));
}
