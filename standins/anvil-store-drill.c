#include "anvil-store-drill.h"

#include "anvil/clock.h"
#include "anvil/log.h"

struct store_drill
{
  store_rows_t *rows;
  guint64 era;
  void (*changed) (void *context);
  void *context;
  gboolean away;
  store_drill_plan_t plan;
  /* Unix milliseconds of the copy. */
  gint64 copy_time;
  json_t *lost;
  struct event *return_timer;
  struct event *rewrite_timer;
};

static void
schedule (struct event *timer, guint64 ms)
{
  const struct timeval time = anvil_time_to_timeval ((anvil_time_t) ms * ANVIL_MS);

  evtimer_add (timer, &time);
}

static void
on_return (evutil_socket_t unused_fd, short unused_what, void *data)
{
  store_drill_t *drill = data;

  drill->away = FALSE;
  drill->era++;
  store_rows_restore (drill->rows, drill->copy_time, drill->lost);
  anvil_log (ANVIL_LOG_NOTICE, "store",
             "back from a copy era=%" G_GUINT64_FORMAT " version=%" G_GUINT64_FORMAT " lost=%zu",
             drill->era, store_rows_version (drill->rows), json_array_size (drill->lost));
  schedule (drill->rewrite_timer, drill->plan.rewrite);
}

/* Writes one row again, unless its writer has done so. */
static void
on_rewrite (evutil_socket_t unused_fd, short unused_what, void *data)
{
  store_drill_t *drill = data;
  json_t *item = json_array_get (drill->lost, 0);
  json_t *row = json_object_get (item, "row");
  json_t *transaction;

  if (item == NULL)
    return;
  if (!store_rows_was_written (drill->rows, row))
    {
      transaction = json_pack (
          "{s:[O]}", json_is_true (json_object_get (item, "removed")) ? "remove" : "writes", row);
      store_rows_commit (drill->rows, transaction);
      json_decref (transaction);
      drill->changed (drill->context);
    }
  json_array_remove (drill->lost, 0);
  schedule (drill->rewrite_timer, drill->plan.step);
}

store_drill_t *
store_drill_new (struct event_base *base,
                 store_rows_t *rows,
                 guint64 era,
                 void (*changed) (void *context),
                 void *context)
{
  store_drill_t *drill = g_new0 (store_drill_t, 1);

  drill->rows = rows;
  drill->era = era;
  drill->changed = changed;
  drill->context = context;
  drill->lost = json_array ();
  drill->return_timer = evtimer_new (base, on_return, drill);
  drill->rewrite_timer = evtimer_new (base, on_rewrite, drill);
  return drill;
}

void
store_drill_drop (store_drill_t *drill)
{
  event_free (drill->return_timer);
  event_free (drill->rewrite_timer);
  json_decref (drill->lost);
  g_free (drill);
}

void
store_drill_start (store_drill_t *drill, const store_drill_plan_t *plan)
{
  drill->plan = *plan;
  drill->copy_time = g_get_real_time () / 1000 - (gint64) plan->age;
  drill->away = TRUE;
  evtimer_del (drill->rewrite_timer);
  schedule (drill->return_timer, plan->away);
}

gboolean
store_drill_away (const store_drill_t *drill)
{
  return drill->away;
}

guint64
store_drill_era (const store_drill_t *drill)
{
  return drill->era;
}
