/* Look-up, settings and status of the services of a dispatcher. */

#include "steer/dispatch-repeat.h"

service_t *
dispatch_get_service (anvil_dispatcher_t *dispatcher, anvil_str_t name)
{
  char *text = anvil_str_dup (name);
  service_t *service = g_hash_table_lookup (dispatcher->services, text);

  if (service != NULL)
    {
      g_free (text);
      return service;
    }
  service = g_new0 (service_t, 1);
  service->name = text;
  service->dispatcher = dispatcher;
  service->upstreams = g_ptr_array_new ();
  service->objects = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, warmth_object_free);
  class_init_service (service);
  service->waiting_queues = g_hash_table_new (NULL, NULL);
  service->plain_queues = g_hash_table_new (NULL, NULL);
  service->cold_queues = g_ptr_array_new ();
  service->max_warm_objects = MAX_WARM_OBJECTS;
  service->shifts = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  fairness_open (service);
  service->repeats = dispatch_repeats_new ();
  g_hash_table_insert (dispatcher->services, service->name, service);
  return service;
}

shift_window_t *
dispatch_shift_of (const task_t *task)
{
  gpointer region = GUINT_TO_POINTER (task->region);
  shift_window_t *window = g_hash_table_lookup (task->service->shifts, region);

  if (window == NULL)
    {
      window = g_new0 (shift_window_t, 1);
      g_hash_table_insert (task->service->shifts, region, window);
    }
  return window;
}

void
anvil_dispatcher_set_service (anvil_dispatcher_t *dispatcher, const anvil_service_t *profile)
{
  service_t *service = dispatch_get_service (dispatcher, anvil_str (profile->name));

  service->profile = *profile;
  service->profile.name = service->name;
}

void
anvil_dispatcher_hold_service (anvil_dispatcher_t *dispatcher, anvil_time_t now, anvil_str_t name)
{
  dispatch_get_service (dispatcher, name)->held_since = now;
}

gboolean
anvil_dispatcher_status (const anvil_dispatcher_t *dispatcher,
                         anvil_str_t name,
                         anvil_dispatcher_status_t *status)
{
  char *text = anvil_str_dup (name);
  const service_t *service = g_hash_table_lookup (dispatcher->services, text);

  g_free (text);
  if (service == NULL)
    return FALSE;
  *status = (anvil_dispatcher_status_t){ .upstreams = service->upstreams->len,
                                         .slots = service->n_slots,
                                         .running = service->n_running,
                                         .waiting = service->n_waiting,
                                         .limited = service->n_limited,
                                         .usable_slots = service->usable_slots,
                                         .classes
                                         = service->classes->len - G_N_ELEMENTS (service->kinds) };
  return TRUE;
}
