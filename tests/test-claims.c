/* Claims of several entries over a store that loses, delays and refuses calls, with an oracle. */

#include <arpa/inet.h>
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "anvil/claims.h"

#define N_ENTRIES 3
#define N_KEYS 80
/* Keys that are in use at a time, and requests after which the next key replaces the oldest. */
#define N_ACTIVE_KEYS 6
#define REQUESTS_PER_KEY 8
#define N_STEPS 4000
#define N_SEEDS 40
#define COMMIT_INTERVAL (50 * ANVIL_MS)

/* A row of the fake store; a deleted row keeps its version. */
typedef struct
{
  char *value;
  guint64 version;
} row_t;

/**
 * store_call_t - a transaction or read that was sent to the store
 * @incarnation: incarnation of @entry, the sender; a later one does not get the result
 * @answered: the sender has been given a result, but the transaction may still take effect
 */
typedef struct
{
  guint entry;
  guint incarnation;
  gboolean answered;
  char *prefix;
  guint n_rows;
  char *keys[64];
  char *values[64];
  guint64 versions[64];
} store_call_t;

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
 * key_state_t - state of a key as the oracle expects it
 * @runs: requests with ANVIL_CLAIM_RUN that may have run
 * @running: requests that run now
 * @status: recorded status, 0 without an answer
 * @unresolved: the outcome of a run is unknown, or its entry was killed while it held the key
 */
typedef struct
{
  guint runs;
  guint running;
  gint status;
  gboolean unresolved;
} key_state_t;

typedef struct
{
  GRand *random;
  anvil_time_t now;
  anvil_claims_faults_t faults;
  anvil_claims_t *entries[N_ENTRIES];
  guint incarnations[N_ENTRIES];
  anvil_time_t last_commit[N_ENTRIES];
  GHashTable *rows;
  GPtrArray *calls;
  gboolean may_have_written[N_ENTRIES][N_KEYS];
  gboolean store_down;
  gboolean faults_off;
  gboolean kill_entries;
  GHashTable *requests;
  guint64 next_id;
  key_state_t keys[N_KEYS];
  anvil_claim_verdict_t last_verdict;
  gint last_status;
  const char *violation;
} simulation_t;

typedef struct
{
  simulation_t *sim;
  guint entry;
} entry_context_t;

static simulation_t *sim;
static entry_context_t contexts[N_ENTRIES];

static void
report_violation (const char *text)
{
  if (sim->violation == NULL)
    sim->violation = text;
}

static void
row_drop (gpointer data)
{
  row_t *row = data;

  g_free (row->value);
  g_free (row);
}

static void
store_call_drop (gpointer data)
{
  store_call_t *call = data;

  for (guint i = 0; i < call->n_rows; i++)
    {
      g_free (call->keys[i]);
      g_free (call->values[i]);
    }
  g_free (call->prefix);
  g_free (call);
}

static store_call_t *
store_call_new (guint entry)
{
  store_call_t *call = g_new0 (store_call_t, 1);

  call->entry = entry;
  call->incarnation = sim->incarnations[entry];
  g_ptr_array_add (sim->calls, call);
  return call;
}

static void
on_commit (void *context,
           const anvil_row_t *conditions,
           guint n_conditions,
           const anvil_row_t *writes,
           guint n_writes)
{
  guint entry = ((entry_context_t *) context)->entry;
  store_call_t *call = store_call_new (entry);

  ck_assert_uint_eq (n_conditions, n_writes);
  if (sim->now < sim->last_commit[entry] + COMMIT_INTERVAL)
    report_violation ("a transaction started before the interval had passed");
  sim->last_commit[entry] = sim->now;
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
  store_call_new (((entry_context_t *) context)->entry)->prefix = g_strdup (prefix);
}

static void
on_decided (void *context, guint64 id, anvil_claim_verdict_t verdict, gint status)
{
  request_t *request = g_hash_table_lookup (sim->requests, &id);
  key_state_t *key = &sim->keys[request->key];

  sim->last_verdict = verdict;
  sim->last_status = status;
  if (request->state != REQUEST_WAITING || request->cancelled)
    report_violation ("a request got a second verdict, or one after it was cancelled");
  request->state = verdict == ANVIL_CLAIM_RUN ? REQUEST_RUNNING : REQUEST_ENDED;
  if (verdict == ANVIL_CLAIM_RECORDED && (key->status == 0 || key->status != status))
    report_violation ("a status was reported that no run had");
  if (verdict != ANVIL_CLAIM_RUN)
    return;
  if (sim->now >= request->deadline)
    report_violation ("a request was run after its deadline");
  key->runs++;
  key->running++;
  if (key->runs > 1)
    report_violation ("a key ran twice");
}

