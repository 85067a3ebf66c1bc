/* Claims: several tables over one store that loses, delays and refuses, against an oracle. */

#include <arpa/inet.h>
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "anvil/claims.h"

#define N_ENTRIES 3
#define N_KEYS 80
/* Keys that are asked for at a time, and requests until the next key joins them. */
#define KEYS_AT_ONCE 6
#define REQUESTS_PER_KEY 8
#define STEPS 4000
#define SEEDS 40
#define INTERVAL (50 * ANVIL_MS)

/* A row of the fake store; a deleted one keeps its version. */
typedef struct
{
  char *value;
  guint64 version;
} row_t;

/**
 * call_t - a transaction or read on its way to the store
 * @entry: that sent it
 * @life: life of that entry; an answer reaches only the same one
 * @answered: the sender has its answer, but the call may still take effect
 */
typedef struct
{
  guint entry;
  guint life;
  gboolean answered;
  char *prefix;
  guint n_rows;
  char *keys[64];
  char *values[64];
  guint64 versions[64];
} call_t;

typedef enum
{
  REQUEST_WAITING,
  REQUEST_RUNNING,
  REQUEST_ENDED,
} request_state_t;

typedef struct
{
  guint entry;
  guint key;
  request_state_t state;
  gboolean cancelled;
  anvil_time_t deadline;
} request_t;

/**
 * key_state_t - what the oracle knows of a key
 * @runs: requests that were told to run and may have run
 * @running: requests that run now
 * @status: of the answer, 0 without one
 * @stuck: a run's outcome was lost, or its entry died while it held the key
 */
typedef struct
{
  guint runs;
  guint running;
  gint status;
  gboolean stuck;
} key_state_t;

typedef struct
{
  GRand *random;
  anvil_time_t now;
  anvil_claims_faults_t faults;
  anvil_claims_t *entries[N_ENTRIES];
  guint lives[N_ENTRIES];
  anvil_time_t last_commit[N_ENTRIES];
  GHashTable *rows;
  GPtrArray *calls;
  gboolean touched[N_ENTRIES][N_KEYS];
  gboolean down;
  gboolean calm;
  gboolean kills;
  GHashTable *requests;
  guint64 next_id;
  key_state_t keys[N_KEYS];
  anvil_claim_verdict_t last_verdict;
  gint last_status;
  const char *broken;
} world_t;

typedef struct
{
  world_t *world;
  guint entry;
} seat_t;

static world_t *world;
static seat_t seats[N_ENTRIES];

static void
violate (const char *what)
{
  if (world->broken == NULL)
    world->broken = what;
}

static void
row_free (gpointer data)
{
  row_t *row = data;

  g_free (row->value);
  g_free (row);
}

static void
call_free (gpointer data)
{
  call_t *call = data;

  for (guint i = 0; i < call->n_rows; i++)
    {
      g_free (call->keys[i]);
      g_free (call->values[i]);
    }
  g_free (call->prefix);
  g_free (call);
}

static call_t *
call_new (guint entry)
{
  call_t *call = g_new0 (call_t, 1);

  call->entry = entry;
  call->life = world->lives[entry];
  g_ptr_array_add (world->calls, call);
  return call;
}

static void
on_commit (void *context,
           const anvil_row_t *conditions,
           guint n_conditions,
           const anvil_row_t *writes,
           guint n_writes)
{
  guint entry = ((seat_t *) context)->entry;
  call_t *call = call_new (entry);

  ck_assert_uint_eq (n_conditions, n_writes);
  if (world->now < world->last_commit[entry] + INTERVAL)
    violate ("a transaction came before the interval had passed");
  world->last_commit[entry] = world->now;
  call->n_rows = n_writes;
  for (guint i = 0; i < n_writes; i++)
    {
      call->keys[i] = anvil_str_dup (writes[i].key);
      call->values[i] = writes[i].value.data != NULL ? anvil_str_dup (writes[i].value) : NULL;
      call->versions[i] = conditions[i].version;
    }
}

static void
on_read (void *context, const char *prefix)
{
  call_new (((seat_t *) context)->entry)->prefix = g_strdup (prefix);
}

