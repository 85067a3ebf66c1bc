#include "vm-task.h"

#include "anvil/log.h"

#define POLL_INTERVAL (1 * ANVIL_SECOND)
#define MAX_POLL_INTERVAL (8 * ANVIL_SECOND)
/* Random variation of the interval, so that the polls of many entries are spread over time. */
#define JITTER_PERCENT 20

struct anvil_vm_task
{
  anvil_platform_t *platform;
  anvil_steer_t *steer;
  anvil_metrics_t *metrics;
  struct event *timer;
  anvil_time_t interval;
};

static void
schedule_poll (anvil_vm_task_t *task)
{
  gint32 percent = g_random_int_range (100 - JITTER_PERCENT, 100 + JITTER_PERCENT);
  anvil_time_t wait = task->interval * percent / 100;
  struct timeval delay = { .tv_sec = wait / ANVIL_SECOND, .tv_usec = wait % ANVIL_SECOND };

  event_add (task->timer, &delay);
}

static void
on_list (void *context, const anvil_vm_list_t *list, const GError *error)
{
  anvil_vm_task_t *task = context;

  if (error != NULL)
    {
      anvil_metrics_add_counter (task->metrics, "anvil_platform_failures_total", "call=\"vms\"", 1);
      if (task->interval == POLL_INTERVAL)
        anvil_log (ANVIL_LOG_WARNING, "vms", "can't read the VM list error=\"%s\"", error->message);
      task->interval = MIN (task->interval * 2, MAX_POLL_INTERVAL);
    }
  else
    {
      task->interval = POLL_INTERVAL;
      anvil_steer_update_vm_list (task->steer, anvil_clock_now (), list);
    }
  schedule_poll (task);
}

static void
on_timer (evutil_socket_t fd, short what, void *data)
{
  anvil_vm_task_t *task = data;

  anvil_platform_list_vms (task->platform, on_list, task);
}

anvil_vm_task_t *
anvil_vm_task_open (struct event_base *base,
                    anvil_platform_t *platform,
                    anvil_steer_t *steer,
                    anvil_metrics_t *metrics)
{
  anvil_vm_task_t *task = g_new0 (anvil_vm_task_t, 1);
  const struct timeval no_delay = { 0 };

  task->platform = platform;
  task->steer = steer;
  task->metrics = metrics;
  task->interval = POLL_INTERVAL;
  task->timer = evtimer_new (base, on_timer, task);
  event_add (task->timer, &no_delay);
  return task;
}

void
anvil_vm_task_close (anvil_vm_task_t *task)
{
  if (task == NULL)
    return;
  event_free (task->timer);
  g_free (task);
}