static void
entry_start (guint entry)
{
  const anvil_claims_callbacks_t callbacks
      = { .commit = on_commit, .read = on_read, .decided = on_decided };
  anvil_claims_options_t options = { .node = anvil_node (INADDR_LOOPBACK + entry, 7000),
                                     .incarnation = ++sim->incarnations[entry],
                                     .commit_interval = COMMIT_INTERVAL,
                                     .faults = sim->faults };

  sim->last_commit[entry] = -ANVIL_SECOND;
  sim->entries[entry] = anvil_claims_new (&options, &callbacks, &contexts[entry]);
}

static gboolean
conditions_met (const store_call_t *call)
{
  for (guint i = 0; i < call->n_rows; i++)
    {
      const row_t *row = g_hash_table_lookup (sim->rows, call->keys[i]);
      guint64 version = row != NULL && row->value != NULL ? row->version : 0;

      if (version != call->versions[i])
        return FALSE;
    }
  return TRUE;
}

static gboolean
apply_transaction (const store_call_t *call)
{
  if (!conditions_met (call))
    return FALSE;
  for (guint i = 0; i < call->n_rows; i++)
    {
      row_t *row = g_hash_table_lookup (sim->rows, call->keys[i]);

      if (row == NULL)
        {
          row = g_new0 (row_t, 1);
          g_hash_table_insert (sim->rows, g_strdup (call->keys[i]), row);
        }
      g_free (row->value);
      row->value = g_strdup (call->values[i]);
      row->version++;
    }
  return TRUE;
}

static void
finish_commit (const store_call_t *call, anvil_commit_result_t result)
{
  if (!call->answered && call->incarnation == sim->incarnations[call->entry])
    anvil_claims_commit_finished (sim->entries[call->entry], sim->now, result);
}

static void
finish_read (const store_call_t *call, gboolean failed)
{
  const row_t *row = g_hash_table_lookup (sim->rows, call->prefix);
  gboolean found = !failed && row != NULL && row->value != NULL;
  anvil_row_t row_read = { .key = anvil_str (call->prefix) };

  if (call->incarnation != sim->incarnations[call->entry])
    return;
  if (found)
    {
      row_read.value = anvil_str (row->value);
      row_read.version = row->version;
    }
  anvil_claims_read_finished (sim->entries[call->entry], sim->now, call->prefix, &row_read, found,
                              failed);
}

static gboolean
chance (guint percent)
{
  return !sim->faults_off && (guint) g_rand_int_range (sim->random, 0, 100) < percent;
}

/* Completes a randomly chosen call to the store. */
static void
step_store_call (void)
{
  guint index;
  store_call_t *call;

  if (sim->calls->len == 0)
    return;
  index = (guint) g_rand_int_range (sim->random, 0, (gint32) sim->calls->len);
  call = g_ptr_array_index (sim->calls, index);
  if (!call->answered && call->prefix == NULL && chance (15))
    {
      /* The result is lost; the transaction may take effect much later, or never. */
      finish_commit (call, ANVIL_COMMIT_UNKNOWN);
      call->answered = TRUE;
      if (chance (50))
        return;
    }
  call = g_ptr_array_steal_index_fast (sim->calls, index);
  if (call->prefix != NULL)
    finish_read (call, sim->store_down || chance (10));
  else if (call->answered && chance (30))
    ;
  else if (!call->answered && (sim->store_down || chance (10)))
    finish_commit (call, ANVIL_COMMIT_NOT_DONE);
  else
    finish_commit (call, apply_transaction (call) ? ANVIL_COMMIT_DONE : ANVIL_COMMIT_CONFLICT);
  store_call_drop (call);
}

static void
step_submit (guint entry, guint key)
{
  request_t *request = g_new0 (request_t, 1);
  guint64 id = ++sim->next_id;
  anvil_time_t wait
      = sim->faults_off ? 100 * ANVIL_SECOND : g_rand_int_range (sim->random, 1, 800) * ANVIL_MS;
  char *text = g_strdup_printf ("key-%u", key);
  const anvil_claim_t claim = { .id = id,
                                .service = anvil_str ("shop"),
                                .key = anvil_str (text),
                                .deadline = sim->now + wait,
                                .expires_at_s = 86400 };

  request->entry = entry;
  request->key = key;
  request->deadline = claim.deadline;
  sim->may_have_written[entry][key] = TRUE;
  g_hash_table_insert (sim->requests, g_memdup2 (&id, sizeof id), request);
  anvil_claims_submit (sim->entries[entry], sim->now, &claim);
  g_free (text);
}