static void
on_decided (void *context, guint64 id, anvil_claim_verdict_t verdict, gint status)
{
  request_t *request = g_hash_table_lookup (world->requests, &id);
  key_state_t *key = &world->keys[request->key];

  world->last_verdict = verdict;
  world->last_status = status;
  if (request->state != REQUEST_WAITING || request->cancelled)
    violate ("a request had a second verdict, or one after it left");
  request->state = verdict == ANVIL_CLAIM_RUN ? REQUEST_RUNNING : REQUEST_ENDED;
  if (verdict == ANVIL_CLAIM_RECORDED && (key->status == 0 || key->status != status))
    violate ("an outcome was given that no run had");
  if (verdict != ANVIL_CLAIM_RUN)
    return;
  if (world->now >= request->deadline)
    violate ("a request was told to run after its deadline");
  key->runs++;
  key->running++;
  if (key->runs > 1)
    violate ("a key ran twice");
}

static void
entry_start (guint entry)
{
  const anvil_claims_callbacks_t actions
      = { .commit = on_commit, .read = on_read, .decided = on_decided };
  anvil_claims_options_t options = { .node = anvil_node (INADDR_LOOPBACK + entry, 7000),
                                     .incarnation = ++world->lives[entry],
                                     .commit_interval = INTERVAL,
                                     .faults = world->faults };

  world->last_commit[entry] = -ANVIL_SECOND;
  world->entries[entry] = anvil_claims_new (&options, &actions, &seats[entry]);
}

static gboolean
conditions_hold (const call_t *call)
{
  for (guint i = 0; i < call->n_rows; i++)
    {
      const row_t *row = g_hash_table_lookup (world->rows, call->keys[i]);
      guint64 version = row != NULL && row->value != NULL ? row->version : 0;

      if (version != call->versions[i])
        return FALSE;
    }
  return TRUE;
}

static gboolean
apply (const call_t *call)
{
  if (!conditions_hold (call))
    return FALSE;
  for (guint i = 0; i < call->n_rows; i++)
    {
      row_t *row = g_hash_table_lookup (world->rows, call->keys[i]);

      if (row == NULL)
        {
          row = g_new0 (row_t, 1);
          g_hash_table_insert (world->rows, g_strdup (call->keys[i]), row);
        }
      g_free (row->value);
      row->value = g_strdup (call->values[i]);
      row->version++;
    }
  return TRUE;
}

static void
answer_commit (const call_t *call, anvil_commit_result_t result)
{
  if (!call->answered && call->life == world->lives[call->entry])
    anvil_claims_commit_finished (world->entries[call->entry], world->now, result);
}

static void
answer_read (const call_t *call, gboolean failed)
{
  const row_t *row = g_hash_table_lookup (world->rows, call->prefix);
  gboolean found = !failed && row != NULL && row->value != NULL;
  anvil_row_t answer = { .key = anvil_str (call->prefix) };

  if (call->life != world->lives[call->entry])
    return;
  if (found)
    {
      answer.value = anvil_str (row->value);
      answer.version = row->version;
    }
  anvil_claims_read_finished (world->entries[call->entry], world->now, call->prefix, &answer, found,
                              failed);
}

static gboolean
chance (guint percent)
{
  return !world->calm && (guint) g_rand_int_range (world->random, 0, 100) < percent;
}

/* Brings one call to its end, in any order. */
static void
step_call (void)
{
  guint index;
  call_t *call;

  if (world->calls->len == 0)
    return;
  index = (guint) g_rand_int_range (world->random, 0, (gint32) world->calls->len);
  call = g_ptr_array_index (world->calls, index);
  if (!call->answered && call->prefix == NULL && chance (15))
    {
      /* The answer is lost now; the write may land much later, or never. */
      answer_commit (call, ANVIL_COMMIT_UNKNOWN);
      call->answered = TRUE;
      if (chance (50))
        return;
    }
  call = g_ptr_array_steal_index_fast (world->calls, index);
  if (call->prefix != NULL)
    answer_read (call, world->down || chance (10));
  else if (call->answered && chance (30))
    ;
  else if (!call->answered && (world->down || chance (10)))
    answer_commit (call, ANVIL_COMMIT_NOT_DONE);
  else
    answer_commit (call, apply (call) ? ANVIL_COMMIT_DONE : ANVIL_COMMIT_CONFLICT);
  call_free (call);
}

