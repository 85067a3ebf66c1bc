/* Adds warm objects that other entries report, and lists those that this dispatcher knows. */

#include "steer/dispatch-internal.h"

void
anvil_dispatcher_add_warm_object (
    anvil_dispatcher_t *dispatcher, anvil_time_t now, anvil_str_t name, guint64 hash, guint64 key)
{
  upstream_t *upstream = g_hash_table_lookup (dispatcher->upstreams, &key);
  service_t *service = dispatch_get_service (dispatcher, name);
  const anvil_task_t task = { .object = hash };
  object_t *object;

  if (upstream == NULL || !upstream->registered || upstream->service != service || hash == 0)
    return;
  object = warmth_get_object (service, &task);
  warmth_add_reported (upstream, object, now);
  warmth_drop_object_if_unused (object);
}

void
anvil_dispatcher_list_warm_objects (const anvil_dispatcher_t *dispatcher,
                                    anvil_str_t name,
                                    void (*visit) (void *context, guint64 object, guint64 upstream),
                                    void *context)
{
  char *text = anvil_str_dup (name);
  const service_t *service = g_hash_table_lookup (dispatcher->services, text);

  g_free (text);
  for (guint i = 0; service != NULL && i < service->upstreams->len; i++)
    {
      const upstream_t *upstream = service->upstreams->pdata[i];

      for (guint j = 0; j < upstream->warm_entries->len; j++)
        {
          const warm_entry_t *entry = &g_array_index (upstream->warm_entries, warm_entry_t, j);

          if (entry->ready)
            visit (context, entry->object->hash, upstream->record.key);
        }
    }
}
