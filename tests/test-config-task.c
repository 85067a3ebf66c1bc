/*
 * An entry's way to the newest file: random histories of submitters, a failing
 * platform, replaced entries and peers, against a simple oracle.
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
/* Fewer in all histories would prove little. */
#define MIN_FROM_PEERS 600
#define MIN_GENERATIONS 1500
/* Within this time after the last fault the newest file is in force everywhere. */
#define IN_FORCE_WITHIN (6 * ANVIL_SECOND)

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

/* What an entry asked the platform or a peer for and hasn't been told of. */
typedef enum
{
  ASKED_NOTHING,
  ASKED_HEAD,
  ASKED_OBJECT,
} asked_t;

typedef struct world world_t;

typedef struct
{
  world_t *world;
  anvil_config_follower_t *follow;
  guint64 in_force;
  anvil_time_t tick_at;
  asked_t asked;
  char *object;
  anvil_node_t asked_peer;
} entry_t;

struct world
{
  GRand *random;
  fake_config_store_t *registry;
  anvil_time_t now;
  entry_t entries[N_ENTRIES];
  gboolean calm;
  guint64 from_peers;
  guint64 generations;
};

/* Every ninth submission is of an operator with a newer program: not valid here. */
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

  ck_assert_int_eq (entry->asked, ASKED_NOTHING);
  entry->asked = ASKED_HEAD;
}

static void
get_object (void *context, const char *name)
{
  entry_t *entry = context;

  ck_assert_int_eq (entry->asked, ASKED_NOTHING);
  entry->asked = ASKED_OBJECT;
  g_free (entry->object);
  entry->object = g_strdup (name);
}

static void
ask_peer (void *context, anvil_node_t peer, guint64 generation)
{
  entry_t *entry = context;

  ck_assert_uint_gt (generation, entry->in_force);
  entry->asked_peer = peer;
}

/* The oracle of an entry: what is in force only grows, and is what won that generation. */
static void
in_force (void *context, anvil_config_t *config, guint64 generation)
{
  entry_t *entry = context;
  const fake_config_store_t *registry = entry->world->registry;
  anvil_str_t head;
  anvil_str_t file;

  ck_assert_uint_gt (generation, entry->in_force);
  ck_assert_uint_le (generation, registry->generation);
  entry->in_force = generation;
  ck_assert_uint_eq (anvil_config_follower_current (entry->follow, &head, &file), generation);
  ck_assert_str_eq (file.data, g_ptr_array_index (registry->files, generation - 1));
  ck_assert_ptr_nonnull (config);
}

static const anvil_config_follower_callbacks_t actions = {
  .read_head = read_head,
  .get_object = get_object,
  .request_from_peer = ask_peer,
  .in_force = in_force,
};

/* Nothing survives the VM; calls of the old one reach nobody. */
static void
replace_entry (world_t *world, entry_t *entry)
{
  anvil_config_follower_drop (entry->follow);
  g_free (entry->object);
  *entry = (entry_t){ .world = world, .tick_at = world->now };
  entry->follow = anvil_config_follower_new (g_rand_int (world->random), &actions, entry);
}

static gboolean
faulty (world_t *world, gint one_in)
{
  return !world->calm && g_rand_int_range (world->random, 0, one_in) == 0;
}

static void
answer_platform (world_t *world, entry_t *entry)
{
  const fake_config_store_t *registry = world->registry;
  gboolean answered = !registry->down && !faulty (world, 5);
  asked_t asked = entry->asked;
  const char *text;

  entry->asked = ASKED_NOTHING;
  if (asked == ASKED_HEAD)
    anvil_config_follower_head_read (
        entry->follow, world->now, answered,
        anvil_str (answered ? fake_config_store_head (registry) : NULL));
  else if (asked == ASKED_OBJECT)
    {
      text = g_hash_table_lookup (registry->objects, entry->object);
      if (faulty (world, 5))
        text = "other bytes";
      anvil_config_follower_object_received (entry->follow, world->now, answered && text != NULL,
                                             anvil_str (text));
    }
}