static void
step_submit (guint entry, guint key)
{
  request_t *request = g_new0 (request_t, 1);
  guint64 id = ++world->next_id;
  anvil_time_t wait
      = world->calm ? 100 * ANVIL_SECOND : g_rand_int_range (world->random, 1, 800) * ANVIL_MS;
  char *text = g_strdup_printf ("key-%u", key);
  const anvil_claim_t claim = { .id = id,
                                .service = anvil_str ("shop"),
                                .key = anvil_str (text),
                                .deadline = world->now + wait,
                                .expires_at_s = 86400 };

  request->entry = entry;
  request->key = key;
  request->deadline = claim.deadline;
  world->touched[entry][key] = TRUE;
  g_hash_table_insert (world->requests, g_memdup2 (&id, sizeof id), request);
  anvil_claims_submit (world->entries[entry], world->now, &claim);
  g_free (text);
}

/* A request in @state, or NULL; 0 @id then. */
static request_t *
pick_request (request_state_t state, guint64 *id)
{
  for (guint i = 0; i < 8 && world->next_id > 0; i++)
    {
      gint32 newest = (gint32) world->next_id;
      request_t *request;

      *id = (guint64) g_rand_int_range (world->random, MAX (1, newest - 20), newest + 1);
      request = g_hash_table_lookup (world->requests, id);
      if (request->state == state && !request->cancelled)
        return request;
    }
  return NULL;
}

static void
end_run (guint64 id, request_t *request, anvil_claim_outcome_t end)
{
  key_state_t *key = &world->keys[request->key];
  gint status = 0;

  request->state = REQUEST_ENDED;
  key->running--;
  if (end == ANVIL_CLAIM_OUTCOME_NOT_RUN)
    key->runs--;
  if (end == ANVIL_CLAIM_OUTCOME_UNKNOWN)
    key->stuck = TRUE;
  if (end == ANVIL_CLAIM_OUTCOME_ANSWERED)
    {
      status = g_rand_int_range (world->random, 200, 500);
      key->status = status;
    }
  anvil_claims_finished (world->entries[request->entry], world->now, id, end, status);
}

static void
step_finish (void)
{
  guint64 id;
  request_t *request = pick_request (REQUEST_RUNNING, &id);
  guint draw = (guint) g_rand_int_range (world->random, 0, 100);

  if (request != NULL)
    end_run (id, request,
             draw < 70   ? ANVIL_CLAIM_OUTCOME_NOT_RUN
             : draw < 90 ? ANVIL_CLAIM_OUTCOME_ANSWERED
                         : ANVIL_CLAIM_OUTCOME_UNKNOWN);
}

static void
step_cancel (void)
{
  guint64 id;
  request_t *request = pick_request (REQUEST_WAITING, &id);

  if (request == NULL)
    return;
  request->cancelled = TRUE;
  anvil_claims_cancel (world->entries[request->entry], world->now, id);
}

/* The entry dies with all that it knew; another takes its place. */
static void
step_kill (guint entry)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, world->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      request_t *request = value;

      if (request->entry == entry && request->state == REQUEST_RUNNING)
        world->keys[request->key].running--;
      if (request->entry == entry)
        request->state = REQUEST_ENDED;
    }
  /* Nobody can know what it claimed, released or recorded. */
  for (guint key = 0; key < N_KEYS; key++)
    world->keys[key].stuck |= world->touched[entry][key];
  anvil_claims_drop (world->entries[entry]);
  entry_start (entry);
}

/* An entry at rest leaves nothing behind, whatever is still on its way to the store. */
static void
clear_touched (guint entry)
{
  if (anvil_claims_pending (world->entries[entry]) == 0)
    memset (world->touched[entry], 0, sizeof world->touched[entry]);
}

static guint
draw_key (void)
{
  guint first = (guint) (world->next_id / REQUESTS_PER_KEY);

  return (first + (guint) g_rand_int_range (world->random, 0, KEYS_AT_ONCE)) % N_KEYS;
}

static void
step (void)
{
  guint entry = (guint) g_rand_int_range (world->random, 0, N_ENTRIES);
  guint draw = (guint) g_rand_int_range (world->random, 0, 1000);

  world->now += g_rand_int_range (world->random, 0, 20) * ANVIL_MS;
  clear_touched (entry);
  if (draw < 120)
    step_submit (entry, draw_key ());
  else if (draw < 550)
    step_call ();
  else if (draw < 650)
    step_finish ();
  else if (draw < 680)
    step_cancel ();
  else if (draw < 682 && world->kills)
    step_kill (entry);
  else if (draw < (world->down ? 710 : 686))
    world->down = !world->down;
  else
    anvil_claims_tick (world->entries[entry], world->now);
}

