/*
 * Distribution of configuration files to entries: random sequences of submissions,
 * platform failures, replaced entries and responses of peers. Each entry is checked
 * against the files that the simulated platform has accepted.
 */

#include <arpa/inet.h>
#include <check.h>
#include <stdlib.h>
#include <unistd.h>

#include "config/config-follower.h"
#include "entry/config-task.h"
#include "fake-config-store.h"

#define N_ENTRIES 4
#define N_SEEDS 300
#define N_STEPS 1500
/* Minimum of files received from peers and of generations in all sequences together: below these
 * the test would cover too little. */
#define MIN_FROM_PEERS 600
#define MIN_GENERATIONS 1500
/* Time after the last fault within which all entries must have the newest file. */
#define CONVERGENCE_TIMEOUT (6 * ANVIL_SECOND)

static const char valid_file[]
    = "deployment: d\n"
      "halves:\n  - name: h\n"
      "regions:\n  - name: r\n    zones: [z]\n"
      "services:\n  - name: s\n    owner: h\n    idempotent: true\n    deadline_ms: 9\n"
      "    queue: 1\n    request_kb: 1\n    response_kb: 1\n    max_request_kb: 1\n"
      "    prefer: latency\n"
      "upstreams:\n  - service: s\n    half: h\n    zone: z\n    address: 127.0.0.1\n"
      "    port: 1\n    slots: 1\n    connections: 1\n"
      "seats:\n  - zone: z\n";

/* The request of an entry to the platform that has no response yet. */
typedef enum
{
  PENDING_NONE,
  PENDING_HEAD,
  PENDING_OBJECT,
} pending_t;

typedef struct simulation simulation_t;

typedef struct
{
  simulation_t *simulation;
  anvil_config_follower_t *follower;
  guint64 in_force;
  anvil_time_t tick_at;
  pending_t pending;
  char *object;
  anvil_node_t pending_peer;
} entry_t;

struct simulation
{
  GRand *random;
  fake_config_store_t *registry;
  anvil_time_t now;
  entry_t entries[N_ENTRIES];
  gboolean without_faults;
  guint64 n_from_peers;
  guint64 n_generations;
};

/* Every ninth file has an unknown key, like that of a newer program, and is invalid here. */
static char *
write_file (guint submission)
{
  return g_strdup_printf ("# %u\n%s%s", submission, valid_file,
                          submission % 9 == 8 ? "novelty: 1\n" : "");
}

static void
read_head (void *context)
{
  entry_t *entry = context;

  ck_assert_int_eq (entry->pending, PENDING_NONE);
  entry->pending = PENDING_HEAD;
}

static void
get_object (void *context, const char *name)
{
  entry_t *entry = context;

  ck_assert_int_eq (entry->pending, PENDING_NONE);
  entry->pending = PENDING_OBJECT;
  g_free (entry->object);
  entry->object = g_strdup (name);
}

static void
request_from_peer (void *context, anvil_node_t peer, guint64 generation)
{
  entry_t *entry = context;

  ck_assert_uint_gt (generation, entry->in_force);
  entry->pending_peer = peer;
}

/* The generation in force must grow, and its file must be the one accepted as that generation. */
static void
in_force (void *context, anvil_config_t *config, guint64 generation)
{
  entry_t *entry = context;
  const fake_config_store_t *registry = entry->simulation->registry;
  anvil_str_t head;
  anvil_str_t file;

  ck_assert_uint_gt (generation, entry->in_force);
  ck_assert_uint_le (generation, registry->generation);
  entry->in_force = generation;
  ck_assert_uint_eq (anvil_config_follower_current (entry->follower, &head, &file), generation);
  ck_assert_str_eq (file.data, g_ptr_array_index (registry->files, generation - 1));
  ck_assert_ptr_nonnull (config);
}

static const anvil_config_follower_callbacks_t callbacks = {
  .read_head = read_head,
  .get_object = get_object,
  .request_from_peer = request_from_peer,
  .in_force = in_force,
};

/* Replaces the VM of an entry: all state is lost, and pending requests get no response. */
static void
replace_entry (simulation_t *simulation, entry_t *entry)
{
  anvil_config_follower_drop (entry->follower);
  g_free (entry->object);
  *entry = (entry_t){ .simulation = simulation, .tick_at = simulation->now };
  entry->follower = anvil_config_follower_new (g_rand_int (simulation->random), &callbacks, entry);
}

