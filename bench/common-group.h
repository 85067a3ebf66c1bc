#pragma once

#include "anvil/steer.h"
#include "common-file.h"
#include "fake-clock.h"

/* Kinds of message are numbered from 1. */
#define COMMON_GROUP_KINDS 8

/**
 * common_traffic_t - what the cores of a group did in a time
 * @messages: messages sent, by kind
 * @bytes: their frames with the length before each, by kind
 * @cpu_ns: processor time of ticks, of receiving and unpacking, and of packing
 * @row_reads: reads of all rows of the table
 * @row_writes: conditional writes
 * @fetches: files that were fetched from peers
 */
typedef struct
{
  guint64 messages[COMMON_GROUP_KINDS];
  guint64 bytes[COMMON_GROUP_KINDS];
  gint64 cpu_ns[3];
  guint64 row_reads;
  guint64 row_writes;
  guint64 fetches;
} common_traffic_t;

/** common_core_t - one decision core of a group */
typedef struct
{
  struct common_group *group;
  anvil_steer_t *steer;
  anvil_node_t node;
  guint64 incarnation;
  guint zone;
  guint region;
  gboolean alive;
} common_core_t;

/**
 * common_group_t - many decision cores in virtual time, with a table of rows
 *
 * @region_cut: the first region and the others don't reach each other; set it at will
 * @store_away: the table doesn't answer; set it at will
 *
 * Messages are packed and unpacked as on the wire. Requests, upstreams and
 * faults of the network have no part in it; the fake network of the fuzzer has
 * those, for a few entries.
 */
typedef struct common_group
{
  fake_clock_t *clock;
  anvil_config_t *config;
  guint64 generation;
  common_core_t *cores;
  guint n_cores;
  anvil_seat_row_t *rows;
  guint n_rows;
  GByteArray *frame;
  gboolean region_cut;
  gboolean store_away;
  common_traffic_t traffic;
} common_group_t;

/** common_group_new - one core for each seat of the file; starts within a second */
common_group_t *common_group_new (const common_file_size_t *size, guint32 seed);
void common_group_drop (common_group_t *group);

/** common_group_advance - runs the cores for a time */
void common_group_advance (common_group_t *group, anvil_time_t duration);

/** common_group_usable - seats that some core may use now */
guint common_group_usable (const common_group_t *group);

/** common_group_known - alive cores that take @node for alive (or, with @dead, for dead) */
guint common_group_known (const common_group_t *group, anvil_node_t node, gboolean dead);

/** common_group_known_by - entries that one core takes for alive, itself among them */
guint common_group_known_by (const common_group_t *group, guint core);

/** common_group_restart - a new process in the place of a core that was killed */
void common_group_restart (common_group_t *group, guint core);

/** common_group_kill - a core is gone at once */
void common_group_kill (common_group_t *group, guint core);
