#include "health-task.h"

#include <event2/buffer.h>

#include "health-report.h"
#include "upstream-attempt.h"

#define POLL_TIMEOUT (1 * ANVIL_SECOND)
#define ROUND_MS 1000
#define TICK_MS 50
#define TICKS_PER_ROUND (ROUND_MS / TICK_MS)
/* Upstreams without a slot for this entry are asked in one of so many rounds. */
#define IDLE_ROUNDS 5

struct anvil_health_task
{
  anvil_upstream_pool_t *pool;
  anvil_steer_t *steer;
  anvil_metrics_t *counters;
  char *path;
  struct event *timer;
  guint64 tick;
  /* Polls under way by the upstream's key. */
  GHashTable *polls;
};

typedef struct
{
  anvil_health_task_t *task;
  guint64 upstream;
  anvil_time_t asked_at;
  anvil_attempt_t *attempt;
} poll_t;

static void
take_report (poll_t *poll, struct evhttp_request *response)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (response);
  anvil_str_t text = { .length = evbuffer_get_length (body) };
  anvil_health_report_t report;

  text.data = (const char *) evbuffer_pullup (body, -1);
  if (evhttp_request_get_response_code (response) != HTTP_OK || text.data == NULL
      || !anvil_health_report_load (text, &report))
    {
      anvil_metrics_add_counter (poll->task->counters, "anvil_health_polls_total", "result=\"bad\"",
                                 1);
      return;
    }
  anvil_metrics_add_counter (poll->task->counters, "anvil_health_polls_total", "result=\"ok\"", 1);
  anvil_steer_health_report (poll->task->steer, anvil_clock_now (), poll->upstream, poll->asked_at,
                             report.running, report.healthy, report.draining);
}

static void
on_done (void *context, anvil_attempt_result_t result, struct evhttp_request *response)
{
  poll_t *poll = context;

  poll->attempt = NULL;
  if (response != NULL)
    take_report (poll, response);
  else
    anvil_metrics_add_counter (poll->task->counters, "anvil_health_polls_total", "result=\"lost\"",
                               1);
  g_hash_table_remove (poll->task->polls, &poll->upstream);
}

static void
ask (anvil_health_task_t *task, const anvil_upstream_t *upstream)
{
  anvil_time_t now = anvil_clock_now ();
  anvil_attempt_order_t order = { .address = upstream->address,
                                  .port = upstream->port,
                                  .method = EVHTTP_REQ_GET,
                                  .uri = task->path,
                                  .deadline = now + POLL_TIMEOUT };
  poll_t *poll;
  struct evhttp_request *request;

  if (g_hash_table_contains (task->polls, &upstream->key))
    return;
  poll = g_new0 (poll_t, 1);
  *poll = (poll_t){ .task = task, .upstream = upstream->key, .asked_at = now };
  g_hash_table_insert (task->polls, &poll->upstream, poll);
  poll->attempt = anvil_attempt_new (task->pool, &order, on_done, poll);
  request = anvil_attempt_request (poll->attempt);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host", upstream->name.data);
  anvil_attempt_start (poll->attempt);
}

static gboolean
is_due (const anvil_health_task_t *task, guint upstream)
{
  guint64 round = task->tick / TICKS_PER_ROUND;
  anvil_upstream_status_t status;

  if (upstream % TICKS_PER_ROUND != task->tick % TICKS_PER_ROUND)
    return FALSE;
  if (!anvil_steer_upstream_status (task->steer, anvil_clock_now (), upstream, &status))
    return FALSE;
  return status.owned + status.borrowed > 0
         || (upstream / TICKS_PER_ROUND) % IDLE_ROUNDS == round % IDLE_ROUNDS;
}

static void
on_tick (evutil_socket_t fd, short what, void *data)
{
  anvil_health_task_t *task = data;
  const anvil_config_t *config = anvil_steer_config (task->steer);

  task->tick++;
  for (guint i = 0; config != NULL && i < config->n_upstreams; i++)
    {
      if (is_due (task, i))
        ask (task, &config->upstreams[i]);
    }
}

static void
free_poll (gpointer data)
{
  poll_t *poll = data;

  if (poll->attempt != NULL)
    anvil_attempt_cancel (poll->attempt);
  g_free (poll);
}

anvil_health_task_t *
anvil_health_task_open (struct event_base *base,
                        anvil_upstream_pool_t *pool,
                        anvil_steer_t *steer,
                        anvil_metrics_t *counters,
                        const char *path)
{
  anvil_health_task_t *task = g_new0 (anvil_health_task_t, 1);
  const struct timeval period = { .tv_usec = TICK_MS * ANVIL_MS };

  task->pool = pool;
  task->steer = steer;
  task->counters = counters;
  task->path = g_strdup (path);
  task->polls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_poll);
  task->timer = event_new (base, -1, EV_PERSIST, on_tick, task);
  event_add (task->timer, &period);
  return task;
}

void
anvil_health_task_close (anvil_health_task_t *task)
{
  if (task == NULL)
    return;
  event_free (task->timer);
  g_hash_table_unref (task->polls);
  g_free (task->path);
  g_free (task);
}