static gboolean
draw_fault (simulation_t *simulation, gint one_in)
{
  return !simulation->without_faults && g_rand_int_range (simulation->random, 0, one_in) == 0;
}

static void
complete_platform_request (simulation_t *simulation, entry_t *entry)
{
  const fake_config_store_t *registry = simulation->registry;
  gboolean answered = !registry->down && !draw_fault (simulation, 5);
  pending_t pending = entry->pending;
  const char *text;

  entry->pending = PENDING_NONE;
  if (pending == PENDING_HEAD)
    anvil_config_follower_head_read (
        entry->follower, simulation->now, answered,
        anvil_str (answered ? fake_config_store_head (registry) : NULL));
  else if (pending == PENDING_OBJECT)
    {
      text = g_hash_table_lookup (registry->objects, entry->object);
      if (draw_fault (simulation, 5))
        text = "other bytes";
      anvil_config_follower_object_received (entry->follower, simulation->now,
                                             answered && text != NULL, anvil_str (text));
    }
}

/* A peer responds with its own generation, which may be older, and data may be damaged. */
static void
complete_peer_request (simulation_t *simulation, entry_t *entry)
{
  guint index = (guint) entry->pending_peer - 1;
  anvil_str_t head;
  anvil_str_t file;
  guint64 before = entry->in_force;

  if (entry->pending_peer == ANVIL_NO_NODE)
    return;
  entry->pending_peer = ANVIL_NO_NODE;
  if (draw_fault (simulation, 5))
    return;
  if (anvil_config_follower_current (simulation->entries[index].follower, &head, &file) == 0)
    return;
  if (draw_fault (simulation, 8))
    file.length--;
  else if (draw_fault (simulation, 8))
    head.length--;
  anvil_config_follower_peer_response (entry->follower, head, file);
  simulation->n_from_peers += entry->in_force > before;
}

/* One entry announces its generation to another, as heartbeats do. */
static void
announce_generation (simulation_t *simulation, entry_t *entry)
{
  guint from = (guint) g_rand_int_range (simulation->random, 0, N_ENTRIES);
  entry_t *sender = &simulation->entries[from];

  anvil_config_follower_add_source (entry->follower, simulation->now, sender->in_force, from + 1);
  entry->tick_at = simulation->now;
}

static void
advance_time (simulation_t *simulation, anvil_time_t max_step)
{
  simulation->now += g_rand_int_range (simulation->random, 0, (gint32) max_step);
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      entry_t *entry = &simulation->entries[i];

      if (simulation->now >= entry->tick_at)
        entry->tick_at = anvil_config_follower_tick (entry->follower, simulation->now);
    }
}

static void
step (simulation_t *simulation)
{
  entry_t *entry = &simulation->entries[g_rand_int_range (simulation->random, 0, N_ENTRIES)];

  switch (g_rand_int_range (simulation->random, 0, 8))
    {
    case 0:
    case 1:
      fake_config_store_step (simulation->registry);
      fake_config_store_check (simulation->registry);
      break;
    case 2:
    case 3:
      complete_platform_request (simulation, entry);
      break;
    case 4:
      complete_peer_request (simulation, entry);
      break;
    case 5:
      announce_generation (simulation, entry);
      break;
    case 6:
      if (draw_fault (simulation, 20))
        replace_entry (simulation, entry);
      else if (draw_fault (simulation, 20))
        simulation->registry->down = !simulation->registry->down;
      break;
    default:
      advance_time (simulation, 300 * ANVIL_MS);
      break;
    }
}

/* Without faults every entry must get the newest file before the time-out. */
static void
assert_convergence (simulation_t *simulation, gboolean platform_up)
{
  anvil_time_t until = simulation->now + CONVERGENCE_TIMEOUT;

  simulation->without_faults = TRUE;
  simulation->registry->down = !platform_up;
  while (simulation->now < until)
    {
      for (guint i = 0; i < N_ENTRIES; i++)
        {
          complete_platform_request (simulation, &simulation->entries[i]);
          complete_peer_request (simulation, &simulation->entries[i]);
          announce_generation (simulation, &simulation->entries[i]);
        }
      advance_time (simulation, 100 * ANVIL_MS);
    }
  simulation->without_faults = FALSE;
  for (guint i = 0; i < N_ENTRIES; i++)
    ck_assert_uint_eq (simulation->entries[i].in_force, simulation->registry->generation);
}

