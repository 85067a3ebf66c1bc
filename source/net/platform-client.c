#include "anvil/platform.h"

#include <event2/buffer.h>
#include <event2/http.h>

#include "anvil/error.h"
#include "anvil/log.h"
#include "net/http-json.h"
#include "net/http-pool.h"
#include "net/platform-client-codec.h"

#define STATUS_CONFLICT 409
#define STATUS_TOO_MANY_REQUESTS 429

struct anvil_platform
{
  anvil_http_pool_t *pool;
  gboolean unreachable;
};

typedef union
{
  anvil_platform_rows_cb_t rows;
  anvil_platform_commit_cb_t commit;
  anvil_platform_object_cb_t object;
  anvil_platform_vms_cb_t vms;
} call_callback_t;

typedef struct
{
  anvil_platform_t *platform;
  call_callback_t done;
  void *context;
} call_t;

static call_t *
call_new (anvil_platform_t *platform, call_callback_t done, void *context)
{
  call_t *call = g_new0 (call_t, 1);

  call->platform = platform;
  call->done = done;
  call->context = context;
  return call;
}

/* Logs when the platform stops responding and when it responds again. */
static void
log_reachability (anvil_platform_t *platform, const anvil_http_result_t *result)
{
  gboolean unreachable = result->status == 0;

  if (unreachable != platform->unreachable)
    anvil_log (ANVIL_LOG_NOTICE, "platform",
               unreachable ? "no response sent=%d" : "responds again sent=%d", result->sent);
  platform->unreachable = unreachable;
}

/* Returns the error for a result other than 200 OK, or NULL. */
static GError *
result_to_error (const anvil_http_result_t *result)
{
  switch (result->status)
    {
    case HTTP_OK:
      return NULL;
    case 0:
      return g_error_new_literal (ANVIL_ERROR, ANVIL_ERROR_UNAVAILABLE,
                                  "no complete response from the platform");
    case HTTP_NOTFOUND:
      return g_error_new_literal (ANVIL_ERROR, ANVIL_ERROR_NOT_FOUND,
                                  "the platform has no such object");
    case STATUS_CONFLICT:
      return g_error_new_literal (ANVIL_ERROR, ANVIL_ERROR_CONFLICT,
                                  "a row has another version than expected");
    case STATUS_TOO_MANY_REQUESTS:
    case HTTP_SERVUNAVAIL:
      return g_error_new (ANVIL_ERROR, ANVIL_ERROR_UNAVAILABLE,
                          "the platform is overloaded: status %d", result->status);
    default:
      return g_error_new (ANVIL_ERROR, ANVIL_ERROR_INVALID, "the platform responded with status %d",
                          result->status);
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
on_rows (void *context, const anvil_http_result_t *result)
{
  call_t *call = context;
  anvil_platform_rows_t rows = { 0 };
  GError *error = result_to_error (result);

  log_reachability (call->platform, result);
  if (error == NULL)
    anvil_platform_unpack_rows (result->body, &rows, &error);
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
                        call_new (platform, (call_callback_t){ .rows = done }, context));
  g_free (uri);
  free (encoded);
}

/* Result of a write whose response doesn't state it in the body. */
static anvil_commit_result_t
write_result (const anvil_http_result_t *result)
{
  if (result->status == 0)
    return result->sent ? ANVIL_COMMIT_UNKNOWN : ANVIL_COMMIT_NOT_DONE;
  if (result->status == STATUS_TOO_MANY_REQUESTS || result->status == HTTP_SERVUNAVAIL)
    return ANVIL_COMMIT_NOT_DONE;
  if (result->status >= 400 && result->status < 500 && result->status != STATUS_CONFLICT)
    return ANVIL_COMMIT_NOT_DONE;
  return ANVIL_COMMIT_UNKNOWN;
}

static anvil_commit_result_t
commit_result (const anvil_http_result_t *result)
{
  gboolean committed;

  if (result->status != HTTP_OK && result->status != STATUS_CONFLICT)
    return write_result (result);
  if (!anvil_platform_unpack_committed (result->body, &committed)
      || committed != (result->status == HTTP_OK))
    return ANVIL_COMMIT_UNKNOWN;
  return committed ? ANVIL_COMMIT_DONE : ANVIL_COMMIT_CONFLICT;
}

/* Reports the result of a write; an unknown outcome has its own error code. */
static void
finish_write (call_t *call, const anvil_http_result_t *result, anvil_commit_result_t outcome)
{
  GError *error = result_to_error (result);

  if (outcome == ANVIL_COMMIT_UNKNOWN)
    {
      g_clear_error (&error);
      error = g_error_new (ANVIL_ERROR, ANVIL_ERROR_UNKNOWN_OUTCOME,
                           "no valid response to a write: status %d", result->status);
    }
  log_reachability (call->platform, result);
  call->done.commit (call->context, outcome, error);
  g_clear_error (&error);
  g_free (call);
}

static void
on_commit (void *context, const anvil_http_result_t *result)
{
  finish_write (context, result, commit_result (result));
}

/* A transaction with an invalid row ends inside anvil_platform_commit(). */
static void
reject_commit (anvil_platform_commit_cb_t done, void *context, GError *error)
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
                          call_new (platform, (call_callback_t){ .commit = done }, context));
  else
    reject_commit (done, context, error);
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
on_object_put (void *context, const anvil_http_result_t *result)
{
  gboolean stored = result->status == HTTP_OK;

  finish_write (context, result, stored ? ANVIL_COMMIT_DONE : write_result (result));
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
                        call_new (platform, (call_callback_t){ .commit = done }, context));
  g_free (uri);
  evbuffer_free (buffer);
}

static void
on_object (void *context, const anvil_http_result_t *result)
{
  call_t *call = context;
  GError *error = result_to_error (result);
  anvil_str_t body = { 0 };

  log_reachability (call->platform, result);
  if (error == NULL)
    body = (anvil_str_t){ .data = (const char *) evbuffer_pullup (result->body, -1),
                          .length = evbuffer_get_length (result->body) };
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
                        call_new (platform, (call_callback_t){ .object = done }, context));
  g_free (uri);
}

static void
on_vms (void *context, const anvil_http_result_t *result)
{
  call_t *call = context;
  anvil_platform_vms_t vms = { 0 };
  GError *error = result_to_error (result);

  log_reachability (call->platform, result);
  if (error == NULL)
    anvil_platform_unpack_vms (result->body, &vms, &error);
  call->done.vms (call->context, error == NULL ? &vms.list : NULL, error);
  anvil_platform_vms_clear (&vms);
  g_clear_error (&error);
  g_free (call);
}

void
anvil_platform_list_vms (anvil_platform_t *platform, anvil_platform_vms_cb_t done, void *context)
{
  anvil_http_pool_call (platform->pool, EVHTTP_REQ_GET, "/v1/vms", NULL, on_vms,
                        call_new (platform, (call_callback_t){ .vms = done }, context));
}