/* A recent request in @state and its id, or NULL. */
static request_t *
pick_request (request_state_t state, guint64 *id)
{
  for (guint i = 0; i < 8 && sim->next_id > 0; i++)
    {
      gint32 newest = (gint32) sim->next_id;
      request_t *request;

      *id = (guint64) g_rand_int_range (sim->random, MAX (1, newest - 20), newest + 1);
      request = g_hash_table_lookup (sim->requests, id);
      if (request->state == state && !request->cancelled)
        return request;
    }
  return NULL;
}

static void
finish_run (guint64 id, request_t *request, anvil_claim_outcome_t outcome)
{
  key_state_t *key = &sim->keys[request->key];
  gint status = 0;

  request->state = REQUEST_ENDED;
  key->running--;
  if (outcome == ANVIL_CLAIM_OUTCOME_NOT_RUN)
    key->runs--;
  if (outcome == ANVIL_CLAIM_OUTCOME_UNKNOWN)
    key->unresolved = TRUE;
  if (outcome == ANVIL_CLAIM_OUTCOME_ANSWERED)
    {
      status = g_rand_int_range (sim->random, 200, 500);
      key->status = status;
    }
  anvil_claims_finished (sim->entries[request->entry], sim->now, id, outcome, status);
}

static void
step_finish (void)
{
  guint64 id;
  request_t *request = pick_request (REQUEST_RUNNING, &id);
  guint percent = (guint) g_rand_int_range (sim->random, 0, 100);

  if (request != NULL)
    finish_run (id, request,
                percent < 70   ? ANVIL_CLAIM_OUTCOME_NOT_RUN
                : percent < 90 ? ANVIL_CLAIM_OUTCOME_ANSWERED
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
  anvil_claims_cancel (sim->entries[request->entry], sim->now, id);
}

/* Kills an entry, which loses its state, and starts it again. */
static void
step_restart_entry (guint entry)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sim->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      request_t *request = value;

      if (request->entry == entry && request->state == REQUEST_RUNNING)
        sim->keys[request->key].running--;
      if (request->entry == entry)
        request->state = REQUEST_ENDED;
    }
  /* What it had claimed, released or recorded is unknown. */
  for (guint key = 0; key < N_KEYS; key++)
    sim->keys[key].unresolved |= sim->may_have_written[entry][key];
  anvil_claims_drop (sim->entries[entry]);
  entry_start (entry);
}

/* An entry without pending keys leaves none claimed, whatever is still on its way to the store. */
static void
clear_written (guint entry)
{
  if (anvil_claims_pending (sim->entries[entry]) == 0)
    memset (sim->may_have_written[entry], 0, sizeof sim->may_have_written[entry]);
}

static guint
random_key (void)
{
  guint first = (guint) (sim->next_id / REQUESTS_PER_KEY);

  return (first + (guint) g_rand_int_range (sim->random, 0, N_ACTIVE_KEYS)) % N_KEYS;
}

static void
step (void)
{
  guint entry = (guint) g_rand_int_range (sim->random, 0, N_ENTRIES);
  guint per_mille = (guint) g_rand_int_range (sim->random, 0, 1000);

  sim->now += g_rand_int_range (sim->random, 0, 20) * ANVIL_MS;
  clear_written (entry);
  if (per_mille < 120)
    step_submit (entry, random_key ());
  else if (per_mille < 550)
    step_store_call ();
  else if (per_mille < 650)
    step_finish ();
  else if (per_mille < 680)
    step_cancel ();
  else if (per_mille < 682 && sim->kill_entries)
    step_restart_entry (entry);
  else if (per_mille < (sim->store_down ? 710 : 686))
    sim->store_down = !sim->store_down;
  else
    anvil_claims_tick (sim->entries[entry], sim->now);
}

/* Without further faults all calls and requests complete. */
static void
run_without_faults (void)
{
  sim->faults_off = TRUE;
  sim->store_down = FALSE;
  for (guint i = 0; i < 2000; i++)
    {
      sim->now += 20 * ANVIL_MS;
      step_store_call ();
      anvil_claims_tick (sim->entries[i % N_ENTRIES], sim->now);
    }
}