/* While the platform is down, a replaced entry must get the newest file from its peers. */
static void
assert_replaced_entry_converges_by_peers (simulation_t *simulation)
{
  replace_entry (simulation, &simulation->entries[0]);
  assert_convergence (simulation, FALSE);
}

/* Runs one sequence and adds its numbers of events to @total. */
static void
run_sequence (guint32 seed, simulation_t *total)
{
  simulation_t simulation = { .random = g_rand_new_with_seed (seed) };

  simulation.registry = fake_config_store_new (simulation.random, write_file);
  for (guint i = 0; i < N_ENTRIES; i++)
    replace_entry (&simulation, &simulation.entries[i]);
  for (guint i = 0; i < N_STEPS; i++)
    step (&simulation);

  fake_config_store_commit (simulation.registry, valid_file);
  assert_convergence (&simulation, TRUE);
  assert_replaced_entry_converges_by_peers (&simulation);

  total->n_from_peers += simulation.n_from_peers;
  total->n_generations += simulation.registry->generation;
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      anvil_config_follower_drop (simulation.entries[i].follower);
      g_free (simulation.entries[i].object);
    }
  fake_config_store_drop (simulation.registry);
  g_rand_free (simulation.random);
}

START_TEST (test_random_sequences)
{
  simulation_t total = { 0 };

  for (guint32 seed = 1; seed <= N_SEEDS; seed++)
    run_sequence (seed, &total);
  ck_assert_uint_gt (total.n_from_peers, MIN_FROM_PEERS);
  ck_assert_uint_gt (total.n_generations, MIN_GENERATIONS);
}
END_TEST

START_TEST (test_entry_without_sources_has_no_file)
{
  simulation_t simulation = { .random = g_rand_new_with_seed (1) };
  anvil_str_t head;
  anvil_str_t file;

  simulation.registry = fake_config_store_new (simulation.random, write_file);
  replace_entry (&simulation, &simulation.entries[0]);
  for (guint i = 0; i < 200; i++)
    {
      simulation.registry->down = i % 2 == 0;
      simulation.now += 100 * ANVIL_MS;
      anvil_config_follower_tick (simulation.entries[0].follower, simulation.now);
      complete_platform_request (&simulation, &simulation.entries[0]);
    }
  ck_assert_uint_eq (anvil_config_follower_current (simulation.entries[0].follower, &head, &file),
                     0);
  anvil_config_follower_drop (simulation.entries[0].follower);
  fake_config_store_drop (simulation.registry);
  g_rand_free (simulation.random);
}
END_TEST

static void
count_poll (void *context)
{
  guint *n_polls = context;

  (*n_polls)++;
}

/* When the follower polls the platform next, at @now or later. */
static anvil_time_t
next_poll_at (anvil_config_follower_t *follower, const guint *n_polls, anvil_time_t now)
{
  guint before = *n_polls;

  while (anvil_config_follower_tick (follower, now) > 0 && *n_polls == before)
    now += 10 * ANVIL_MS;
  return now;
}

/* A poll that is under way when an outage ends is lost, and no peer knows of the file. */
START_TEST (test_a_file_is_polled_in_time_after_a_lost_poll)
{
  static const anvil_config_follower_callbacks_t counting = { .read_head = count_poll };

  for (guint32 seed = 1; seed <= N_SEEDS; seed++)
    {
      guint n_polls = 0;
      anvil_config_follower_t *follower = anvil_config_follower_new (seed, &counting, &n_polls);
      anvil_time_t outage_ends_at = 0;
      anvil_time_t now = ANVIL_SECOND;

      for (guint i = 0; i < 10; i++)
        {
          outage_ends_at = next_poll_at (follower, &n_polls, now);
          now = outage_ends_at + ANVIL_PLATFORM_CALL_TIMEOUT;
          anvil_config_follower_head_read (follower, now, FALSE, anvil_str (NULL));
        }
      ck_assert_int_le (next_poll_at (follower, &n_polls, now),
                        outage_ends_at + CONVERGENCE_TIMEOUT - ANVIL_SECOND);
      anvil_config_follower_drop (follower);
    }
}
END_TEST

