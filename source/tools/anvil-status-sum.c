#include "anvil-status-sum.h"

#include <string.h>

#include "anvil-status-view.h"

static void
upstream_clear (gpointer data)
{
  status_upstream_t *upstream = data;

  g_free (upstream->name);
  g_free (upstream->service);
  g_free (upstream->half);
}

static void
link_clear (gpointer data)
{
  status_link_t *link = data;

  g_free (link->name);
}

static void
seat_clear (gpointer data)
{
  status_seat_t *seat = data;

  g_free (seat->holder);
}

static const char *
get_string (json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text != NULL ? text : "";
}

static gint64
get_integer (json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

static gboolean
get_boolean (json_t *object, const char *key)
{
  return json_is_true (json_object_get (object, key));
}

static status_upstream_t *
get_or_add_upstream (GArray *upstreams, json_t *item)
{
  status_upstream_t added = { 0 };

  for (guint i = 0; i < upstreams->len; i++)
    {
      status_upstream_t *upstream = &g_array_index (upstreams, status_upstream_t, i);

      if (strcmp (upstream->name, get_string (item, "name")) == 0)
        return upstream;
    }
  added.name = g_strdup (get_string (item, "name"));
  added.service = g_strdup (get_string (item, "service"));
  added.half = g_strdup (get_string (item, "half"));
  g_array_append_val (upstreams, added);
  return &g_array_index (upstreams, status_upstream_t, upstreams->len - 1);
}

static void
add_upstream (GArray *upstreams, json_t *item)
{
  status_upstream_t *upstream = get_or_add_upstream (upstreams, item);

  upstream->owned += get_integer (item, "owned");
  upstream->borrowed += get_integer (item, "borrowed");
  upstream->in_flight += get_integer (item, "in_flight");
  if (get_boolean (item, "accepting"))
    upstream->accepting++;
  else
    upstream->not_accepting++;
}

static status_link_t *
get_or_add_link (GArray *links, const char *name)
{
  status_link_t added = { 0 };

  for (guint i = 0; i < links->len; i++)
    {
      status_link_t *link = &g_array_index (links, status_link_t, i);

      if (strcmp (link->name, name) == 0)
        return link;
    }
  added.name = g_strdup (name);
  g_array_append_val (links, added);
  return &g_array_index (links, status_link_t, links->len - 1);
}

static void
add_link (GArray *links, json_t *item)
{
  char *name = g_strconcat (get_string (item, "from"), "->", get_string (item, "to"), NULL);
  status_link_t *link = get_or_add_link (links, name);

  link->share_bits_per_s += get_integer (item, "share_bits_per_s");
  link->available_bits += get_integer (item, "available_bits");
  link->used_bits += get_integer (item, "used_bits");
  g_free (name);
}

static status_seat_t *
get_or_add_seat (GArray *seats, gint64 number)
{
  status_seat_t added = { .seat = number };

  for (guint i = 0; i < seats->len; i++)
    {
      status_seat_t *seat = &g_array_index (seats, status_seat_t, i);

      if (seat->seat == number)
        return seat;
    }
  added.holder = g_strdup ("");
  g_array_append_val (seats, added);
  return &g_array_index (seats, status_seat_t, seats->len - 1);
}

static void
add_seat (GArray *seats, json_t *item)
{
  status_seat_t *seat = get_or_add_seat (seats, get_integer (item, "seat"));

  if (get_integer (item, "epoch") > seat->epoch)
    {
      g_free (seat->holder);
      seat->holder = g_strdup (get_string (item, "holder"));
      seat->epoch = get_integer (item, "epoch");
    }
  if (get_boolean (item, "usable"))
    seat->users++;
  if (get_boolean (item, "adopted"))
    seat->adopted = TRUE;
}

static void
add_all (GArray *sums, json_t *items, void (*add) (GArray *sums, json_t *item))
{
  size_t index;
  json_t *item;

  json_array_foreach (items, index, item) add (sums, item);
}

status_sum_t *
status_sum_new (const GArray *entries)
{
  status_sum_t *sum = g_new0 (status_sum_t, 1);

  sum->upstreams = g_array_new (FALSE, TRUE, sizeof (status_upstream_t));
  sum->links = g_array_new (FALSE, TRUE, sizeof (status_link_t));
  sum->seats = g_array_new (FALSE, TRUE, sizeof (status_seat_t));
  g_array_set_clear_func (sum->upstreams, upstream_clear);
  g_array_set_clear_func (sum->links, link_clear);
  g_array_set_clear_func (sum->seats, seat_clear);
  for (guint i = 0; i < entries->len; i++)
    {
      json_t *status = g_array_index (entries, status_entry_t, i).status;

      if (status == NULL)
        continue;
      add_all (sum->upstreams, json_object_get (status, "upstreams"), add_upstream);
      add_all (sum->links, json_object_get (status, "links"), add_link);
      add_all (sum->seats, json_object_get (status, "seats"), add_seat);
    }
  return sum;
}

void
status_sum_drop (status_sum_t *sum)
{
  if (sum == NULL)
    return;
  g_array_unref (sum->upstreams);
  g_array_unref (sum->links);
  g_array_unref (sum->seats);
  g_free (sum);
}
