#include "anvil-status-view.h"

#include <string.h>

#include "anvil-status-sum.h"

#define BITS_PER_MBIT 1e6

void
status_entry_clear (gpointer data)
{
  status_entry_t *entry = data;

  g_free (entry->address);
  json_decref (entry->status);
}

gboolean
status_entry_parse (status_entry_t *entry, anvil_str_t body)
{
  const char *node;
  json_int_t generation;
  int ready;
  int leaving;

  entry->status = json_loadb (body.data != NULL ? body.data : "", body.length, 0, NULL);
  if (entry->status != NULL
      && json_unpack (entry->status, "{s:s, s:I, s:b, s:b}", "node", &node, "generation",
                      &generation, "ready", &ready, "leaving", &leaving)
             == 0)
    return TRUE;
  json_decref (entry->status);
  entry->status = NULL;
  return FALSE;
}

static gboolean
entry_is_ready (const status_entry_t *entry)
{
  return json_is_true (json_object_get (entry->status, "ready"))
         && !json_is_true (json_object_get (entry->status, "leaving"));
}

static gint64
entry_integer (const status_entry_t *entry, const char *key)
{
  return json_integer_value (json_object_get (entry->status, key));
}

static gboolean
seats_have_one_user (const GArray *entries)
{
  status_sum_t *sum = status_sum_new (entries);
  gboolean valid = TRUE;

  for (guint i = 0; i < sum->seats->len; i++)
    valid = valid && g_array_index (sum->seats, status_seat_t, i).users == 1;
  status_sum_drop (sum);
  return valid;
}

status_verdict_t
status_view_verdict (const GArray *entries)
{
  gint64 generation = -1;
  guint n_responded = 0;
  gboolean degraded = FALSE;

  for (guint i = 0; i < entries->len; i++)
    {
      const status_entry_t *entry = &g_array_index (entries, status_entry_t, i);

      if (entry->status == NULL)
        {
          degraded = TRUE;
          continue;
        }
      if (n_responded++ == 0)
        generation = entry_integer (entry, "generation");
      if (!entry_is_ready (entry) || entry_integer (entry, "generation") != generation)
        degraded = TRUE;
    }
  if (n_responded == 0)
    return STATUS_NO_RESPONSE;
  return degraded || !seats_have_one_user (entries) ? STATUS_DEGRADED : STATUS_READY;
}

static void
append_entry (const status_entry_t *entry, GString *out)
{
  const char *state = entry_is_ready (entry) ? "ready" : "not ready";

  if (entry->status == NULL)
    {
      g_string_append_printf (out, "%-20s no answer\n", entry->address);
      return;
    }
  if (json_is_true (json_object_get (entry->status, "leaving")))
    state = "leaving";
  g_string_append_printf (
      out, "%-20s %-9s %-20s %-12s %10" G_GINT64_FORMAT " %6" G_GINT64_FORMAT " %8zu\n",
      entry->address, state, json_string_value (json_object_get (entry->status, "node")),
      json_string_value (json_object_get (entry->status, "zone")),
      entry_integer (entry, "generation"), entry_integer (entry, "busy"),
      json_array_size (json_object_get (entry->status, "members")));
}

static void
append_seats (const GArray *seats, GString *out)
{
  g_string_append_printf (out, "\n%-6s %-20s %8s %6s %s\n", "seat", "holder", "epoch", "users",
                          "note");
  for (guint i = 0; i < seats->len; i++)
    {
      const status_seat_t *seat = &g_array_index (seats, status_seat_t, i);
      const char *note = seat->adopted ? "adopted" : "";

      if (seat->users == 0)
        note = "stranded";
      if (seat->users > 1)
        note = "USED TWICE";
      g_string_append_printf (out, "%-6" G_GINT64_FORMAT " %-20s %8" G_GINT64_FORMAT " %6u %s\n",
                              seat->seat, seat->holder, seat->epoch, seat->users, note);
    }
}

static void
append_upstreams (const GArray *upstreams, GString *out)
{
  g_string_append_printf (out, "\n%-28s %-14s %-8s %6s %9s %10s %s\n", "upstream", "service",
                          "half", "slots", "in flight", "headroom", "work");
  for (guint i = 0; i < upstreams->len; i++)
    {
      const status_upstream_t *upstream = &g_array_index (upstreams, status_upstream_t, i);
      gint64 spare_slots = upstream->owned - upstream->in_flight;
      gdouble headroom_percent
          = upstream->owned > 0 ? 100.0 * (gdouble) spare_slots / (gdouble) upstream->owned : 0;
      const char *work = upstream->not_accepting == 0 ? "taken" : "taken by some";

      g_string_append_printf (
          out, "%-28s %-14s %-8s %6" G_GINT64_FORMAT " %9" G_GINT64_FORMAT " %8.0f %% %s\n",
          upstream->name, upstream->service, upstream->half, upstream->owned, upstream->in_flight,
          headroom_percent, upstream->accepting == 0 ? "none" : work);
    }
}

static gint64
earlier_used_bits (const GArray *links, const char *name)
{
  for (guint i = 0; i < links->len; i++)
    {
      const status_link_t *link = &g_array_index (links, status_link_t, i);

      if (strcmp (link->name, name) == 0)
        return link->used_bits;
    }
  return 0;
}

static void
append_links (const GArray *links, const GArray *before, anvil_time_t interval, GString *out)
{
  g_string_append_printf (out, "\n%-24s %14s %14s %10s\n", "link", "Mbit/s", "used Mbit/s",
                          "headroom");
  for (guint i = 0; i < links->len; i++)
    {
      const status_link_t *link = &g_array_index (links, status_link_t, i);
      /* The counter of an entry that restarted in between starts from 0 again. */
      gint64 bits_since = MAX (link->used_bits - earlier_used_bits (before, link->name), 0);
      gdouble used_bits_per_s = (gdouble) bits_since * ANVIL_SECOND / (gdouble) interval;
      gdouble share_bits_per_s = (gdouble) link->share_bits_per_s;

      g_string_append_printf (
          out, "%-24s %14.1f %14.1f %8.0f %%\n", link->name, share_bits_per_s / BITS_PER_MBIT,
          used_bits_per_s / BITS_PER_MBIT,
          share_bits_per_s > 0 ? 100 * (share_bits_per_s - used_bits_per_s) / share_bits_per_s : 0);
    }
}

void
status_view_text (const GArray *entries, const GArray *before, anvil_time_t interval, GString *out)
{
  status_sum_t *sum = status_sum_new (entries);
  status_sum_t *earlier = status_sum_new (before);

  g_string_append_printf (out, "%-20s %-9s %-20s %-12s %10s %6s %8s\n", "entry", "state", "node",
                          "zone", "generation", "busy", "members");
  for (guint i = 0; i < entries->len; i++)
    append_entry (&g_array_index (entries, status_entry_t, i), out);
  append_seats (sum->seats, out);
  append_upstreams (sum->upstreams, out);
  append_links (sum->links, earlier->links, interval, out);
  status_sum_drop (earlier);
  status_sum_drop (sum);
}

json_t *
status_view_json (const GArray *entries)
{
  json_t *array = json_array ();

  for (guint i = 0; i < entries->len; i++)
    {
      const status_entry_t *entry = &g_array_index (entries, status_entry_t, i);
      json_t *status = entry->status != NULL ? json_incref (entry->status) : json_null ();

      json_array_append_new (array,
                             json_pack ("{s:s, s:o}", "admin", entry->address, "status", status));
    }
  return json_pack ("{s:i, s:o}", "verdict", (int) status_view_verdict (entries), "entries", array);
}
