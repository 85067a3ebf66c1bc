/*
 * State of upstreams in the dispatcher, and outlier ejection.
 *
 * An upstream that crashes or breaks connections is ejected after two failures in
 * a row: it gets no slots granted for a while, then one task at a time as a probe.
 * The first response reinstates it.
 */

#include "anvil/log.h"
#include "steer/dispatch-internal.h"

/* Failures in a row after which an upstream is ejected. */
#define FAILURES_TO_EJECT 2
/* Duration of the first ejection, doubled with each further one, and the longest. */
#define EJECTION_TIME (500 * ANVIL_MS)
#define MAX_EJECTION_TIME (4 * ANVIL_SECOND)
/* A service whose responses have named no speed for this long counts as one whose upstreams name
 * none. Longer than a quiet service goes without requests. */
#define SPEED_RETENTION (60 * ANVIL_SECOND)

void
dispatch_upstream_free (gpointer data)
{
  upstream_t *upstream = data;

  g_free (upstream->record.id);
  g_free (upstream->record.zone);
  g_ptr_array_unref (upstream->running);
  g_array_unref (upstream->warm_entries);
  g_array_unref (upstream->backlog);
  pause_clear (upstream);
  g_free (upstream);
}

void
dispatch_update_slot_count (service_t *service)
{
  service->n_slots = 0;
  service->usable_slots = 0;
  service->n_limited = 0;
  service->least_slowness = 1;
  for (guint i = 0; i < service->upstreams->len; i++)
    {
      const upstream_t *upstream = service->upstreams->pdata[i];

      if (anvil_registry_usable (&upstream->record) && !upstream->probing)
        {
          if (service->n_slots == 0 || upstream->slowness < service->least_slowness)
            service->least_slowness = upstream->slowness;
          service->n_slots += upstream->record.slots;
          service->usable_slots += limit_usable_slots (upstream);
        }
      service->n_limited += upstream->is_limited ? 1 : 0;
    }
}

void
dispatch_upstream_add (upstream_t *upstream, service_t *service)
{
  upstream->service = service;
  upstream->registered = TRUE;
  g_array_set_size (upstream->backlog, 0);
  g_ptr_array_add (service->upstreams, upstream);
}

void
dispatch_upstream_remove (upstream_t *upstream)
{
  upstream->registered = FALSE;
  g_ptr_array_remove_fast (upstream->service->upstreams, upstream);
  warmth_clear_upstream (upstream);
  dispatch_update_slot_count (upstream->service);
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
  upstream->record.slots = CLAMP (record->slots, 1, MAX_UPSTREAM_SLOTS);
  upstream->region = name_id (dispatcher, region);
  upstream->zone = name_id (dispatcher, anvil_str (record->zone));
}

void
dispatch_upstream_reset (upstream_t *upstream)
{
  warmth_clear_upstream (upstream);
  limit_clear (upstream);
  pause_clear (upstream);
  upstream->run_time = (estimate_t){ 0 };
  upstream->run_time_ratio = 1;
  upstream->last_run_was_long = FALSE;
  upstream->speed = (anvil_upstream_speed_t){ 0 };
  upstream->slowness = 1;
  upstream->failure_rate = 0;
  upstream->consecutive_failures = 0;
  upstream->consecutive_ejections = 0;
  upstream->ejected_until = 0;
  upstream->probing = FALSE;
}

upstream_t *
dispatch_upstream_new (anvil_dispatcher_t *dispatcher, guint64 key)
{
  upstream_t *upstream = g_new0 (upstream_t, 1);

  upstream->record.key = key;
  upstream->running = g_ptr_array_new ();
  upstream->warm_entries = g_array_new (FALSE, FALSE, sizeof (warm_entry_t));
  upstream->backlog = g_array_new (FALSE, FALSE, sizeof (backlog_t));
  upstream->run_time_ratio = 1;
  upstream->slowness = 1;
  g_hash_table_insert (dispatcher->upstreams, &upstream->record.key, upstream);
  return upstream;
}

void
dispatch_upstream_set_speed (upstream_t *upstream, anvil_time_t now, guint percent)
{
  service_t *service = upstream->service;

  if (!anvil_upstream_speed_is_valid (percent))
    return;
  anvil_upstream_speed_set (&upstream->speed, now, percent);
  upstream->slowness = anvil_upstream_speed_factor (&upstream->speed, now);
  service->speed_named_at = now;
  if (service->names_speed)
    return;
  anvil_log (ANVIL_LOG_NOTICE, "dispatch", "upstreams name the speed of their VMs service=%s",
             service->name);
  service->names_speed = TRUE;
  class_refresh (service);
}

void
dispatch_update_speeds (service_t *service, anvil_time_t now)
{
  if (!service->names_speed)
    return;
  for (guint i = 0; i < service->upstreams->len; i++)
    {
      upstream_t *upstream = service->upstreams->pdata[i];

      upstream->slowness = anvil_upstream_speed_factor (&upstream->speed, now);
    }
  service->names_speed = now - service->speed_named_at < SPEED_RETENTION;
  if (!service->names_speed)
    class_refresh (service);
  dispatch_update_slot_count (service);
}

static void
eject (upstream_t *upstream, anvil_time_t now)
{
  anvil_time_t duration
      = MIN (EJECTION_TIME << MIN (upstream->consecutive_ejections, 8), MAX_EJECTION_TIME);

  upstream->consecutive_ejections++;
  upstream->ejected_until = now + duration;
  upstream->probing = TRUE;
  dispatch_update_slot_count (upstream->service);
  anvil_log (ANVIL_LOG_NOTICE, "dispatch",
             "upstream ejected upstream=%s service=%s failures=%u "
             "for_ms=%" G_GINT64_FORMAT,
             upstream->record.id, upstream->service->name, upstream->consecutive_failures,
             duration / ANVIL_MS);
}

/* The upstream responds again. It may have restarted, so it counts as cold. */
static void
reinstate (upstream_t *upstream, anvil_time_t now)
{
  upstream->probing = FALSE;
  upstream->consecutive_ejections = 0;
  upstream->record.cold_until
      = MAX (upstream->record.cold_until, now + upstream->service->profile.cold_time);
  dispatch_update_slot_count (upstream->service);
  anvil_log (ANVIL_LOG_NOTICE, "dispatch",
             "ejected upstream responds again, reinstated upstream=%s service=%s",
             upstream->record.id, upstream->service->name);
}

void
dispatch_upstream_record_result (upstream_t *upstream, anvil_time_t now, anvil_run_result_t result)
{
  if (result == ANVIL_RUN_UNUSED)
    return;
  if (result == ANVIL_RUN_CONNECT_FAILED || result == ANVIL_RUN_INTERRUPTED)
    {
      upstream->consecutive_failures++;
      if (upstream->probing || upstream->consecutive_failures >= FAILURES_TO_EJECT)
        eject (upstream, now);
      return;
    }
  upstream->consecutive_failures = 0;
  if (upstream->probing)
    reinstate (upstream, now);
}
