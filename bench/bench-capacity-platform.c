/* Measures the cost of packing and unpacking data of the platform, by the number of records. */

#include <event2/buffer.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "common-meter.h"
#include "net/platform-client-codec.h"

#define REPEATS 20
#define WALL_CLOCK_US 1790000000000000

static struct evbuffer *
make_body (json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);
  struct evbuffer *body = evbuffer_new ();

  evbuffer_add (body, text, strlen (text));
  free (text);
  json_decref (json);
  return body;
}

static struct evbuffer *
make_vms (guint n_entries, guint n_upstreams)
{
  json_t *vms = json_array ();

  for (guint i = 0; i < n_entries + n_upstreams; i++)
    {
      gboolean entry = i < n_entries;
      char name[32];
      char zone[16];
      char address[16];
      json_t *vm;

      g_snprintf (name, sizeof name, entry ? "entry-%u" : "galeria-zapad-a-%u", i);
      g_snprintf (zone, sizeof zone, "zapad-%u", i % 39);
      g_snprintf (address, sizeof address, "10.100.%u.%u", i >> 8, i & 255);
      vm = json_pack ("{s:s,s:s,s:s,s:s,s:s}", "name", name, "kind", entry ? "entry" : "upstream",
                      "state", "live", "zone", zone, "address", address);
      if (entry)
        {
          json_object_set_new (vm, "peer_port", json_integer (7000));
          json_object_set_new (vm, "caller_port", json_integer (8000));
          json_object_set_new (vm, "admin_port", json_integer (9000));
        }
      json_array_append_new (vms, vm);
    }
  return make_body (json_pack ("{s:i,s:o}", "version", 9, "vms", vms));
}

static void
measure_vms (guint n_entries, guint n_upstreams)
{
  gint64 best_ns = G_MAXINT64;
  gsize bytes = 0;

  for (guint i = 0; i < REPEATS; i++)
    {
      struct evbuffer *body = make_vms (n_entries, n_upstreams);
      anvil_platform_vms_t vms = { 0 };
      gint64 started_at_ns;

      bytes = evbuffer_get_length (body);
      started_at_ns = common_meter_cpu ();
      g_assert (anvil_platform_unpack_vms (body, &vms, NULL));
      anvil_platform_vms_clear (&vms);
      best_ns = MIN (best_ns, common_meter_cpu () - started_at_ns);
      evbuffer_free (body);
    }
  printf ("VM list of %u entries and %u upstreams: %zu bytes, %.0f a VM, unpack us %.0f\n",
          n_entries, n_upstreams, bytes, (gdouble) bytes / (n_entries + n_upstreams),
          (gdouble) best_ns / 1e3);
}

static struct evbuffer *
make_rows (guint n_seats)
{
  json_t *rows = json_array ();

  for (guint i = 0; i < n_seats; i++)
    {
      char key[16];
      char *value;

      g_snprintf (key, sizeof key, "seat/%u", i);
      value = g_strdup_printf ("{\"holder\":\"10.100.%u.%u:7000\",\"incarnation\":%" G_GINT64_FORMAT
                               ",\"list_version\":%u}",
                               i >> 8, i & 255, (gint64) WALL_CLOCK_US + i, 9u);
      json_array_append_new (rows,
                             json_pack ("{s:s,s:s,s:i}", "key", key, "value", value, "version", 1));
      g_free (value);
    }
  return make_body (json_pack ("{s:o}", "rows", rows));
}

static void
measure_rows (guint n_seats)
{
  gint64 best_ns = G_MAXINT64;
  gsize bytes = 0;

  for (guint i = 0; i < REPEATS; i++)
    {
      struct evbuffer *body = make_rows (n_seats);
      anvil_platform_rows_t rows = { 0 };
      gint64 started_at_ns;

      bytes = evbuffer_get_length (body);
      started_at_ns = common_meter_cpu ();
      g_assert (anvil_platform_unpack_rows (body, &rows, NULL));
      anvil_platform_rows_clear (&rows);
      best_ns = MIN (best_ns, common_meter_cpu () - started_at_ns);
      evbuffer_free (body);
    }
  printf ("rows of %u seats: %zu bytes, %.0f a row, unpack us %.0f\n", n_seats, bytes,
          (gdouble) bytes / n_seats, (gdouble) best_ns / 1e3);
}

/* Claims are committed in batches; each consists of a condition and a write of its key. */
static void
measure_claims (guint n_claims)
{
  anvil_row_t *rows = g_new0 (anvil_row_t, n_claims);
  gint64 best_ns = G_MAXINT64;
  gsize bytes = 0;

  for (guint i = 0; i < n_claims; i++)
    {
      rows[i].key = anvil_str (g_strdup_printf ("claim/rezervacie/%016x%016x", i, i * 7));
      rows[i].value = anvil_str (g_strdup_printf (
          "{\"nonce\":\"%016x\",\"state\":\"claimed\",\"status\":0,\"until\":%" G_GINT64_FORMAT "}",
          i, (gint64) WALL_CLOCK_US));
    }
  for (guint i = 0; i < REPEATS; i++)
    {
      struct evbuffer *body = evbuffer_new ();
      gint64 started_at_ns = common_meter_cpu ();

      g_assert (anvil_platform_pack_commit (rows, n_claims, rows, n_claims, body, NULL));
      best_ns = MIN (best_ns, common_meter_cpu () - started_at_ns);
      bytes = evbuffer_get_length (body);
      evbuffer_free (body);
    }
  printf ("claims committed together %u: %zu bytes, %.0f a claim, pack us %.1f, %.2f a claim\n",
          n_claims, bytes, (gdouble) bytes / n_claims, (gdouble) best_ns / 1e3,
          (gdouble) best_ns / 1e3 / n_claims);
  for (guint i = 0; i < n_claims; i++)
    {
      g_free ((char *) rows[i].key.data);
      g_free ((char *) rows[i].value.data);
    }
  g_free (rows);
}

int
main (void)
{
  static const guint claims[] = { 1, 8, 64, 256 };
  static const guint seats[] = { 7, 50, 150, 490 };

  measure_vms (7, 38);
  measure_vms (50, 120);
  measure_vms (150, 300);
  measure_vms (490, 756);
  for (gsize i = 0; i < G_N_ELEMENTS (seats); i++)
    measure_rows (seats[i]);
  for (gsize i = 0; i < G_N_ELEMENTS (claims); i++)
    measure_claims (claims[i]);
  return 0;
}
