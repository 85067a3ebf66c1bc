/* Measures the cost for an entry of budgets: slots of upstreams and rates of links. */

#include <stdio.h>

#include "common-group.h"
#include "common-meter.h"

#define SETTLE_TIME (10 * ANVIL_SECOND)
#define MEASURED_TIME (10 * ANVIL_SECOND)
#define MIN_SEATS 12
#define SEED 1

static void
measure (guint regions, guint upstreams)
{
  const common_config_size_t size = {
    .n_regions = regions,
    .n_zones = regions * 2,
    .n_seats = MAX (MIN_SEATS, regions),
    .n_services = 3,
    .n_upstreams = upstreams,
    .n_blocks = 100,
  };
  gsize bytes_before = common_meter_memory ();
  common_group_t *group = common_group_new (&size, SEED);
  gint64 cpu_ns;
  gsize memory_bytes;

  common_group_advance (group, SETTLE_TIME);
  memory_bytes = common_meter_memory () - bytes_before;
  group->traffic = (common_traffic_t){ 0 };
  common_group_advance (group, MEASURED_TIME);
  cpu_ns = group->traffic.cpu_ns[0] + group->traffic.cpu_ns[1] + group->traffic.cpu_ns[2];
  printf (
      "links %u, upstreams %u (slots %u), seats %u: a node, a second: processor us %.0f; memory "
      "of a core KB %.0f\n",
      group->config->n_links, group->config->n_upstreams, group->config->n_upstreams * 3,
      size.n_seats,
      (gdouble) cpu_ns / 1000 / group->n_cores / ((gdouble) MEASURED_TIME / ANVIL_SECOND),
      (gdouble) memory_bytes / group->n_cores / 1024);
  common_group_drop (group);
}

int
main (void)
{
  static const guint upstreams[] = { 120, 480, 1920, 7680 };
  static const guint regions[] = { 3, 5, 10, 20 };

  for (gsize i = 0; i < G_N_ELEMENTS (upstreams); i++)
    measure (3, upstreams[i]);
  for (gsize i = 0; i < G_N_ELEMENTS (regions); i++)
    measure (regions[i], 480);
  return 0;
}
