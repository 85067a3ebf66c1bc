/* Applies the retry budget that all entries share. */

#include "steer/dispatch-internal.h"

/* Share of the common retry budget that one holder uses. Two holders may act at the same time while
 * entries disagree, and the rest is left for retries that neither counts. */
#define RETRY_SHARE 0.4

gboolean
dispatch_count_attempt (anvil_dispatcher_t *dispatcher, anvil_time_t now, task_t *task)
{
  const anvil_dispatcher_limits_t *limits = &dispatcher->limits;

  if (task->request.attempt <= 1)
    {
      anvil_retry_window_add_request (&task->service->retry_window, now, limits->retry_window);
      return TRUE;
    }
  return !dispatcher->peers_unknown
         && anvil_retry_window_try_retry (&task->service->retry_window, now, limits->retry_window,
                                          limits->retry_ratio * RETRY_SHARE,
                                          limits->retry_extra * RETRY_SHARE);
}
