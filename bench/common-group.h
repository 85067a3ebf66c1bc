#pragma once

#include "anvil/steer.h"
#include "common-config.h"
#include "fake-clock.h"

/* Kinds of message are numbered from 1, so index 0 is unused. */
#define COMMON_N_MESSAGE_KINDS 8

/**
 * common_traffic_t - counters of a group, which a benchmark may reset
 * @messages: messages sent, by kind
 * @bytes: sizes of their frames with the length prefix, by kind
 * @cpu_ns: processor time of ticks, of unpacking and receiving, and of packing
 * @row_reads: reads of the whole table of seats
 * @row_writes: conditional writes of a row
 * @config_fetches: configurations that were fetched from peers
 */
typedef struct
{
  guint64 messages[COMMON_N_MESSAGE_KINDS];
  guint64 bytes[COMMON_N_MESSAGE_KINDS];
  gint64 cpu_ns[3];
  guint64 row_reads;
  guint64 row_writes;
  guint64 config_fetches;
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
 * common_group_t - many decision cores in virtual time, with a store of the seat rows
 *
 * @region_partitioned: the first region can't reach the others; benchmarks set it
 * @store_down: the store doesn't answer; benchmarks set it
 *
 * Messages are packed and unpacked as on the wire. There are no requests, upstreams or lost
 * messages; the fake network of the fuzzer simulates those for a few entries.
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
  gboolean region_partitioned;
  gboolean store_down;
  common_traffic_t traffic;
} common_group_t;

/** common_group_new - creates a core for each seat; they start at random times within a second */
common_group_t *common_group_new (const common_config_size_t *size, guint32 seed);
void common_group_drop (common_group_t *group);

/** common_group_advance - advances the virtual time by @duration */
void common_group_advance (common_group_t *group, anvil_time_t duration);

/** common_group_count_usable_seats - number of seats with a valid lease at some running core */
guint common_group_count_usable_seats (const common_group_t *group);

/** common_group_count_observers - number of running cores that regard @node as alive, or with @dead
 * as dead */
guint common_group_count_observers (const common_group_t *group, anvil_node_t node, gboolean dead);

/** common_group_count_visible - number of entries that a core regards as alive, itself included */
guint common_group_count_visible (const common_group_t *group, guint core);

/** common_group_restart - starts a new incarnation of a killed core */
void common_group_restart (common_group_t *group, guint core);

/** common_group_kill - stops a core without a shutdown */
void common_group_kill (common_group_t *group, guint core);
