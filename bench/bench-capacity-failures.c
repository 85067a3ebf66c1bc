/* Measures the messages, row accesses and recovery time that failures cost a large group. */

#include <stdio.h>

#include "common-group.h"

#define WARM_UP (60 * ANVIL_SECOND)
#define OUTAGE (60 * ANVIL_SECOND)
#define RECOVERY_LIMIT (60 * ANVIL_SECOND)
#define MEASURED_TIME (10 * ANVIL_SECOND)
#define STEP (100 * ANVIL_MS)
/* Longer than a tick, so that no event of the killed core remains when it restarts. */
#define RESTART_DELAY (3 * ANVIL_SECOND)
#define SEED 1

static const common_config_size_t sizes[] = {
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
wait_for_seats (common_group_t *group)
{
  anvil_time_t start = fake_clock_now (group->clock);

  while (common_group_count_usable_seats (group) < group->n_rows)
    {
      if (fake_clock_now (group->clock) - start >= RECOVERY_LIMIT)
        return -1;
      common_group_advance (group, STEP);
    }
  return (gdouble) (fake_clock_now (group->clock) - start) / ANVIL_SECOND;
}

static guint64
count_messages (const common_group_t *group)
{
  guint64 messages = 0;

  for (guint kind = 0; kind < COMMON_N_MESSAGE_KINDS; kind++)
    messages += group->traffic.messages[kind];
  return messages;
}

/* Advances the group by a time and returns the messages sent in it. */
static guint64
advance_and_count (common_group_t *group, anvil_time_t time)
{
  guint64 before = count_messages (group);

  common_group_advance (group, time);
  return count_messages (group) - before;
}

static void
print_recovery (common_group_t *group, const char *what, gdouble seconds, guint64 usual_messages)
{
  common_traffic_t before = group->traffic;
  guint64 messages = advance_and_count (group, MEASURED_TIME);

  printf (
      "  %s: every seat used after %.1f s; in the 10 s after that, messages %+.1f %%, row writes "
      "%" G_GUINT64_FORMAT ", row reads %" G_GUINT64_FORMAT "\n",
      what, seconds, 100 * ((gdouble) messages / (gdouble) usual_messages - 1),
      group->traffic.row_writes - before.row_writes, group->traffic.row_reads - before.row_reads);
}

static void
restart_core (common_group_t *group, guint64 usual_messages)
{
  guint core = group->n_cores / 2;

  common_group_kill (group, core);
  common_group_advance (group, RESTART_DELAY);
  common_group_restart (group, core);
  print_recovery (group, "a VM restarted after 3 s", wait_for_seats (group), usual_messages);
}

static void
lose_zone (common_group_t *group, guint64 usual_messages)
{
  guint n_lost = 0;
  gdouble seconds;

  for (guint i = 0; i < group->n_cores; i++)
    {
      if (group->cores[i].zone != 1)
        continue;
      common_group_kill (group, i);
      n_lost++;
    }
  seconds = wait_for_seats (group);
  printf ("  a zone of %u VMs lost\n", n_lost);
  print_recovery (group, "the zone lost", seconds, usual_messages);
  for (guint i = 0; i < group->n_cores; i++)
    {
      if (!group->cores[i].alive)
        common_group_restart (group, i);
    }
  print_recovery (group, "the zone back", wait_for_seats (group), usual_messages);
}

static void
partition_region (common_group_t *group, guint64 usual_messages)
{
  guint min_usable = group->n_rows;

  group->region_partitioned = TRUE;
  for (anvil_time_t time = 0; time < OUTAGE; time += ANVIL_SECOND)
    {
      common_group_advance (group, ANVIL_SECOND);
      min_usable = MIN (min_usable, common_group_count_usable_seats (group));
    }
  printf ("  a region apart for 60 s: seats used all the time %u of %u\n", min_usable,
          group->n_rows);
  group->region_partitioned = FALSE;
  print_recovery (group, "the region back", wait_for_seats (group), usual_messages);
}

/* Advances the group by a time and returns the highest row reads and writes of a second. */
static void
advance_and_find_peak (common_group_t *group, anvil_time_t time, guint64 *reads, guint64 *writes)
{
  *reads = 0;
  *writes = 0;
  for (anvil_time_t at = 0; at < time; at += ANVIL_SECOND)
    {
      common_traffic_t before = group->traffic;

      common_group_advance (group, ANVIL_SECOND);
      *reads = MAX (*reads, group->traffic.row_reads - before.row_reads);
      *writes = MAX (*writes, group->traffic.row_writes - before.row_writes);
    }
}

static void
lose_store (common_group_t *group, guint64 usual_messages)
{
  guint64 reads;
  guint64 writes;

  group->store_down = TRUE;
  common_group_kill (group, 0);
  common_group_advance (group, RESTART_DELAY);
  common_group_restart (group, 0);
  advance_and_find_peak (group, OUTAGE, &reads, &writes);
  printf (
      "  store away for 60 s, a VM restarted meanwhile: seats used at its end %u of %u; most row "
      "reads a second %" G_GUINT64_FORMAT ", writes %" G_GUINT64_FORMAT "\n",
      common_group_count_usable_seats (group), group->n_rows, reads, writes);
  group->store_down = FALSE;
  advance_and_find_peak (group, MEASURED_TIME, &reads, &writes);
  printf ("  store back: most row reads a second %" G_GUINT64_FORMAT ", writes %" G_GUINT64_FORMAT
          "\n",
          reads, writes);
  print_recovery (group, "store back for 10 s", wait_for_seats (group), usual_messages);
}

static void
measure (const common_config_size_t *size)
{
  common_group_t *group = common_group_new (size, SEED);
  guint64 usual_messages;

  common_group_advance (group, WARM_UP);
  usual_messages = advance_and_count (group, MEASURED_TIME);
  printf ("nodes %u: usual messages in 10 s %" G_GUINT64_FORMAT "\n", size->n_seats,
          usual_messages);
  restart_core (group, usual_messages);
  lose_zone (group, usual_messages);
  partition_region (group, usual_messages);
  lose_store (group, usual_messages);
  common_group_drop (group);
}

int
main (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (sizes); i++)
    measure (&sizes[i]);
  return 0;
}