/* A file that fails validation must not be fetched again at every poll. */
START_TEST (test_invalid_file_is_fetched_once)
{
  simulation_t simulation = { .random = g_rand_new_with_seed (1), .without_faults = TRUE };
  entry_t *entry = &simulation.entries[0];
  guint n_fetches = 0;

  simulation.registry = fake_config_store_new (simulation.random, write_file);
  fake_config_store_commit (simulation.registry, "novelty: 1\n");
  replace_entry (&simulation, entry);
  for (guint i = 0; i < 200; i++)
    {
      simulation.now += 100 * ANVIL_MS;
      anvil_config_follower_tick (entry->follower, simulation.now);
      n_fetches += entry->pending == PENDING_OBJECT;
      complete_platform_request (&simulation, entry);
    }
  ck_assert_uint_eq (n_fetches, 1);
  ck_assert_uint_eq (entry->in_force, 0);
  anvil_config_follower_drop (entry->follower);
  g_free (entry->object);
  fake_config_store_drop (simulation.registry);
  g_rand_free (simulation.random);
}
END_TEST

/* Peers that don't respond get few requests, and don't displace a peer announced later. */
START_TEST (test_unresponsive_peers_are_removed)
{
  simulation_t simulation = { .random = g_rand_new_with_seed (1) };
  entry_t *entry = &simulation.entries[0];
  gboolean new_peer_requested = FALSE;
  guint n_requests = 0;

  simulation.registry = fake_config_store_new (simulation.random, write_file);
  simulation.registry->down = TRUE;
  replace_entry (&simulation, entry);
  for (anvil_node_t peer = 1; peer <= 10; peer++)
    anvil_config_follower_add_source (entry->follower, simulation.now, 1, peer);
  for (guint i = 0; i < 600; i++)
    {
      simulation.now += 100 * ANVIL_MS;
      if (i == 20)
        anvil_config_follower_add_source (entry->follower, simulation.now, 1, 11);
      anvil_config_follower_tick (entry->follower, simulation.now);
      complete_platform_request (&simulation, entry);
      n_requests += entry->pending_peer != ANVIL_NO_NODE;
      new_peer_requested |= entry->pending_peer == 11 && i < 60;
      entry->pending_peer = ANVIL_NO_NODE;
    }
  ck_assert (new_peer_requested);
  ck_assert_uint_ge (n_requests, 4);
  ck_assert_uint_le (n_requests, 20);
  anvil_config_follower_drop (entry->follower);
  g_free (entry->object);
  fake_config_store_drop (simulation.registry);
  g_rand_free (simulation.random);
}
END_TEST

/* Opens a port that accepts connections and never responds. */
static int
listen_without_response (guint16 *port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  ck_assert_int_eq (bind (fd, (struct sockaddr *) &address, length), 0);
  ck_assert_int_eq (listen (fd, 8), 0);
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *) &address, &length), 0);
  *port = ntohs (address.sin_port);
  return fd;
}

static void
abort_in_force (void *context, anvil_config_t *config, guint64 generation)
{
  ck_abort_msg ("a configuration is in force without a source");
}

static void
count_peer_request (void *context, anvil_node_t peer, guint64 generation)
{
  (*(guint *) context)++;
}

/* The platform client may be closed after the task, and ends its calls only then. */
START_TEST (test_task_can_be_closed_during_a_call)
{
  static const anvil_config_task_callbacks_t events
      = { .in_force = abort_in_force, .request_from_peer = count_peer_request };
  struct event_base *base = event_base_new ();
  guint n_requests = 0;
  guint16 port;
  int fd = listen_without_response (&port);
  anvil_platform_t *platform = anvil_platform_open (base, INADDR_LOOPBACK, port, 60 * ANVIL_SECOND);
  anvil_config_task_t *task = anvil_config_task_open (base, platform, &events, &n_requests);
  anvil_str_t head;
  anvil_str_t file;

  event_base_loop (base, EVLOOP_ONCE);
  anvil_config_task_add_source (task, 1, 1);
  while (n_requests == 0)
    event_base_loop (base, EVLOOP_ONCE);
  ck_assert_uint_eq (anvil_config_task_current (task, &head, &file), 0);
  anvil_config_task_close (task);
  anvil_platform_close (platform);
  event_base_free (base);
  close (fd);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("config-task");
  TCase *tcase = tcase_create ("config-task");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 300);
  tcase_add_test (tcase, test_random_sequences);
  tcase_add_test (tcase, test_entry_without_sources_has_no_file);
  tcase_add_test (tcase, test_a_file_is_polled_in_time_after_a_lost_poll);
  tcase_add_test (tcase, test_invalid_file_is_fetched_once);
  tcase_add_test (tcase, test_unresponsive_peers_are_removed);
  tcase_add_test (tcase, test_task_can_be_closed_during_a_call);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
