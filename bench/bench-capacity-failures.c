/* What failures cost a large group in messages, rows and time to steady state. */

#include <stdio.h>

#include "common-group.h"

#define WARM_UP (60 * ANVIL_SECOND)
#define OUTAGE (60 * ANVIL_SECOND)
#define LIMIT (60 * ANVIL_SECOND)
#define WATCHED (10 * ANVIL_SECOND)
#define STEP (100 * ANVIL_MS)
/* A killed core's last event is due within a tick. */
#define BEFORE_RESTART (3 * ANVIL_SECOND)
#define SEED 1

static const common_file_size_t sizes[] = {
  { .regions = 5, .zones = 15, .seats = 50, .services = 3, .upstreams = 120, .blocks = 5 },
  { .regions = 10, .zones = 39, .seats = 150, .services = 3, .upstreams = 120, .blocks = 10 },
  { .regions = 10, .zones = 39, .seats = 490, .services = 3, .upstreams = 120, .blocks = 10 },
};

static gdouble
wait_usable (common_group_t *group)
{
  anvil_time_t start = fake_clock_now (group->clock);

  while (common_group_usable (group) < group->n_rows)
    {
      if (fake_clock_now (group->clock) - start >= LIMIT)
        return -1;
      common_group_advance (group, STEP);
    }
  return (gdouble) (fake_clock_now (group->clock) - start) / ANVIL_SECOND;
}

static guint64
all_messages (const common_group_t *group)
{
  guint64 messages = 0;

  for (guint kind = 0; kind < COMMON_GROUP_KINDS; kind++)
    messages += group->traffic.messages[kind];
  return messages;
}

/* Messages of the group in some seconds. */
static guint64
messages_in (common_group_t *group, anvil_time_t time)
{
  guint64 before = all_messages (group);

  common_group_advance (group, time);
  return all_messages (group) - before;
}

static void
print_watched (common_group_t *group, const char *what, gdouble seconds, guint64 usual)
{
  common_traffic_t before = group->traffic;
  guint64 messages = messages_in (group, WATCHED);

  printf (
      "  %s: every seat used after %.1f s; in the 10 s after that, messages %+.1f %%, row writes "
      "%" G_GUINT64_FORMAT ", row reads %" G_GUINT64_FORMAT "\n",
      what, seconds, 100 * ((gdouble) messages / (gdouble) usual - 1),
      group->traffic.row_writes - before.row_writes, group->traffic.row_reads - before.row_reads);
}

static void
replace_one (common_group_t *group, guint64 usual)
{
  guint core = group->n_cores / 2;

  common_group_kill (group, core);
  common_group_advance (group, BEFORE_RESTART);
  common_group_restart (group, core);
  print_watched (group, "a VM restarted after 3 s", wait_usable (group), usual);
}

static void
lose_zone (common_group_t *group, guint64 usual)
{
  guint lost = 0;
  gdouble seconds;

  for (guint i = 0; i < group->n_cores; i++)
    {
      if (group->cores[i].zone != 1)
        continue;
      common_group_kill (group, i);
      lost++;
    }
  seconds = wait_usable (group);
  printf ("  a zone of %u VMs lost\n", lost);
  print_watched (group, "the zone lost", seconds, usual);
  for (guint i = 0; i < group->n_cores; i++)
    {
      if (!group->cores[i].alive)
        common_group_restart (group, i);
    }
  print_watched (group, "the zone back", wait_usable (group), usual);
}

static void
cut_region (common_group_t *group, guint64 usual)
{
  guint least = group->n_rows;

  group->region_cut = TRUE;
  for (anvil_time_t time = 0; time < OUTAGE; time += ANVIL_SECOND)
    {
      common_group_advance (group, ANVIL_SECOND);
      least = MIN (least, common_group_usable (group));
    }
  printf ("  a region apart for 60 s: seats used all the time %u of %u\n", least, group->n_rows);
  group->region_cut = FALSE;
  print_watched (group, "the region back", wait_usable (group), usual);
}

/* Most row reads and writes of one second. */
static void
peak_rows (common_group_t *group, anvil_time_t time, guint64 *reads, guint64 *writes)
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
lose_store (common_group_t *group, guint64 usual)
{
  guint64 reads;
  guint64 writes;

  group->store_away = TRUE;
  common_group_kill (group, 0);
  common_group_advance (group, BEFORE_RESTART);
  common_group_restart (group, 0);
  peak_rows (group, OUTAGE, &reads, &writes);
  printf (
      "  store away for 60 s, a VM restarted meanwhile: seats used at its end %u of %u; most row "
      "reads a second %" G_GUINT64_FORMAT ", writes %" G_GUINT64_FORMAT "\n",
      common_group_usable (group), group->n_rows, reads, writes);
  group->store_away = FALSE;
  peak_rows (group, WATCHED, &reads, &writes);
  printf ("  store back: most row reads a second %" G_GUINT64_FORMAT ", writes %" G_GUINT64_FORMAT
          "\n",
          reads, writes);
  print_watched (group, "store back for 10 s", wait_usable (group), usual);
}

static void
measure (const common_file_size_t *size)
{
  common_group_t *group = common_group_new (size, SEED);
  guint64 usual;

  common_group_advance (group, WARM_UP);
  usual = messages_in (group, WATCHED);
  printf ("nodes %u: usual messages in 10 s %" G_GUINT64_FORMAT "\n", size->seats, usual);
  replace_one (group, usual);
  lose_zone (group, usual);
  cut_region (group, usual);
  lose_store (group, usual);
  common_group_drop (group);
}

int
main (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (sizes); i++)
    measure (&sizes[i]);
  return 0;
}
