/*
 * Which region's entries serve a caller.
 *
 * A slot is held for the whole way to its upstream and back, so an entry next to the upstream makes
 * far more of it than one across a link. Callers are therefore sent to the region of the upstreams
 * that will serve them. The parts are worked out from the file alone, alike at every entry: each
 * region serves its own callers as far as its part of the slots goes, and what is left over goes to
 * the regions that have room, in proportion.
 */

#include "steer/steer-internal.h"

/* Parts of all callers that are nearest to each region, by their number of addresses. */
static void
count_callers (const anvil_config_t *config, gdouble *parts)
{
  gdouble total = 0;

  for (guint i = 0; i < config->n_blocks; i++)
    {
      gdouble addresses
          = (gdouble) (G_GUINT64_CONSTANT (1) << (32 - config->blocks[i].prefix_length));

      parts[config->blocks[i].region] += addresses;
      total += addresses;
    }
  for (guint i = 0; i < config->n_regions; i++)
    parts[i] = total > 0 ? parts[i] / total : 1.0 / config->n_regions;
}

/* Parts of a queue's slots that are in each region. */
static void
count_slots (const anvil_config_t *config, const anvil_queue_t *queue, gdouble *parts)
{
  gdouble total = 0;

  for (guint i = 0; i < queue->upstreams->len; i++)
    {
      guint index = g_array_index (queue->upstreams, anvil_upstream_state_t *, i)->index;

      if (config->upstreams[index].draining)
        continue;
      parts[anvil_config_upstream_region (config, index)] += config->upstreams[index].slots;
      total += config->upstreams[index].slots;
    }
  for (guint i = 0; i < config->n_regions; i++)
    parts[i] = total > 0 ? parts[i] / total : 0;
}

void
anvil_steer_placement_configure (anvil_steer_t *steer, anvil_queue_t *queue)
{
  gsize n = steer->config->n_regions;
  gdouble *callers = g_new0 (gdouble, n);
  gdouble *slots = g_new0 (gdouble, n);
  gdouble room = 0;

  count_callers (steer->config, callers);
  count_slots (steer->config, queue, slots);
  for (gsize i = 0; i < n; i++)
    room += MAX (0, slots[i] - callers[i]);

  queue->placement = g_new0 (gdouble, n * n);
  for (gsize home = 0; home < n; home++)
    {
      gdouble *parts = &queue->placement[home * n];
      gdouble kept = callers[home] > 0 ? MIN (1, slots[home] / callers[home]) : 0;

      if (room <= 0)
        kept = 1;
      for (gsize i = 0; i < n && kept < 1; i++)
        parts[i] = (1 - kept) * MAX (0, slots[i] - callers[i]) / room;
      parts[home] += kept;
    }
  g_free (callers);
  g_free (slots);
}

/* A number from 0 to 1 that belongs to a caller, apart from the one that gives its half. */
static gdouble
draw_of_client (const anvil_queue_t *queue, guint32 client)
{
  const guint32 key[] = { queue->service, client };

  return (gdouble) (anvil_str_hash (
                        (anvil_str_t){ .data = (const char *) key, .length = sizeof key })
                    >> 11)
         / (gdouble) (G_GUINT64_CONSTANT (1) << 53);
}

guint
anvil_steer_place_client (const anvil_steer_t *steer,
                          const anvil_queue_t *queue,
                          guint home,
                          guint32 client)
{
  const gdouble *parts = &queue->placement[(gsize) home * steer->config->n_regions];
  gdouble draw = draw_of_client (queue, client);

  /* A large body is better charged to its link before it crosses it. */
  if (anvil_traffic_of (steer->config->services[queue->service].request_bits) == ANVIL_TRAFFIC_BULK)
    return home;
  for (guint i = 0; i < steer->config->n_regions; i++)
    {
      draw -= parts[i];
      if (draw < 0)
        return i;
    }
  return home;
}
