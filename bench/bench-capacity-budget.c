/* What a budget line costs an entry: slots of upstreams, and rates of links. */

#include <stdio.h>

#include "common-group.h"
#include "common-meter.h"

#define SETTLE (10 * ANVIL_SECOND)
#define STEADY (10 * ANVIL_SECOND)
#define NODES 12
#define SEED 1

static void
measure (guint regions, guint upstreams)
{
  const common_file_size_t size = {
    .regions = regions,
    .zones = regions * 2,
    .seats = MAX (NODES, regions),
    .services = 3,
    .upstreams = upstreams,
    .blocks = 100,
  };
  gsize before = common_meter_memory ();
  common_group_t *group = common_group_new (&size, SEED);
  gint64 cpu;
  gsize memory;

  common_group_advance (group, SETTLE);
  memory = common_meter_memory () - before;
  group->traffic = (common_traffic_t){ 0 };
  common_group_advance (group, STEADY);
  cpu = group->traffic.cpu_ns[0] + group->traffic.cpu_ns[1] + group->traffic.cpu_ns[2];
  printf (
      "links %u, upstreams %u (slots %u), seats %u: a node, a second: processor us %.0f; memory "
      "of a core KB %.0f\n",
      group->config->n_links, group->config->n_upstreams, group->config->n_upstreams * 3,
      size.seats, (gdouble) cpu / 1000 / group->n_cores / ((gdouble) STEADY / ANVIL_SECOND),
      (gdouble) memory / group->n_cores / 1024);
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
