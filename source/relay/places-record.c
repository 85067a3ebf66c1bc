#include "relay/places-record.h"

#include "anvil/log.h"

#define TABLE "places"
/* How often a holder writes: places change as demand does, over seconds. */
#define WRITE_PERIOD_S 5
/* Most places of a service that are kept; 32 KB, half of the smallest row that the platform allows.
 */
#define MAX_PLACES 2048

struct anvil_places_record
{
  anvil_store_t *store;
  anvil_slot_broker_t *desk;
  struct event *timer;
  /* Hash of what was written last, by service. */
  GHashTable *written;
};

static void
on_written (void *context, const GError *error)
{
  if (error != NULL)
    anvil_log (ANVIL_LOG_INFO, "places", "places weren't written reason=\"%s\"", error->message);
}

static gint
by_object (gconstpointer a, gconstpointer b)
{
  const anvil_place_t *x = a;
  const anvil_place_t *y = b;

  if (x->object != y->object)
    return x->object < y->object ? -1 : 1;
  return x->upstream < y->upstream ? -1 : x->upstream > y->upstream;
}

static void
write_service (void *context, const char *service)
{
  anvil_places_record_t *record = context;
  anvil_place_t *places = g_new (anvil_place_t, MAX_PLACES);
  guint n = anvil_relay_desk_list_places (record->desk, service, places, MAX_PLACES);
  GByteArray *bytes = g_byte_array_new ();
  anvil_str_t value;
  guint64 hash;
  const guint64 *last = g_hash_table_lookup (record->written, service);

  qsort (places, n, sizeof *places, by_object);
  anvil_places_pack (places, n, bytes);
  value = (anvil_str_t){ .data = (const char *) bytes->data, .length = bytes->len };
  hash = anvil_str_hash (value);
  if (n > 0 && (last == NULL || *last != hash))
    {
      g_hash_table_insert (record->written, g_strdup (service), g_memdup2 (&hash, sizeof hash));
      anvil_store_put (record->store, TABLE, service, &value, on_written, NULL);
    }
  g_byte_array_unref (bytes);
  g_free (places);
}

static void
on_timer (evutil_socket_t unused_fd, short unused_what, void *data)
{
  anvil_places_record_t *record = data;

  anvil_relay_desk_each_held (record->desk, write_service, record);
}

anvil_places_record_t *
anvil_places_record_open (struct event_base *base, anvil_store_t *store, anvil_slot_broker_t *desk)
{
  anvil_places_record_t *record = g_new0 (anvil_places_record_t, 1);
  const struct timeval period = { .tv_sec = WRITE_PERIOD_S };

  record->store = store;
  record->desk = desk;
  record->written = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  record->timer = event_new (base, -1, EV_PERSIST, on_timer, record);
  event_add (record->timer, &period);
  return record;
}

void
anvil_places_record_close (anvil_places_record_t *record)
{
  if (record == NULL)
    return;
  event_free (record->timer);
  g_hash_table_unref (record->written);
  g_free (record);
}

static void
on_read (void *context, const anvil_store_page_t *page, const GError *error)
{
  anvil_slot_broker_t *desk = context;
  anvil_place_t *places;

  if (error != NULL)
    {
      anvil_log (ANVIL_LOG_NOTICE, "places", "places weren't read reason=\"%s\"", error->message);
      return;
    }
  places = g_new (anvil_place_t, MAX_PLACES);
  for (guint i = 0; i < page->n_rows; i++)
    {
      char *service = anvil_str_dup (page->rows[i].key);
      guint n = anvil_places_unpack (page->rows[i].value, places, MAX_PLACES);

      anvil_relay_desk_tell_places (desk, anvil_relay_desk_self (desk), service, places, n);
      anvil_log (ANVIL_LOG_INFO, "places", "places read service=%s places=%u", service, n);
      g_free (service);
    }
  g_free (places);
}

void
anvil_places_record_read (anvil_places_record_t *record)
{
  anvil_store_read (record->store, TABLE, NULL, on_read, record->desk);
}