/* A peer answers with what it has, which may be older or damaged on the way. */
static void
answer_peer (world_t *world, entry_t *entry)
{
  guint index = (guint) entry->asked_peer - 1;
  anvil_str_t head;
  anvil_str_t file;
  guint64 before = entry->in_force;

  if (entry->asked_peer == ANVIL_NO_NODE)
    return;
  entry->asked_peer = ANVIL_NO_NODE;
  if (faulty (world, 5))
    return;
  if (anvil_config_follower_current (world->entries[index].follow, &head, &file) == 0)
    return;
  if (faulty (world, 8))
    file.length--;
  else if (faulty (world, 8))
    head.length--;
  anvil_config_follower_peer_response (entry->follow, head, file);
  world->from_peers += entry->in_force > before;
}

/* One entry tells another what it has, as heartbeats do. */
static void
gossip (world_t *world, entry_t *entry)
{
  guint from = (guint) g_rand_int_range (world->random, 0, N_ENTRIES);
  entry_t *sender = &world->entries[from];

  anvil_config_follower_add_source (entry->follow, world->now, sender->in_force, from + 1);
  entry->tick_at = world->now;
}

static void
pass_time (world_t *world, anvil_time_t most)
{
  world->now += g_rand_int_range (world->random, 0, (gint32) most);
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      entry_t *entry = &world->entries[i];

      if (world->now >= entry->tick_at)
        entry->tick_at = anvil_config_follower_tick (entry->follow, world->now);
    }
}

static void
step (world_t *world)
{
  entry_t *entry = &world->entries[g_rand_int_range (world->random, 0, N_ENTRIES)];

  switch (g_rand_int_range (world->random, 0, 8))
    {
    case 0:
    case 1:
      fake_config_store_step (world->registry);
      fake_config_store_check (world->registry);
      break;
    case 2:
    case 3:
      answer_platform (world, entry);
      break;
    case 4:
      answer_peer (world, entry);
      break;
    case 5:
      gossip (world, entry);
      break;
    case 6:
      if (faulty (world, 20))
        replace_entry (world, entry);
      else if (faulty (world, 20))
        world->registry->down = !world->registry->down;
      break;
    default:
      pass_time (world, 300 * ANVIL_MS);
      break;
    }
}

/* Without faults every entry must come to the newest file in time. */
static void
settle (world_t *world, gboolean platform_up)
{
  anvil_time_t until = world->now + IN_FORCE_WITHIN;

  world->calm = TRUE;
  world->registry->down = !platform_up;
  while (world->now < until)
    {
      for (guint i = 0; i < N_ENTRIES; i++)
        {
          answer_platform (world, &world->entries[i]);
          answer_peer (world, &world->entries[i]);
          gossip (world, &world->entries[i]);
        }
      pass_time (world, 100 * ANVIL_MS);
    }
  world->calm = FALSE;
  for (guint i = 0; i < N_ENTRIES; i++)
    ck_assert_uint_eq (world->entries[i].in_force, world->registry->generation);
}

/* With the platform away, a replaced entry gets the newest file from its peers. */
static void
replace_while_down (world_t *world)
{
  replace_entry (world, &world->entries[0]);
  settle (world, FALSE);
}

/* Adds to @total what happened, so that a history of nothing isn't taken for a proof. */
static void
run_history (guint32 seed, world_t *total)
{
  world_t world = { .random = g_rand_new_with_seed (seed) };

  world.registry = fake_config_store_new (world.random, write_file);
  for (guint i = 0; i < N_ENTRIES; i++)
    replace_entry (&world, &world.entries[i]);
  for (guint i = 0; i < N_STEPS; i++)
    step (&world);

  fake_config_store_commit (world.registry, valid_file);
  settle (&world, TRUE);
  replace_while_down (&world);

  total->from_peers += world.from_peers;
  total->generations += world.registry->generation;
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      anvil_config_follower_drop (world.entries[i].follow);
      g_free (world.entries[i].object);
    }
  fake_config_store_drop (world.registry);
  g_rand_free (world.random);
}

START_TEST (test_histories)
{
  world_t total = { 0 };

  for (guint32 seed = 1; seed <= N_SEEDS; seed++)
    run_history (seed, &total);
  ck_assert_uint_gt (total.from_peers, MIN_FROM_PEERS);
  ck_assert_uint_gt (total.generations, MIN_GENERATIONS);
}
END_TEST