/* Without further faults everything comes to its end. */
static void
settle (void)
{
  world->calm = TRUE;
  world->down = FALSE;
  for (guint i = 0; i < 2000; i++)
    {
      world->now += 20 * ANVIL_MS;
      step_call ();
      anvil_claims_tick (world->entries[i % N_ENTRIES], world->now);
    }
}

static void
end_runs (void)
{
  GHashTableIter iter;
  gpointer id;
  gpointer value;

  g_hash_table_iter_init (&iter, world->requests);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      request_t *request = value;

      if (request->state == REQUEST_RUNNING)
        end_run (*(guint64 *) id, request, ANVIL_CLAIM_OUTCOME_NOT_RUN);
    }
}

/* What a repeat must hear once all is quiet. */
static void
check_key (guint key)
{
  const key_state_t before = world->keys[key];
  request_t *request;

  step_submit (key % N_ENTRIES, key);
  settle ();
  request = g_hash_table_lookup (world->requests, &world->next_id);
  if (request->state == REQUEST_WAITING)
    violate ("a request never had a verdict");
  else if (before.stuck)
    return;
  else if (before.status != 0 && world->last_verdict != ANVIL_CLAIM_RECORDED)
    violate ("an answer wasn't recorded");
  else if (before.runs == 0 && world->last_verdict != ANVIL_CLAIM_RUN)
    violate ("a key that never ran stayed taken");
}

static const char *
play (guint32 seed, anvil_claims_faults_t faults)
{
  world_t state = { .random = g_rand_new_with_seed (seed),
                    .now = ANVIL_SECOND,
                    .faults = faults,
                    .kills = seed % 2 == 0 };

  world = &state;
  world->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  world->calls = g_ptr_array_new ();
  world->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      seats[i] = (seat_t){ .world = world, .entry = i };
      entry_start (i);
    }
  for (guint i = 0; i < STEPS && world->broken == NULL; i++)
    step ();
  settle ();
  end_runs ();
  settle ();
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      if (anvil_claims_pending (world->entries[i]) > 0)
        violate ("a table never came to rest");
    }
  for (guint key = 0; key < N_KEYS && world->broken == NULL; key++)
    check_key (key);
  for (guint i = 0; i < N_ENTRIES; i++)
    anvil_claims_drop (world->entries[i]);
  g_ptr_array_set_free_func (world->calls, call_free);
  g_ptr_array_unref (world->calls);
  g_hash_table_unref (world->rows);
  g_hash_table_unref (world->requests);
  g_rand_free (world->random);
  return state.broken;
}

START_TEST (test_claims_hold_under_faults)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      const char *broken = play (seed, (anvil_claims_faults_t){ 0 });

      ck_assert_msg (broken == NULL, "seed %u: %s", seed, broken);
    }
}
END_TEST

START_TEST (test_each_broken_variant_is_caught)
{
  static const struct
  {
    anvil_claims_faults_t faults;
    const char *oracle;
  } variants[] = {
    { { .ignore_conflict = TRUE }, "a key ran twice" },
    { { .ignore_nonce = TRUE }, "a key ran twice" },
    { { .ignore_record = TRUE }, "a key ran twice" },
    { { .release_lost = TRUE }, "a key ran twice" },
    { { .ignore_interval = TRUE }, "a transaction came before the interval had passed" },
    { { .ignore_lost_answer = TRUE }, "a key that never ran stayed taken" },
    { { .forget_abandoned = TRUE }, "a key that never ran stayed taken" },
    { { .delete_released = TRUE }, "a key that never ran stayed taken" },
    { { .ignore_deadline = TRUE }, "a request was told to run after its deadline" },
    { { .ignore_overtaken = TRUE }, "a key that never ran stayed taken" },
    { { .forget_outcome = TRUE }, "an answer wasn't recorded" },
  };
  const char *broken = NULL;

  for (guint32 seed = 1; seed <= 10 * SEEDS && g_strcmp0 (broken, variants[_i].oracle) != 0; seed++)
    broken = play (seed, variants[_i].faults);
  ck_assert_str_eq (broken != NULL ? broken : "nothing", variants[_i].oracle);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("claims");
  TCase *tcase = tcase_create ("claims");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 120);
  tcase_add_test (tcase, test_claims_hold_under_faults);
  tcase_add_loop_test (tcase, test_each_broken_variant_is_caught, 0, 11);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
