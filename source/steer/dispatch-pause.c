/*
 * Keeps to the pauses that upstreams ask for.
 *
 * An upstream that turns requests away may ask the entry that sent them for a
 * pause. It holds for that entry only: the upstream may still have room for the
 * requests of others, which then get its slots.
 */

#include "steer/dispatch-internal.h"

/* Callers that are told to return when a pause ends are spread over at most this time. */
#define MAX_RETURN_SPREAD (2 * ANVIL_SECOND)

static anvil_time_t
pause_end (const upstream_t *upstream, anvil_node_t requester)
{
  const anvil_time_t *end
      = upstream->pauses != NULL ? g_hash_table_lookup (upstream->pauses, &requester) : NULL;

  return end != NULL ? *end : 0;
}

gboolean
pause_applies (const upstream_t *upstream, const task_t *task, anvil_time_t now)
{
  return pause_end (upstream, task->request.id.requester) > now;
}

static gboolean
has_ended (gpointer unused_key, gpointer value, gpointer data)
{
  return *(const anvil_time_t *) value <= *(const anvil_time_t *) data;
}

void
anvil_dispatcher_pause_upstream (anvil_dispatcher_t *dispatcher,
                                 anvil_time_t now,
                                 guint64 key,
                                 gint64 started_at,
                                 anvil_node_t requester,
                                 anvil_time_t until)
{
  upstream_t *upstream = g_hash_table_lookup (dispatcher->upstreams, &key);

  if (upstream == NULL || (started_at != 0 && started_at < upstream->record.started_at))
    return;
  if (upstream->pauses == NULL)
    upstream->pauses = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  g_hash_table_foreach_remove (upstream->pauses, has_ended, &now);
  if (until > MAX (now, pause_end (upstream, requester)))
    g_hash_table_insert (upstream->pauses, g_memdup2 (&requester, sizeof requester),
                         g_memdup2 (&until, sizeof until));
  upstream->service->pauses_end = MAX (upstream->service->pauses_end, until);
}

void
pause_clear (upstream_t *upstream)
{
  g_clear_pointer (&upstream->pauses, g_hash_table_unref);
}

/* When the first upstream that @allowed lets the task use wants it: @now if one does already,
 * G_MAXINT64 if there is none. */
static anvil_time_t
first_wanted_at (const task_t *task,
                 anvil_time_t now,
                 gboolean (*allowed) (const upstream_t *upstream, const task_t *task))
{
  const GPtrArray *upstreams = task->service->upstreams;
  anvil_time_t first = G_MAXINT64;

  for (guint i = 0; i < upstreams->len && first > now; i++)
    {
      const upstream_t *upstream = upstreams->pdata[i];

      if (anvil_registry_usable (&upstream->record) && allowed (upstream, task))
        first = MIN (first, MAX (pause_end (upstream, task->request.id.requester), now));
    }
  return first;
}

gboolean
pause_outlasts (const task_t *task, anvil_time_t now)
{
  anvil_time_t end;

  /* Most often all pauses are over, or will be in time. */
  if (task->service->pauses_end <= now
      || !refusing_misses_deadline (task, task->service->pauses_end))
    return FALSE;
  end = first_wanted_at (task, now, placing_allowed);
  return end > now && end < G_MAXINT64 && refusing_misses_deadline (task, end);
}

anvil_time_t
pause_retry_after (const task_t *task, anvil_time_t now)
{
  service_t *service = task->service;
  const anvil_time_t end = first_wanted_at (task, now, placing_region_allowed);
  const anvil_time_t run_time = warmth_mean_run_time (task->class, TRUE);

  if (end <= now || end == G_MAXINT64)
    return 0;
  service->return_offset += run_time / MAX (service->n_slots, 1);
  service->return_offset %= MAX_RETURN_SPREAD;
  return end - now + service->return_offset;
}