static void
finish_runs (void)
{
  GHashTableIter iter;
  gpointer id;
  gpointer value;

  g_hash_table_iter_init (&iter, sim->requests);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      request_t *request = value;

      if (request->state == REQUEST_RUNNING)
        finish_run (*(guint64 *) id, request, ANVIL_CLAIM_OUTCOME_NOT_RUN);
    }
}

/* Submits a key again once nothing is pending, and checks the verdict against the oracle. */
static void
check_repeat_of_key (guint key)
{
  const key_state_t before = sim->keys[key];
  request_t *request;

  step_submit (key % N_ENTRIES, key);
  run_without_faults ();
  request = g_hash_table_lookup (sim->requests, &sim->next_id);
  if (request->state == REQUEST_WAITING)
    report_violation ("a request never got a verdict");
  else if (before.unresolved)
    return;
  else if (before.status != 0 && sim->last_verdict != ANVIL_CLAIM_RECORDED)
    report_violation ("an answer wasn't recorded");
  else if (before.runs == 0 && sim->last_verdict != ANVIL_CLAIM_RUN)
    report_violation ("a key that never ran stayed claimed");
}

static const char *
simulate (guint32 seed, anvil_claims_faults_t faults)
{
  simulation_t state = { .random = g_rand_new_with_seed (seed),
                         .now = ANVIL_SECOND,
                         .faults = faults,
                         .kill_entries = seed % 2 == 0 };

  sim = &state;
  sim->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_drop);
  sim->calls = g_ptr_array_new ();
  sim->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      contexts[i] = (entry_context_t){ .sim = sim, .entry = i };
      entry_start (i);
    }
  for (guint i = 0; i < N_STEPS && sim->violation == NULL; i++)
    step ();
  run_without_faults ();
  finish_runs ();
  run_without_faults ();
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      if (anvil_claims_pending (sim->entries[i]) > 0)
        report_violation ("an entry still has pending keys");
    }
  for (guint key = 0; key < N_KEYS && sim->violation == NULL; key++)
    check_repeat_of_key (key);
  for (guint i = 0; i < N_ENTRIES; i++)
    anvil_claims_drop (sim->entries[i]);
  g_ptr_array_set_free_func (sim->calls, store_call_drop);
  g_ptr_array_unref (sim->calls);
  g_hash_table_unref (sim->rows);
  g_hash_table_unref (sim->requests);
  g_rand_free (sim->random);
  return state.violation;
}

START_TEST (test_keys_run_at_most_once_under_faults)
{
  for (guint32 seed = 1; seed <= N_SEEDS; seed++)
    {
      const char *violation = simulate (seed, (anvil_claims_faults_t){ 0 });

      ck_assert_msg (violation == NULL, "seed %u: %s", seed, violation);
    }
}
END_TEST

START_TEST (test_each_broken_variant_is_detected)
{
  static const struct
  {
    anvil_claims_faults_t faults;
    const char *expected;
  } cases[] = {
    { { .ignore_conflict = TRUE }, "a key ran twice" },
    { { .ignore_nonce = TRUE }, "a key ran twice" },
    { { .ignore_record = TRUE }, "a key ran twice" },
    { { .release_unknown = TRUE }, "a key ran twice" },
    { { .ignore_interval = TRUE }, "a transaction started before the interval had passed" },
    { { .ignore_lost_answer = TRUE }, "a key that never ran stayed claimed" },
    { { .skip_abandoned_release = TRUE }, "a key that never ran stayed claimed" },
    { { .delete_released = TRUE }, "a key that never ran stayed claimed" },
    { { .ignore_deadline = TRUE }, "a request was run after its deadline" },
    { { .skip_repeated_release = TRUE }, "a key that never ran stayed claimed" },
    { { .skip_outcome_record = TRUE }, "an answer wasn't recorded" },
  };
  const char *found = NULL;

  for (guint32 seed = 1; seed <= 10 * N_SEEDS && g_strcmp0 (found, cases[_i].expected) != 0; seed++)
    found = simulate (seed, cases[_i].faults);
  ck_assert_str_eq (found != NULL ? found : "nothing", cases[_i].expected);
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
  tcase_add_test (tcase, test_keys_run_at_most_once_under_faults);
  tcase_add_loop_test (tcase, test_each_broken_variant_is_detected, 0, 11);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
