/* What membership, seats and the spread of news cost an entry, by the number of entries. */

#include <stdio.h>

#include "common-group.h"
#include "common-meter.h"

#define STEADY (30 * ANVIL_SECOND)
#define START_LIMIT (180 * ANVIL_SECOND)
#define SPREAD_LIMIT (60 * ANVIL_SECOND)
#define DEATH_LIMIT (600 * ANVIL_SECOND)
#define STEP (100 * ANVIL_MS)
#define SEED 1

static const common_file_size_t sizes[] = {
  { .regions = 3, .zones = 6, .seats = 7, .services = 3, .upstreams = 120, .blocks = 3 },
  { .regions = 5, .zones = 15, .seats = 50, .services = 3, .upstreams = 120, .blocks = 5 },
  { .regions = 10, .zones = 39, .seats = 150, .services = 3, .upstreams = 120, .blocks = 10 },
  { .regions = 10, .zones = 39, .seats = 490, .services = 3, .upstreams = 120, .blocks = 10 },
};

static gdouble
seconds (anvil_time_t time)
{
  return (gdouble) time / ANVIL_SECOND;
}

/* Long waits are looked at less often. */
static anvil_time_t
step_for (anvil_time_t limit)
{
  return limit > SPREAD_LIMIT ? 10 * STEP : STEP;
}

/* Virtual time until @done says so, or -1 past the limit. */
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
  return common_group_usable (group) >= wanted;
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
all_told (common_group_t *group, guint64 node)
{
  return common_group_known (group, node, TRUE) >= group->n_cores - 2;
}

static gboolean
all_met (common_group_t *group, guint64 wanted)
{
  return common_group_known (group, group->cores[0].node, FALSE) >= wanted;
}

static void
print_traffic (const common_group_t *group, gsize memory)
{
  const common_traffic_t *traffic = &group->traffic;
  gdouble node_seconds = group->n_cores * seconds (STEADY);
  guint64 messages = 0;
  guint64 bytes = 0;

  for (guint kind = 0; kind < COMMON_GROUP_KINDS; kind++)
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
          (gdouble) traffic->row_reads / seconds (STEADY),
          (gdouble) traffic->row_writes / seconds (STEADY));
  printf ("  memory of a core: %.0f KB\n", (gdouble) memory / group->n_cores / 1024);
}

static void
spread_generation (common_group_t *group)
{
  common_traffic_t before = group->traffic;
  gdouble spread;

  group->generation = 2;
  anvil_steer_configure (group->cores[0].steer, fake_clock_now (group->clock), group->config, 2);
  spread = wait_for (group, SPREAD_LIMIT, all_in_force, 2);
  printf ("  spread of a generation from one node: %.1f s, fetches %" G_GUINT64_FORMAT "\n", spread,
          group->traffic.fetches - before.fetches);
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
lose_nodes (common_group_t *group)
{
  guint lost = group->n_cores / 2;
  guint64 node = group->cores[lost].node;
  gdouble adopted;
  gdouble told;

  common_group_kill (group, lost);
  adopted = wait_for (group, SPREAD_LIMIT, all_usable, group->n_rows);
  told = wait_for (group, DEATH_LIMIT, all_told, node);
  printf (
      "  a node lost: its seat used again after %.1f s, dead in every member table after %.1f s\n",
      adopted, told < 0 ? -1 : adopted + told);
}

static void
measure (const common_file_size_t *size)
{
  gsize before = common_meter_memory ();
  common_group_t *group = common_group_new (size, SEED);
  gsize memory;

  printf ("nodes %u, regions %u, zones %u\n", size->seats, size->regions, size->zones);
  printf ("  start of all: every seat used after %.1f s",
          wait_for (group, SPREAD_LIMIT, all_usable, group->n_rows));
  printf (", row writes %" G_GUINT64_FORMAT ", row reads %" G_GUINT64_FORMAT "\n",
          group->traffic.row_writes, group->traffic.row_reads);
  printf ("  a node met by all after a further %.1f s\n",
          wait_for (group, START_LIMIT, all_met, group->n_cores));
  common_group_advance (group, 10 * ANVIL_SECOND);
  memory = common_meter_memory () - before;
  group->traffic = (common_traffic_t){ 0 };
  common_group_advance (group, STEADY);
  print_traffic (group, memory);
  spread_generation (group);
  spread_drain (group);
  lose_nodes (group);
  common_group_drop (group);
}

int
main (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (sizes); i++)
    measure (&sizes[i]);
  return 0;
}
