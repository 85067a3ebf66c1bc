#include "health-task.h"

#include <event2/buffer.h>

#include "health-report.h"
#include "upstream-attempt.h"

#define POLL_TIMEOUT (1 * ANVIL_SECOND)
#define POLL_INTERVAL_MS 1000
#define TICK_MS 50
#define TICKS_PER_POLL_INTERVAL (POLL_INTERVAL_MS / TICK_MS)
/* Upstreams without a slot for this entry are polled once in this many intervals. */
#define POLL_INTERVALS_WITHOUT_SLOT 5

struct anvil_health_task
{
  anvil_upstream_pool_t *upstream_pool;
  anvil_steer_t *steer;
  anvil_metrics_t *metrics;
  char *path;
  struct event *timer;
  guint64 tick_count;
  /* poll_t in progress, by upstream key. */
  GHashTable *polls;
};

typedef struct
{
  anvil_health_task_t *task;
  guint64 upstream_key;
  anvil_time_t requested_at;
  anvil_attempt_t *attempt;
} poll_t;

static void
handle_report (poll_t *poll, struct evhttp_request *response)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (response);
  anvil_str_t text = { .length = evbuffer_get_length (body) };
  anvil_health_report_t report;

  text.data = (const char *) evbuffer_pullup (body, -1);
  if (evhttp_request_get_response_code (response) != HTTP_OK || text.data == NULL
      || !anvil_health_report_parse (text, &report))
    {
      anvil_metrics_add_counter (poll->task->metrics, "anvil_health_polls_total", "result=\"bad\"",
                                 1);
      return;
    }
  anvil_metrics_add_counter (poll->task->metrics, "anvil_health_polls_total", "result=\"ok\"", 1);
  anvil_steer_health_report (poll->task->steer, anvil_clock_now (), poll->upstream_key,
                             poll->requested_at, report.running, report.healthy, report.draining);
}

static void
on_poll_done (void *context, anvil_attempt_result_t result, struct evhttp_request *response)
{
  poll_t *poll = context;

  poll->attempt = NULL;
  if (response != NULL)
    handle_report (poll, response);
  else
    anvil_metrics_add_counter (poll->task->metrics, "anvil_health_polls_total", "result=\"lost\"",
                               1);
  g_hash_table_remove (poll->task->polls, &poll->upstream_key);
}

static void
start_poll (anvil_health_task_t *task, const anvil_upstream_t *upstream)
{
  anvil_time_t now = anvil_clock_now ();
  anvil_upstream_request_t target = { .address = upstream->address,
                                      .port = upstream->port,
                                      .method = EVHTTP_REQ_GET,
                                      .uri = task->path,
                                      .deadline = now + POLL_TIMEOUT };
  poll_t *poll;
  struct evhttp_request *request;

  if (g_hash_table_contains (task->polls, &upstream->key))
    return;
  poll = g_new0 (poll_t, 1);
  *poll = (poll_t){ .task = task, .upstream_key = upstream->key, .requested_at = now };
  g_hash_table_insert (task->polls, &poll->upstream_key, poll);
  poll->attempt = anvil_attempt_new (task->upstream_pool, &target, on_poll_done, poll);
  request = anvil_attempt_request (poll->attempt);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host", upstream->name.data);
  anvil_attempt_start (poll->attempt);
}

static gboolean
is_due (const anvil_health_task_t *task, guint upstream)
{
  guint64 interval = task->tick_count / TICKS_PER_POLL_INTERVAL;
  anvil_upstream_status_t status;

  if (upstream % TICKS_PER_POLL_INTERVAL != task->tick_count % TICKS_PER_POLL_INTERVAL)
    return FALSE;
  if (!anvil_steer_upstream_status (task->steer, anvil_clock_now (), upstream, &status))
    return FALSE;
  return status.owned + status.borrowed > 0
         || (upstream / TICKS_PER_POLL_INTERVAL) % POLL_INTERVALS_WITHOUT_SLOT
                == interval % POLL_INTERVALS_WITHOUT_SLOT;
}

static void
on_tick (evutil_socket_t fd, short what, void *data)
{
  anvil_health_task_t *task = data;
  const anvil_config_t *config = anvil_steer_config (task->steer);

  task->tick_count++;
  for (guint i = 0; config != NULL && i < config->n_upstreams; i++)
    {
      if (is_due (task, i))
        start_poll (task, &config->upstreams[i]);
    }
}

static void
drop_poll (gpointer data)
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
                        anvil_metrics_t *metrics,
                        const char *path)
{
  anvil_health_task_t *task = g_new0 (anvil_health_task_t, 1);
  const struct timeval tick_interval = { .tv_usec = TICK_MS * ANVIL_MS };

  task->upstream_pool = pool;
  task->steer = steer;
  task->metrics = metrics;
  task->path = g_strdup (path);
  task->polls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, drop_poll);
  task->timer = event_new (base, -1, EV_PERSIST, on_tick, task);
  event_add (task->timer, &tick_interval);
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
