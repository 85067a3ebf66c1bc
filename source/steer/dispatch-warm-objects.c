/* What upstreams remember, told by others and to others. */

#include "steer/dispatch-internal.h"

void
anvil_dispatcher_add_warm_object (
    anvil_dispatcher_t *dispatcher, anvil_time_t now, anvil_str_t name, guint64 hash, guint64 key)
{
  upstream_t *upstream = g_hash_table_lookup (dispatcher->upstreams, &key);
  service_t *service = dispatch_service (dispatcher, name);
  const anvil_task_t about = { .object = hash };
  object_t *object;

  if (upstream == NULL || !upstream->present || upstream->service != service || hash == 0)
    return;
  object = warmth_object (service, &about);
  warmth_remember (upstream, object, now);
  warmth_forget_object_if_idle (object);
}

void
anvil_dispatcher_list_warm_objects (const anvil_dispatcher_t *dispatcher,
                                    anvil_str_t name,
                                    void (*tell) (void *context, guint64 object, guint64 upstream),
                                    void *context)
{
  char *text = anvil_str_dup (name);
  const service_t *service = g_hash_table_lookup (dispatcher->services, text);

  g_free (text);
  for (guint i = 0; service != NULL && i < service->upstreams->len; i++)
    {
      const upstream_t *upstream = service->upstreams->pdata[i];

      for (guint j = 0; j < upstream->warm->len; j++)
        {
          const warmth_t *warmth = &g_array_index (upstream->warm, warmth_t, j);

          if (warmth->ready)
            tell (context, warmth->object->hash, upstream->record.key);
        }
    }
}
