/*
 * Upstreams as the holder of their service sees them: how they come and go, and
 * when one that fails gets nothing for a while.
 *
 * Answers upstreams that crash, come back cold or break off: two failures in a
 * row are enough, a trial with one task brings it back.
 */

#include "anvil/log.h"
#include "steer/dispatch-internal.h"

/* Failures in a row after which an upstream gets nothing for a while. */
#define FAILURES_TO_EJECT 2
/* First and longest time that an upstream is left alone after failures. */
#define EJECTION (500 * ANVIL_MS)
#define MAX_EJECTION (4 * ANVIL_SECOND)

void
dispatch_upstream_free (gpointer data)
{
  upstream_t *upstream = data;

  g_free (upstream->record.id);
  g_free (upstream->record.zone);
  g_ptr_array_unref (upstream->running);
  g_array_unref (upstream->warm);
  g_free (upstream);
}

void
dispatch_upstream_count (service_t *service)
{
  service->n_slots = 0;
  for (guint i = 0; i < service->upstreams->len; i++)
    {
      const upstream_t *upstream = service->upstreams->pdata[i];

      if (anvil_registry_usable (&upstream->record) && !upstream->trial)
        service->n_slots += upstream->record.slots;
    }
}

void
dispatch_upstream_enter (upstream_t *upstream, service_t *service)
{
  upstream->service = service;
  upstream->present = TRUE;
  g_ptr_array_add (service->upstreams, upstream);
}

void
dispatch_upstream_leave (upstream_t *upstream)
{
  upstream->present = FALSE;
  g_ptr_array_remove_fast (upstream->service->upstreams, upstream);
  warmth_forget_upstream (upstream);
  dispatch_upstream_count (upstream->service);
}

void
dispatch_upstream_update (anvil_dispatcher_t *dispatcher,
                          upstream_t *upstream,
                          const anvil_registered_upstream_t *record,
                          anvil_str_t region)
{
  g_free (upstream->record.id);
  g_free (upstream->record.zone);
  upstream->record = *record;
  upstream->record.id = g_strdup (record->id);
  upstream->record.zone = g_strdup (record->zone);
  upstream->record.service = NULL;
  upstream->record.slots = CLAMP (record->slots, 1, MAX_SLOTS);
  upstream->region = name_number (dispatcher, region);
  upstream->zone = name_number (dispatcher, anvil_str (record->zone));
}

/* A process that began anew knows nothing of its predecessor's work. */
void
dispatch_upstream_begin_anew (upstream_t *upstream)
{
  warmth_forget_upstream (upstream);
  upstream->slowness = 1;
  upstream->fault_share = 0;
  upstream->failures = 0;
  upstream->ejections = 0;
  upstream->ejected_until = 0;
  upstream->trial = FALSE;
}

upstream_t *
dispatch_upstream_new (anvil_dispatcher_t *dispatcher, guint64 key)
{
  upstream_t *upstream = g_new0 (upstream_t, 1);

  upstream->record.key = key;
  upstream->running = g_ptr_array_new ();
  upstream->warm = g_array_new (FALSE, FALSE, sizeof (warmth_t));
  upstream->slowness = 1;
  g_hash_table_insert (dispatcher->upstreams, &upstream->record.key, upstream);
  return upstream;
}

static void
eject (upstream_t *upstream, anvil_time_t now)
{
  anvil_time_t length = MIN (EJECTION << MIN (upstream->ejections, 8), MAX_EJECTION);

  upstream->ejections++;
  upstream->ejected_until = now + length;
  upstream->trial = TRUE;
  dispatch_upstream_count (upstream->service);
  anvil_log (ANVIL_LOG_NOTICE, "dispatch",
             "upstream gets nothing for a while upstream=%s service=%s failures=%u "
             "for_ms=%" G_GINT64_FORMAT,
             upstream->record.id, upstream->service->name, upstream->failures, length / ANVIL_MS);
}

/* It answers again; it may have restarted, so it is taken to be cold. */
static void
reinstate (upstream_t *upstream, anvil_time_t now)
{
  upstream->trial = FALSE;
  upstream->ejections = 0;
  upstream->record.cold_until
      = MAX (upstream->record.cold_until, now + upstream->service->profile.cold_time);
  dispatch_upstream_count (upstream->service);
  anvil_log (ANVIL_LOG_NOTICE, "dispatch", "upstream answers again upstream=%s service=%s",
             upstream->record.id, upstream->service->name);
}

void
dispatch_upstream_judge (upstream_t *upstream, anvil_time_t now, anvil_run_result_t result)
{
  if (result == ANVIL_RUN_UNUSED)
    return;
  if (result == ANVIL_RUN_CONNECT_FAILED || result == ANVIL_RUN_INTERRUPTED)
    {
      upstream->failures++;
      if (upstream->trial || upstream->failures >= FAILURES_TO_EJECT)
        eject (upstream, now);
      return;
    }
  upstream->failures = 0;
  if (upstream->trial)
    reinstate (upstream, now);
}
