/* Measures the cost of membership, seats and gossip by the number of entries. */

#include <stdio.h>

#include "common-group.h"
#include "common-meter.h"

#define MEASURED_TIME (30 * ANVIL_SECOND)
#define DISCOVERY_LIMIT (180 * ANVIL_SECOND)
#define SPREAD_LIMIT (60 * ANVIL_SECOND)
#define DEATH_LIMIT (600 * ANVIL_SECOND)
#define STEP (100 * ANVIL_MS)
#define SEED 1

static const common_config_size_t sizes[] = {
  { .n_regions = 3,
    .n_zones = 6,
    .n_seats = 7,
    .n_services = 3,
    .n_upstreams = 120,
    .n_blocks = 3 },
  { .n_regions = 5,
    .n_zones = 15,
    .n_seats = 50,
    .n_services = 3,
    .n_upstreams = 120,
    .n_blocks = 5 },
  { .n_regions = 10,
    .n_zones = 39,
    .n_seats = 150,
    .n_services = 3,
    .n_upstreams = 120,
    .n_blocks = 10 },
  { .n_regions = 10,
    .n_zones = 39,
    .n_seats = 490,
    .n_services = 3,
    .n_upstreams = 120,
    .n_blocks = 10 },
};

static gdouble
seconds (anvil_time_t time)
{
  return (gdouble) time / ANVIL_SECOND;
}

/* Long waits are checked less often. */
static anvil_time_t
step_for (anvil_time_t limit)
{
  return limit > SPREAD_LIMIT ? 10 * STEP : STEP;
}

/* Returns the seconds of virtual time until @done is true, or -1 after the limit. */
static gdouble
wait_for (common_group_t *group,
          anvil_time_t limit,
          gboolean (*done) (common_group_t *group, guint64 wanted),
          guint64 wanted)
{
  anvil_time_t start = fake_clock_now (group->clock);

  while (!done (group, wanted))
    {
      if (fake_clock_now (group->clock) - start >= limit)
        return -1;
      common_group_advance (group, step_for (limit));
    }
  return seconds (fake_clock_now (group->clock) - start);
}

static gboolean
all_usable (common_group_t *group, guint64 wanted)
{
  return common_group_count_usable_seats (group) >= wanted;
}

static gboolean
all_in_force (common_group_t *group, guint64 generation)
{
  for (guint i = 0; i < group->n_cores; i++)
    {
      if (group->cores[i].alive && anvil_steer_generation (group->cores[i].steer) < generation)
        return FALSE;
    }
  return TRUE;
}

static gboolean
all_draining (common_group_t *group, guint64 upstream)
{
  anvil_time_t now = fake_clock_now (group->clock);

  for (guint i = 0; i < group->n_cores; i++)
    {
      anvil_upstream_status_t status = { 0 };

      anvil_steer_upstream_status (group->cores[i].steer, now, (guint) upstream, &status);
      if (group->cores[i].alive && !status.draining)
        return FALSE;
    }
  return TRUE;
}

static gboolean
all_know_dead (common_group_t *group, guint64 node)
{
  return common_group_count_observers (group, node, TRUE) >= group->n_cores - 2;
}

static gboolean
all_discovered (common_group_t *group, guint64 wanted)
{
  return common_group_count_observers (group, group->cores[0].node, FALSE) >= wanted;
}

