#include "relay/warm-object-backup.h"

#include "anvil/log.h"

#define TABLE "places"
/* Warm objects change with the callers' demand, over seconds. */
#define WRITE_PERIOD_S 5
/* Objects written per service: 32 KB, half of the smallest row limit that the platform may have. */
#define MAX_OBJECTS 2048

struct anvil_warm_object_backup
{
  anvil_store_t *store;
  anvil_slot_broker_t *slot_broker;
  struct event *timer;
  struct event *rewrite_timer;
  /* Hash of the value that was written last, by name of the service. */
  GHashTable *written_hashes;
};

static void
on_written (void *context, const GError *error)
{
  if (error != NULL)
    anvil_log (ANVIL_LOG_INFO, "places", "cannot write warm objects reason=\"%s\"", error->message);
}

static gint
by_object (gconstpointer a, gconstpointer b)
{
  const anvil_warm_object_t *x = a;
  const anvil_warm_object_t *y = b;

  if (x->object != y->object)
    return x->object < y->object ? -1 : 1;
  return x->upstream < y->upstream ? -1 : x->upstream > y->upstream;
}

static void
write_service (void *context, const char *service)
{
  anvil_warm_object_backup_t *backup = context;
  anvil_warm_object_t *objects = g_new (anvil_warm_object_t, MAX_OBJECTS);
  guint n
      = anvil_slot_broker_list_warm_objects (backup->slot_broker, service, objects, MAX_OBJECTS);
  GByteArray *bytes = g_byte_array_new ();
  anvil_str_t value;
  guint64 hash;
  const guint64 *last = g_hash_table_lookup (backup->written_hashes, service);

  qsort (objects, n, sizeof *objects, by_object);
  anvil_warm_objects_pack (objects, n, bytes);
  value = (anvil_str_t){ .data = (const char *) bytes->data, .length = bytes->len };
  hash = anvil_str_hash (value);
  if (n > 0 && (last == NULL || *last != hash))
    {
      g_hash_table_insert (backup->written_hashes, g_strdup (service),
                           g_memdup2 (&hash, sizeof hash));
      anvil_store_put (backup->store, TABLE, service, &value, on_written, NULL);
    }
  g_byte_array_unref (bytes);
  g_free (objects);
}

static void
on_timer (evutil_socket_t unused_fd, short unused_what, void *data)
{
  anvil_warm_object_backup_t *backup = data;

  anvil_slot_broker_foreach_held_service (backup->slot_broker, write_service, backup);
}

anvil_warm_object_backup_t *
anvil_warm_object_backup_open (struct event_base *base,
                               anvil_store_t *store,
                               anvil_slot_broker_t *broker)
{
  anvil_warm_object_backup_t *backup = g_new0 (anvil_warm_object_backup_t, 1);
  const struct timeval period = { .tv_sec = WRITE_PERIOD_S };

  backup->store = store;
  backup->slot_broker = broker;
  backup->written_hashes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  backup->timer = event_new (base, -1, EV_PERSIST, on_timer, backup);
  backup->rewrite_timer = evtimer_new (base, on_timer, backup);
  event_add (backup->timer, &period);
  return backup;
}

void
anvil_warm_object_backup_close (anvil_warm_object_backup_t *backup)
{
  if (backup == NULL)
    return;
  event_free (backup->timer);
  event_free (backup->rewrite_timer);
  g_hash_table_unref (backup->written_hashes);
  g_free (backup);
}

void
anvil_warm_object_backup_rewrite (anvil_warm_object_backup_t *backup, anvil_time_t pause)
{
  const struct timeval time = anvil_time_to_timeval (pause);

  g_hash_table_remove_all (backup->written_hashes);
  evtimer_add (backup->rewrite_timer, &time);
}

static void
on_read (void *context, const anvil_store_page_t *page, const GError *error)
{
  anvil_slot_broker_t *broker = context;
  anvil_warm_object_t *objects;

  if (error != NULL)
    {
      anvil_log (ANVIL_LOG_NOTICE, "places", "cannot read warm objects reason=\"%s\"",
                 error->message);
      return;
    }
  objects = g_new (anvil_warm_object_t, MAX_OBJECTS);
  for (guint i = 0; i < page->n_rows; i++)
    {
      char *service = anvil_str_dup (page->rows[i].key);
      guint n = anvil_warm_objects_unpack (page->rows[i].value, objects, MAX_OBJECTS);

      anvil_slot_broker_send_warm_objects (broker, anvil_slot_broker_self (broker), service,
                                           objects, n);
      anvil_log (ANVIL_LOG_INFO, "places", "warm objects read service=%s places=%u", service, n);
      g_free (service);
    }
  g_free (objects);
}

void
anvil_warm_object_backup_restore (anvil_warm_object_backup_t *backup)
{
  anvil_store_read (backup->store, TABLE, NULL, NULL, on_read, backup->slot_broker);
}
