#include "oracle-internal.h"

/**
 * request_t - state of a request according to the history
 * @n_possibly_run: dispatched attempts that the entry doesn't know to be rejected
 * @result_pending: the entry waits for the result of an attempt
 * @n_runs: attempts that an upstream ran
 * @closed: finished, refused, or its entry died
 */
typedef struct
{
  guint64 id;
  guint entry;
  gboolean idempotent;
  anvil_time_t deadline;
  guint n_possibly_run;
  gboolean result_pending;
  guint n_runs;
  gboolean refused;
  gboolean closed;
} request_t;

struct oracle_requests
{
  GHashTable *all;
  GHashTable *pending[FAKE_MAX_ENTRIES];
  anvil_time_t running_since[FAKE_MAX_ENTRIES];
};

oracle_requests_t *
oracle_requests_new (void)
{
  oracle_requests_t *requests = g_new0 (oracle_requests_t, 1);

  requests->all = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  for (guint i = 0; i < FAKE_MAX_ENTRIES; i++)
    requests->pending[i] = g_hash_table_new (NULL, NULL);
  return requests;
}

void
oracle_requests_drop (oracle_requests_t *requests)
{
  for (guint i = 0; i < FAKE_MAX_ENTRIES; i++)
    g_hash_table_destroy (requests->pending[i]);
  g_hash_table_destroy (requests->all);
  g_free (requests);
}

static void
add_request (oracle_requests_t *requests, const fake_record_t *record)
{
  request_t *request = g_new0 (request_t, 1);

  request->id = record->request;
  request->entry = record->entry;
  request->idempotent = record->idempotent;
  request->deadline = record->deadline;
  g_hash_table_insert (requests->all, GSIZE_TO_POINTER (request->id), request);
  g_hash_table_add (requests->pending[request->entry], request);
}

static void
close_all (oracle_requests_t *requests, guint entry)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, requests->pending[entry]);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    ((request_t *) key)->closed = TRUE;
  g_hash_table_remove_all (requests->pending[entry]);
}

static void
check_dispatch (request_t *request, oracle_failure_t *failure)
{
  if (request->closed)
    oracle_fail (failure, "outcome", "request %" G_GUINT64_FORMAT " dispatched after its end",
                 request->id);
  if (!request->idempotent && request->n_possibly_run > 0)
    oracle_fail (failure, "once", "request %" G_GUINT64_FORMAT " dispatched when it may have run",
                 request->id);
  if (request->result_pending)
    oracle_fail (failure, "outcome", "request %" G_GUINT64_FORMAT " dispatched twice at a time",
                 request->id);
  request->n_possibly_run++;
  request->result_pending = TRUE;
}

static void
check_run (request_t *request, oracle_failure_t *failure)
{
  request->n_runs++;
  if (!request->idempotent && request->n_runs > 1)
    oracle_fail (failure, "once", "request %" G_GUINT64_FORMAT " ran %u times", request->id,
                 request->n_runs);
  if (request->refused)
    oracle_fail (failure, "refused", "request %" G_GUINT64_FORMAT " was refused and ran",
                 request->id);
}

static void
record_result (request_t *request, anvil_attempt_result_t result)
{
  request->result_pending = FALSE;
  if (result == ANVIL_ATTEMPT_NOT_RUN || result == ANVIL_ATTEMPT_DRAINING)
    request->n_possibly_run--;
}

static void
check_end (oracle_requests_t *requests,
           request_t *request,
           oracle_failure_t *failure,
           const fake_record_t *record)
{
  request->refused = record->kind == FAKE_REFUSED;
  if (request->closed)
    oracle_fail (failure, "outcome", "request %" G_GUINT64_FORMAT " ended twice", request->id);
  if (request->refused && (request->n_possibly_run > 0 || request->n_runs > 0))
    oracle_fail (failure, "refused", "request %" G_GUINT64_FORMAT " refused, but may have run",
                 request->id);
  if (!request->refused && request->result_pending)
    oracle_fail (failure, "outcome", "request %" G_GUINT64_FORMAT " ended while it runs",
                 request->id);
  request->closed = TRUE;
  g_hash_table_remove (requests->pending[request->entry], request);
}

void
oracle_requests_record (oracle_requests_t *requests,
                        oracle_failure_t *failure,
                        const fake_record_t *record)
{
  request_t *request = g_hash_table_lookup (requests->all, GSIZE_TO_POINTER (record->request));

  if (record->kind == FAKE_SUBMITTED)
    add_request (requests, record);
  if (record->kind == FAKE_SHUTDOWN_FINISHED
      && g_hash_table_size (requests->pending[record->entry]) > 0)
    oracle_fail (failure, "shutdown", "entry %u left %u requests behind", record->entry,
                 g_hash_table_size (requests->pending[record->entry]));
  if (record->kind == FAKE_STOPPED)
    close_all (requests, record->entry);
  if (request == NULL)
    return;
  if (record->kind == FAKE_DISPATCHED)
    check_dispatch (request, failure);
  if (record->kind == FAKE_WORK_ENDED && record->ran)
    check_run (request, failure);
  if (record->kind == FAKE_ATTEMPT_RESULT)
    record_result (request, record->result);
  if (record->kind == FAKE_FINISHED || record->kind == FAKE_REFUSED)
    check_end (requests, request, failure, record);
}

static void
check_pending (const oracle_requests_t *requests,
               oracle_failure_t *failure,
               guint entry,
               anvil_time_t now)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, requests->pending[entry]);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const request_t *request = key;

      if (MAX (request->deadline, requests->running_since[entry]) + ORACLE_OUTCOME_BOUND < now)
        oracle_fail (failure, "outcome", "request %" G_GUINT64_FORMAT " has none past its deadline",
                     request->id);
    }
}

void
oracle_requests_update (oracle_requests_t *requests,
                        oracle_failure_t *failure,
                        const fake_net_t *net)
{
  for (guint i = 0; i < net->n_entries; i++)
    {
      const fake_entry_t *entry = &net->entries[i];
      guint pending = g_hash_table_size (requests->pending[i]);

      if (!entry->alive || entry->frozen)
        {
          requests->running_since[i] = fake_net_now (net);
          continue;
        }
      check_pending (requests, failure, i, fake_net_now (net));
      if (entry->steer != NULL && anvil_steer_request_count (entry->steer) != pending)
        oracle_fail (failure, "outcome", "entry %u says it has %u requests, it has %u", i,
                     anvil_steer_request_count (entry->steer), pending);
    }
}
