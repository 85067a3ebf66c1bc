/*
 * Choice of the region whose entries serve a caller.
 *
 * A slot is occupied for the round trip between entry and upstream, so an entry in the upstream's
 * region completes far more requests per slot than one in another region. Callers are therefore
 * sent to the region of the upstreams that will serve them. The fractions depend on the
 * configuration only, so all entries compute the same ones. Each region serves its own callers up
 * to its fraction of the slots; the excess goes to regions with spare slots, in proportion to them.
 */

#include "steer/steer-internal.h"

/* Fraction of all callers whose nearest region is each region, by number of addresses. */
static void
caller_fractions (const anvil_config_t *config, gdouble *fractions)
{
  gdouble total = 0;

  for (guint i = 0; i < config->n_blocks; i++)
    {
      gdouble addresses
          = (gdouble) (G_GUINT64_CONSTANT (1) << (32 - config->blocks[i].prefix_length));

      fractions[config->blocks[i].region] += addresses;
      total += addresses;
    }
  for (guint i = 0; i < config->n_regions; i++)
    fractions[i] = total > 0 ? fractions[i] / total : 1.0 / config->n_regions;
}

/* Fraction of a queue's slots in each region. */
static void
slot_fractions (const anvil_config_t *config, const anvil_queue_t *queue, gdouble *fractions)
{
  gdouble total = 0;

  for (guint i = 0; i < queue->upstreams->len; i++)
    {
      guint index = g_array_index (queue->upstreams, anvil_upstream_state_t *, i)->index;

      if (config->upstreams[index].draining)
        continue;
      fractions[anvil_config_upstream_region (config, index)] += config->upstreams[index].slots;
      total += config->upstreams[index].slots;
    }
  for (guint i = 0; i < config->n_regions; i++)
    fractions[i] = total > 0 ? fractions[i] / total : 0;
}

void
anvil_steer_compute_region_shares (anvil_steer_t *steer, anvil_queue_t *queue)
{
  gsize n = steer->config->n_regions;
  gdouble *callers = g_new0 (gdouble, n);
  gdouble *slots = g_new0 (gdouble, n);
  gdouble spare = 0;

  caller_fractions (steer->config, callers);
  slot_fractions (steer->config, queue, slots);
  for (gsize i = 0; i < n; i++)
    spare += MAX (0, slots[i] - callers[i]);

  queue->region_shares = g_new0 (gdouble, n * n);
  for (gsize home = 0; home < n; home++)
    {
      gdouble *fractions = &queue->region_shares[home * n];
      gdouble own_fraction = callers[home] > 0 ? MIN (1, slots[home] / callers[home]) : 0;

      if (spare <= 0)
        own_fraction = 1;
      for (gsize i = 0; i < n && own_fraction < 1; i++)
        fractions[i] = (1 - own_fraction) * MAX (0, slots[i] - callers[i]) / spare;
      fractions[home] += own_fraction;
    }
  g_free (callers);
  g_free (slots);
}

/* Hash of a caller as a number from 0 to 1, independent of the hash that determines its half. */
static gdouble
hash_fraction_of_client (const anvil_queue_t *queue, guint32 client_address)
{
  const guint32 key[] = { queue->service, client_address };

  return (gdouble) (anvil_str_hash (
                        (anvil_str_t){ .data = (const char *) key, .length = sizeof key })
                    >> 11)
         / (gdouble) (G_GUINT64_CONSTANT (1) << 53);
}

guint
anvil_steer_choose_region (const anvil_steer_t *steer,
                           const anvil_queue_t *queue,
                           guint home,
                           guint32 client_address)
{
  const gdouble *fractions = &queue->region_shares[(gsize) home * steer->config->n_regions];
  gdouble remainder = hash_fraction_of_client (queue, client_address);

  /* An entry in the caller's region can charge the link of a bulk body before it is crossed. */
  if (anvil_traffic_class (steer->config->services[queue->service].request_bits)
      == ANVIL_TRAFFIC_BULK)
    return home;
  for (guint i = 0; i < steer->config->n_regions; i++)
    {
      remainder -= fractions[i];
      if (remainder < 0)
        return i;
    }
  return home;
}
