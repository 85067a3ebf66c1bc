#include "entry/config-task.h"

#include "config/config-follower.h"
#include "config/config-head.h"

/*
 * Connects the follower of the configuration to the event loop and the platform
 * client. A call of the client holds a reference to the task, because its
 * callback may run after the task was closed.
 */
struct anvil_config_task
{
  guint references;
  gboolean closed;
  anvil_platform_t *platform;
  anvil_config_task_callbacks_t callbacks;
  void *context;
  struct event *timer;
  anvil_config_follower_t *follower;
};

static void
task_drop (anvil_config_task_t *task)
{
  if (--task->references > 0)
    return;
  anvil_config_follower_drop (task->follower);
  g_free (task);
}

static void
run_tick (anvil_config_task_t *task)
{
  anvil_time_t now = anvil_clock_now ();
  anvil_time_t delay = MAX (anvil_config_follower_tick (task->follower, now) - now, ANVIL_MS);
  const struct timeval timeout
      = { .tv_sec = delay / ANVIL_SECOND, .tv_usec = delay % ANVIL_SECOND };

  if (!task->closed)
    evtimer_add (task->timer, &timeout);
}

/* Finds the value of the head row. A read by prefix may return longer keys too. */
static anvil_str_t
find_head (const anvil_row_t *rows, guint n_rows)
{
  for (guint i = 0; i < n_rows; i++)
    {
      if (anvil_str_equal (rows[i].key, anvil_str (ANVIL_HEAD_KEY)))
        return rows[i].value;
    }
  return anvil_str (NULL);
}

static void
on_head (void *context, const anvil_row_t *rows, guint n_rows, const GError *error)
{
  anvil_config_task_t *task = context;

  if (!task->closed)
    {
      anvil_config_follower_head_read (task->follower, anvil_clock_now (), error == NULL,
                                       error == NULL ? find_head (rows, n_rows) : anvil_str (NULL));
      run_tick (task);
    }
  task_drop (task);
}

static void
read_head (void *context)
{
  anvil_config_task_t *task = context;

  task->references++;
  anvil_platform_read_rows (task->platform, ANVIL_HEAD_KEY, on_head, task);
}

static void
on_object (void *context, anvil_str_t body, const GError *error)
{
  anvil_config_task_t *task = context;

  if (!task->closed)
    {
      anvil_config_follower_object_received (task->follower, anvil_clock_now (), error == NULL,
                                             body);
      run_tick (task);
    }
  task_drop (task);
}

static void
get_object (void *context, const char *name)
{
  anvil_config_task_t *task = context;

  task->references++;
  anvil_platform_get_object (task->platform, name, on_object, task);
}

static void
request_from_peer (void *context, anvil_node_t peer, guint64 generation)
{
  anvil_config_task_t *task = context;

  task->callbacks.request_from_peer (task->context, peer, generation);
}

static void
in_force (void *context, anvil_config_t *config, guint64 generation)
{
  anvil_config_task_t *task = context;

  task->callbacks.in_force (task->context, config, generation);
}

static void
on_timer (evutil_socket_t fd, short what, void *context)
{
  run_tick (context);
}

anvil_config_task_t *
anvil_config_task_open (struct event_base *base,
                        anvil_platform_t *platform,
                        const anvil_config_task_callbacks_t *callbacks,
                        void *context)
{
  static const anvil_config_follower_callbacks_t follower_callbacks = {
    .read_head = read_head,
    .get_object = get_object,
    .request_from_peer = request_from_peer,
    .in_force = in_force,
  };
  static const struct timeval no_delay = { 0 };
  anvil_config_task_t *task = g_new0 (anvil_config_task_t, 1);

  task->references = 1;
  task->platform = platform;
  task->callbacks = *callbacks;
  task->context = context;
  task->follower = anvil_config_follower_new (g_random_int (), &follower_callbacks, task);
  task->timer = evtimer_new (base, on_timer, task);
  evtimer_add (task->timer, &no_delay);
  return task;
}

void
anvil_config_task_close (anvil_config_task_t *task)
{
  if (task == NULL)
    return;
  task->closed = TRUE;
  event_free (task->timer);
  task->timer = NULL;
  task_drop (task);
}

void
anvil_config_task_add_source (anvil_config_task_t *task, guint64 generation, anvil_node_t peer)
{
  static const struct timeval no_delay = { 0 };

  anvil_config_follower_add_source (task->follower, anvil_clock_now (), generation, peer);
  /* The tick is deferred, because this function may be called while a message of the peer is
   * handled. */
  evtimer_add (task->timer, &no_delay);
}

void
anvil_config_task_peer_response (anvil_config_task_t *task,
                                 guint64 generation,
                                 anvil_str_t head,
                                 anvil_str_t file)
{
  anvil_config_follower_peer_response (task->follower, head, file);
}

guint64
anvil_config_task_current (const anvil_config_task_t *task, anvil_str_t *head, anvil_str_t *file)
{
  return anvil_config_follower_current (task->follower, head, file);
}