static void
print_traffic (const common_group_t *group, gsize memory_bytes)
{
  const common_traffic_t *traffic = &group->traffic;
  gdouble node_seconds = group->n_cores * seconds (MEASURED_TIME);
  guint64 messages = 0;
  guint64 bytes = 0;

  for (guint kind = 0; kind < COMMON_N_MESSAGE_KINDS; kind++)
    {
      messages += traffic->messages[kind];
      bytes += traffic->bytes[kind];
    }
  printf ("  a node, a second: messages %.2f (gossip %.2f, grants %.2f), bytes %.0f (gossip %.0f, "
          "grants %.0f)\n",
          (gdouble) messages / node_seconds,
          (gdouble) traffic->messages[ANVIL_MESSAGE_GOSSIP] / node_seconds,
          (gdouble) (traffic->messages[ANVIL_MESSAGE_GRANT_REQUEST]
                     + traffic->messages[ANVIL_MESSAGE_GRANT_RESPONSE])
              / node_seconds,
          (gdouble) bytes / node_seconds,
          (gdouble) traffic->bytes[ANVIL_MESSAGE_GOSSIP] / node_seconds,
          (gdouble) (traffic->bytes[ANVIL_MESSAGE_GRANT_REQUEST]
                     + traffic->bytes[ANVIL_MESSAGE_GRANT_RESPONSE])
              / node_seconds);
  printf ("  a node, a second: processor us %.0f (ticks %.0f, receive %.0f, pack %.0f)\n",
          (gdouble) (traffic->cpu_ns[0] + traffic->cpu_ns[1] + traffic->cpu_ns[2]) / node_seconds
              / 1000,
          (gdouble) traffic->cpu_ns[0] / node_seconds / 1000,
          (gdouble) traffic->cpu_ns[1] / node_seconds / 1000,
          (gdouble) traffic->cpu_ns[2] / node_seconds / 1000);
  printf ("  all nodes, a second: row reads %.2f, row writes %.2f\n",
          (gdouble) traffic->row_reads / seconds (MEASURED_TIME),
          (gdouble) traffic->row_writes / seconds (MEASURED_TIME));
  printf ("  memory of a core: %.0f KB\n", (gdouble) memory_bytes / group->n_cores / 1024);
}

static void
spread_generation (common_group_t *group)
{
  common_traffic_t before = group->traffic;
  gdouble spread_s;

  group->generation = 2;
  anvil_steer_configure (group->cores[0].steer, fake_clock_now (group->clock), group->config, 2);
  spread_s = wait_for (group, SPREAD_LIMIT, all_in_force, 2);
  printf ("  spread of a generation from one node: %.1f s, fetches %" G_GUINT64_FORMAT "\n",
          spread_s, group->traffic.config_fetches - before.config_fetches);
}

static void
spread_drain (common_group_t *group)
{
  anvil_time_t now = fake_clock_now (group->clock);

  anvil_steer_health_report (group->cores[1].steer, now, group->config->upstreams[0].key, now, 0,
                             TRUE, TRUE);
  printf ("  spread of a drain from one node: %.1f s\n",
          wait_for (group, SPREAD_LIMIT, all_draining, 0));
}

static void
kill_core (common_group_t *group)
{
  guint killed = group->n_cores / 2;
  guint64 node = group->cores[killed].node;
  gdouble seat_usable_s;
  gdouble dead_known_s;

  common_group_kill (group, killed);
  seat_usable_s = wait_for (group, SPREAD_LIMIT, all_usable, group->n_rows);
  dead_known_s = wait_for (group, DEATH_LIMIT, all_know_dead, node);
  printf (
      "  a node lost: its seat used again after %.1f s, dead in every member table after %.1f s\n",
      seat_usable_s, dead_known_s < 0 ? -1 : seat_usable_s + dead_known_s);
}

static void
measure (const common_config_size_t *size)
{
  gsize before = common_meter_memory ();
  common_group_t *group = common_group_new (size, SEED);
  gsize memory_bytes;

  printf ("nodes %u, regions %u, zones %u\n", size->n_seats, size->n_regions, size->n_zones);
  printf ("  start of all: every seat used after %.1f s",
          wait_for (group, SPREAD_LIMIT, all_usable, group->n_rows));
  printf (", row writes %" G_GUINT64_FORMAT ", row reads %" G_GUINT64_FORMAT "\n",
          group->traffic.row_writes, group->traffic.row_reads);
  printf ("  a node met by all after a further %.1f s\n",
          wait_for (group, DISCOVERY_LIMIT, all_discovered, group->n_cores));
  common_group_advance (group, 10 * ANVIL_SECOND);
  memory_bytes = common_meter_memory () - before;
  group->traffic = (common_traffic_t){ 0 };
  common_group_advance (group, MEASURED_TIME);
  print_traffic (group, memory_bytes);
  spread_generation (group);
  spread_drain (group);
  kill_core (group);
  common_group_drop (group);
}

int
main (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (sizes); i++)
    measure (&sizes[i]);
  return 0;
}