START_TEST (test_fresh_entry_with_nobody_to_ask_has_no_file)
{
  world_t world = { .random = g_rand_new_with_seed (1) };
  anvil_str_t head;
  anvil_str_t file;

  world.registry = fake_config_store_new (world.random, write_file);
  replace_entry (&world, &world.entries[0]);
  for (guint i = 0; i < 200; i++)
    {
      world.registry->down = i % 2 == 0;
      world.now += 100 * ANVIL_MS;
      anvil_config_follower_tick (world.entries[0].follow, world.now);
      answer_platform (&world, &world.entries[0]);
    }
  ck_assert_uint_eq (anvil_config_follower_current (world.entries[0].follow, &head, &file), 0);
  anvil_config_follower_drop (world.entries[0].follow);
  fake_config_store_drop (world.registry);
  g_rand_free (world.random);
}
END_TEST

/* A file that isn't valid here is fetched once, not at every poll. */
START_TEST (test_refused_file_is_fetched_once)
{
  world_t world = { .random = g_rand_new_with_seed (1), .calm = TRUE };
  entry_t *entry = &world.entries[0];
  guint fetched = 0;

  world.registry = fake_config_store_new (world.random, write_file);
  fake_config_store_commit (world.registry, "novelty: 1\n");
  replace_entry (&world, entry);
  for (guint i = 0; i < 200; i++)
    {
      world.now += 100 * ANVIL_MS;
      anvil_config_follower_tick (entry->follow, world.now);
      fetched += entry->asked == ASKED_OBJECT;
      answer_platform (&world, entry);
    }
  ck_assert_uint_eq (fetched, 1);
  ck_assert_uint_eq (entry->in_force, 0);
  anvil_config_follower_drop (entry->follow);
  g_free (entry->object);
  fake_config_store_drop (world.registry);
  g_rand_free (world.random);
}
END_TEST

/* Peers that don't answer are asked a few times, and stand in nobody's way. */
START_TEST (test_dead_peers_are_forgotten)
{
  world_t world = { .random = g_rand_new_with_seed (1) };
  entry_t *entry = &world.entries[0];
  gboolean asked_fresh = FALSE;
  guint asks = 0;

  world.registry = fake_config_store_new (world.random, write_file);
  world.registry->down = TRUE;
  replace_entry (&world, entry);
  for (anvil_node_t peer = 1; peer <= 10; peer++)
    anvil_config_follower_add_source (entry->follow, world.now, 1, peer);
  for (guint i = 0; i < 600; i++)
    {
      world.now += 100 * ANVIL_MS;
      if (i == 20)
        anvil_config_follower_add_source (entry->follow, world.now, 1, 11);
      anvil_config_follower_tick (entry->follow, world.now);
      answer_platform (&world, entry);
      asks += entry->asked_peer != ANVIL_NO_NODE;
      asked_fresh |= entry->asked_peer == 11 && i < 60;
      entry->asked_peer = ANVIL_NO_NODE;
    }
  ck_assert (asked_fresh);
  ck_assert_uint_ge (asks, 4);
  ck_assert_uint_le (asks, 20);
  anvil_config_follower_drop (entry->follow);
  g_free (entry->object);
  fake_config_store_drop (world.registry);
  g_rand_free (world.random);
}
END_TEST

/* A port that accepts connections and never answers. */
static int
listen_silently (guint16 *port)
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
never_in_force (void *context, anvil_config_t *config, guint64 generation)
{
  ck_abort_msg ("a file came from nowhere");
}

static void
count_asked (void *context, anvil_node_t peer, guint64 generation)
{
  (*(guint *) context)++;
}

/* The client ends its calls when it is closed, which may be after the task. */
START_TEST (test_task_closes_with_a_call_under_way)
{
  static const anvil_config_task_callbacks_t events
      = { .in_force = never_in_force, .request_from_peer = count_asked };
  struct event_base *base = event_base_new ();
  guint asked = 0;
  guint16 port;
  int fd = listen_silently (&port);
  anvil_platform_t *platform = anvil_platform_open (base, INADDR_LOOPBACK, port, 60 * ANVIL_SECOND);
  anvil_config_task_t *task = anvil_config_task_open (base, platform, &events, &asked);
  anvil_str_t head;
  anvil_str_t file;

  event_base_loop (base, EVLOOP_ONCE);
  anvil_config_task_add_source (task, 1, 1);
  while (asked == 0)
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
  tcase_add_test (tcase, test_histories);
  tcase_add_test (tcase, test_fresh_entry_with_nobody_to_ask_has_no_file);
  tcase_add_test (tcase, test_refused_file_is_fetched_once);
  tcase_add_test (tcase, test_dead_peers_are_forgotten);
  tcase_add_test (tcase, test_task_closes_with_a_call_under_way);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
