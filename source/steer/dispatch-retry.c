/* Applies the retry budget that all entries share. */

#include "steer/dispatch-internal.h"

/* Share of the common retry budget that one holder uses. Two holders may act at the same time while
 * entries disagree, and the rest is left for retries that neither counts. */
#define RETRY_SHARE 0.4

/* What the service's holders counted in the window, this one included. */
static void
sum_counts (anvil_dispatcher_t *dispatcher,
            anvil_time_t now,
            service_t *service,
            guint *requests,
            guint *retries)
{
  const anvil_time_t length = dispatcher->limits.retry_window;

  anvil_retry_window_sum (&service->retry_window, now, length, requests, retries);
  for (guint i = 0; i < service->n_foreign_windows; i++)
    anvil_retry_window_sum (&service->foreign_windows[i].window, now, length, requests, retries);
}

gdouble
dispatch_retry_budget (anvil_dispatcher_t *dispatcher, anvil_time_t now, service_t *service)
{
  const anvil_dispatcher_limits_t *limits = &dispatcher->limits;
  guint requests = 0;
  guint retries = 0;

  sum_counts (dispatcher, now, service, &requests, &retries);
  return RETRY_SHARE * (limits->retry_ratio * requests + limits->retry_extra);
}

gboolean
dispatch_count_attempt (anvil_dispatcher_t *dispatcher, anvil_time_t now, task_t *task)
{
  const anvil_dispatcher_limits_t *limits = &dispatcher->limits;
  const gboolean is_retry = task->request.attempt > 1 || task->request.is_repeat;
  guint requests = 0;
  guint retries = 0;

  if (is_retry)
    {
      sum_counts (dispatcher, now, task->service, &requests, &retries);
      if (dispatcher->peers_unknown
          || retries + 1 > RETRY_SHARE * (limits->retry_ratio * requests + limits->retry_extra))
        return FALSE;
    }
  anvil_retry_window_add (&task->service->retry_window, now, limits->retry_window, is_retry);
  return TRUE;
}

static gboolean
is_empty (anvil_retry_window_t *window, anvil_time_t now, anvil_time_t length)
{
  guint requests = 0;
  guint retries = 0;

  anvil_retry_window_sum (window, now, length, &requests, &retries);
  return requests + retries == 0;
}

static void
drop_empty_windows (anvil_dispatcher_t *dispatcher, anvil_time_t now, service_t *service)
{
  for (guint i = service->n_foreign_windows; i > 0; i--)
    {
      foreign_window_t *foreign = &service->foreign_windows[i - 1];

      if (is_empty (&foreign->window, now, dispatcher->limits.retry_window))
        *foreign = service->foreign_windows[--service->n_foreign_windows];
    }
}

guint
anvil_dispatcher_list_retry_counts (anvil_dispatcher_t *dispatcher,
                                    anvil_time_t now,
                                    anvil_str_t name,
                                    anvil_retry_counts_t counts[ANVIL_MAX_RETRY_ORIGINS])
{
  const anvil_time_t length = dispatcher->limits.retry_window;
  service_t *service = dispatch_get_service (dispatcher, name);
  guint n = 0;

  if (length <= 0)
    return 0;
  drop_empty_windows (dispatcher, now, service);
  if (!is_empty (&service->retry_window, now, length))
    anvil_retry_window_save (&service->retry_window, now, length, &counts[n++]);
  for (guint i = 0; i < service->n_foreign_windows; i++, n++)
    {
      anvil_retry_window_save (&service->foreign_windows[i].window, now, length, &counts[n]);
      counts[n].origin = service->foreign_windows[i].origin;
    }
  return n;
}

/* The window of an origin, which may be a new one, or NULL if there are too many. */
static foreign_window_t *
get_foreign_window (service_t *service, guint64 origin)
{
  foreign_window_t *foreign;

  for (guint i = 0; i < service->n_foreign_windows; i++)
    {
      if (service->foreign_windows[i].origin == origin)
        return &service->foreign_windows[i];
    }
  if (service->n_foreign_windows == G_N_ELEMENTS (service->foreign_windows))
    return NULL;
  foreign = &service->foreign_windows[service->n_foreign_windows++];
  *foreign = (foreign_window_t){ .origin = origin };
  return foreign;
}

gboolean
anvil_dispatcher_add_retry_counts (anvil_dispatcher_t *dispatcher,
                                   anvil_time_t now,
                                   anvil_str_t name,
                                   const anvil_retry_counts_t *counts)
{
  service_t *service = dispatch_get_service (dispatcher, name);
  foreign_window_t *foreign;

  if (dispatcher->limits.retry_window <= 0)
    return FALSE;
  drop_empty_windows (dispatcher, now, service);
  foreign = get_foreign_window (service, counts->origin);
  if (foreign == NULL)
    return FALSE;
  if (counts->n_attempts > foreign->window.n_attempts)
    anvil_retry_window_load (&foreign->window, now, dispatcher->limits.retry_window, counts);
  return TRUE;
}
