#include "tools/anvil-config-in-force.h"

#include <jansson.h>

#include "anvil/settings.h"
#include "tools/tool-http.h"

#define STATUS_TIMEOUT (1 * ANVIL_SECOND)
#define POLL_INTERVAL (100 * ANVIL_MS)

/* One status request to each entry. */
typedef struct
{
  guint64 generation;
  guint n_pending;
  anvil_config_rollout_status_t count;
} poll_t;

static guint64
parse_generation (const tool_http_response_t *response)
{
  json_t *status = json_loadb (response->body.data, response->body.length, 0, NULL);
  json_int_t generation = json_integer_value (json_object_get (status, "generation"));

  json_decref (status);
  return generation > 0 ? (guint64) generation : 0;
}

static void
on_status (void *context, const tool_http_response_t *response)
{
  poll_t *poll = context;

  if (response->result != TOOL_HTTP_COMPLETE || response->status != 200)
    poll->count.silent++;
  else if (parse_generation (response) >= poll->generation)
    poll->count.in_force++;
  poll->n_pending--;
}

static void
poll_entries (anvil_config_session_t *session,
              char **entries,
              guint64 generation,
              anvil_config_rollout_status_t *status)
{
  poll_t poll = {
    .generation = generation,
    .n_pending = g_strv_length (entries),
    .count = { .entries = g_strv_length (entries) },
  };

  for (guint i = 0; entries[i] != NULL; i++)
    {
      tool_http_request_t request
          = { .method = EVHTTP_REQ_GET, .path = "/v1/status", .timeout = STATUS_TIMEOUT };

      if (anvil_endpoint_parse (entries[i], &request.address, &request.port))
        tool_http_send (session->base, &request, on_status, &poll);
      else
        poll.n_pending--;
    }
  while (poll.n_pending > 0)
    event_base_loop (session->base, EVLOOP_ONCE);
  /* Let the event loop free the connections, which it does after their callbacks. */
  event_base_loop (session->base, EVLOOP_NONBLOCK);
  *status = poll.count;
}

gboolean
anvil_config_wait_in_force (anvil_config_session_t *session,
                            guint64 generation,
                            anvil_time_t timeout,
                            anvil_config_rollout_status_t *status,
                            GError **error)
{
  anvil_time_t deadline = anvil_clock_now () + timeout;
  char **entries = anvil_config_session_list_entries (session, error);

  while (entries == NULL && anvil_clock_now () < deadline)
    {
      g_usleep ((gulong) POLL_INTERVAL);
      g_clear_error (error);
      entries = anvil_config_session_list_entries (session, error);
    }
  if (entries == NULL)
    return FALSE;
  poll_entries (session, entries, generation, status);
  while (status->in_force < status->entries && anvil_clock_now () < deadline)
    {
      g_usleep ((gulong) POLL_INTERVAL);
      poll_entries (session, entries, generation, status);
    }
  g_strfreev (entries);
  return TRUE;
}
