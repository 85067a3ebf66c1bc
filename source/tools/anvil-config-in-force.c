#include "tools/anvil-config-in-force.h"

#include <jansson.h>

#include "anvil/settings.h"
#include "tools/tool-http.h"

#define ASK_TIMEOUT (1 * ANVIL_SECOND)
#define ASK_INTERVAL (100 * ANVIL_MS)

/* One round of questions to all entries. */
typedef struct
{
  guint64 generation;
  guint open;
  anvil_config_rollout_status_t count;
} round_t;

static guint64
generation_of (const tool_http_response_t *answer)
{
  json_t *status = json_loadb (answer->body.data, answer->body.length, 0, NULL);
  json_int_t generation = json_integer_value (json_object_get (status, "generation"));

  json_decref (status);
  return generation > 0 ? (guint64) generation : 0;
}

static void
on_status (void *context, const tool_http_response_t *answer)
{
  round_t *round = context;

  if (answer->result != TOOL_HTTP_COMPLETE || answer->status != 200)
    round->count.silent++;
  else if (generation_of (answer) >= round->generation)
    round->count.in_force++;
  round->open--;
}

static void
ask_all (anvil_config_session_t *session,
         char **entries,
         guint64 generation,
         anvil_config_rollout_status_t *result)
{
  round_t round = {
    .generation = generation,
    .open = g_strv_length (entries),
    .count = { .entries = g_strv_length (entries) },
  };

  for (guint i = 0; entries[i] != NULL; i++)
    {
      tool_http_request_t request
          = { .method = EVHTTP_REQ_GET, .path = "/v1/status", .timeout = ASK_TIMEOUT };

      if (anvil_endpoint_parse (entries[i], &request.address, &request.port))
        tool_http_send (session->base, &request, on_status, &round);
      else
        round.open--;
    }
  while (round.open > 0)
    event_base_loop (session->base, EVLOOP_ONCE);
  /* Connections are freed by the loop, after their callbacks. */
  event_base_loop (session->base, EVLOOP_NONBLOCK);
  *result = round.count;
}

gboolean
anvil_config_wait_in_force (anvil_config_session_t *session,
                            guint64 generation,
                            anvil_time_t patience,
                            anvil_config_rollout_status_t *result,
                            GError **error)
{
  anvil_time_t until = anvil_clock_now () + patience;
  char **entries = anvil_config_session_list_entries (session, error);

  while (entries == NULL && anvil_clock_now () < until)
    {
      g_usleep ((gulong) ASK_INTERVAL);
      g_clear_error (error);
      entries = anvil_config_session_list_entries (session, error);
    }
  if (entries == NULL)
    return FALSE;
  ask_all (session, entries, generation, result);
  while (result->in_force < result->entries && anvil_clock_now () < until)
    {
      g_usleep ((gulong) ASK_INTERVAL);
      ask_all (session, entries, generation, result);
    }
  g_strfreev (entries);
  return TRUE;
}
