/* Repeats: what one holder may grant of the budget that all entries share. */

#include "steer/dispatch-internal.h"

/* Share of the common retry budget that one holder spends; two may act at the same time while
 * entries disagree, and some is left for what neither sees. */
#define RETRY_SHARE 0.4

/* Counts a try against the retry budget; FALSE if there is none left for it. */
gboolean
dispatch_spend_try (anvil_dispatcher_t *dispatcher, anvil_time_t now, task_t *task)
{
  const anvil_dispatcher_limits_t *bounds = &dispatcher->bounds;

  if (task->wanted.attempt <= 1)
    {
      anvil_retry_window_request (&task->service->retries, now, bounds->retry_window);
      return TRUE;
    }
  return anvil_retry_window_spend (&task->service->retries, now, bounds->retry_window,
                                   bounds->retry_ratio * RETRY_SHARE,
                                   bounds->retry_extra * RETRY_SHARE);
}
