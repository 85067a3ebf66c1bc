#include "oracle-internal.h"

/**
 * request_t - what the history says of a request
 * @open: dispatched attempts that aren't known to have been turned away
 * @waiting: an attempt whose result the entry hasn't learnt
 * @runs: attempts that an upstream ran
 * @closed: finished, refused, or its entry died
 */
typedef struct
{
  guint64 id;
  guint entry;
  gboolean idempotent;
  anvil_time_t until;
  guint open;
  gboolean waiting;
  guint runs;
  gboolean refused;
  gboolean closed;
} request_t;

struct oracle_requests
{
  GHashTable *all;
  GHashTable *pending[FAKE_MAX_ENTRIES];
  anvil_time_t awake_since[FAKE_MAX_ENTRIES];
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
  request->until = record->deadline;
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
check_dispatch (request_t *request, oracle_failure_t *verdict)
{
  if (request->closed)
    oracle_fail (verdict, "outcome", "request %" G_GUINT64_FORMAT " dispatched after its end",
                 request->id);
  if (!request->idempotent && request->open > 0)
    oracle_fail (verdict, "once", "request %" G_GUINT64_FORMAT " dispatched when it may have run",
                 request->id);
  if (request->waiting)
    oracle_fail (verdict, "outcome", "request %" G_GUINT64_FORMAT " dispatched twice at a time",
                 request->id);
  request->open++;
  request->waiting = TRUE;
}

static void
check_run (request_t *request, oracle_failure_t *verdict)
{
  request->runs++;
  if (!request->idempotent && request->runs > 1)
    oracle_fail (verdict, "once", "request %" G_GUINT64_FORMAT " ran %u times", request->id,
                 request->runs);
  if (request->refused)
    oracle_fail (verdict, "refused", "request %" G_GUINT64_FORMAT " was refused and ran",
                 request->id);
}

static void
note_result (request_t *request, anvil_attempt_result_t result)
{
  request->waiting = FALSE;
  if (result == ANVIL_ATTEMPT_NOT_RUN || result == ANVIL_ATTEMPT_DRAINING)
    request->open--;
}

static void
check_end (oracle_requests_t *requests,
           request_t *request,
           oracle_failure_t *verdict,
           const fake_record_t *record)
{
  request->refused = record->kind == FAKE_REFUSED;
  if (request->closed)
    oracle_fail (verdict, "outcome", "request %" G_GUINT64_FORMAT " ended twice", request->id);
  if (request->refused && (request->open > 0 || request->runs > 0))
    oracle_fail (verdict, "refused", "request %" G_GUINT64_FORMAT " refused, but may have run",
                 request->id);
  if (!request->refused && request->waiting)
    oracle_fail (verdict, "outcome", "request %" G_GUINT64_FORMAT " ended while it runs",
                 request->id);
  request->closed = TRUE;
  g_hash_table_remove (requests->pending[request->entry], request);
}

void
oracle_requests_record (oracle_requests_t *requests,
                        oracle_failure_t *verdict,
                        const fake_record_t *record)
{
  request_t *request = g_hash_table_lookup (requests->all, GSIZE_TO_POINTER (record->request));

  if (record->kind == FAKE_SUBMITTED)
    add_request (requests, record);
  if (record->kind == FAKE_SHUTDOWN_FINISHED
      && g_hash_table_size (requests->pending[record->entry]) > 0)
    oracle_fail (verdict, "shutdown", "entry %u left %u requests behind", record->entry,
                 g_hash_table_size (requests->pending[record->entry]));
  if (record->kind == FAKE_STOPPED)
    close_all (requests, record->entry);
  if (request == NULL)
    return;
  if (record->kind == FAKE_DISPATCHED)
    check_dispatch (request, verdict);
  if (record->kind == FAKE_WORK_ENDED && record->ran)
    check_run (request, verdict);
  if (record->kind == FAKE_ATTEMPT_RESULT)
    note_result (request, record->result);
  if (record->kind == FAKE_FINISHED || record->kind == FAKE_REFUSED)
    check_end (requests, request, verdict, record);
}

static void
check_pending (const oracle_requests_t *requests,
               oracle_failure_t *verdict,
               guint entry,
               anvil_time_t now)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, requests->pending[entry]);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const request_t *request = key;

      if (MAX (request->until, requests->awake_since[entry]) + ORACLE_OUTCOME_BOUND < now)
        oracle_fail (verdict, "outcome", "request %" G_GUINT64_FORMAT " has none past its deadline",
                     request->id);
    }
}

void
oracle_requests_sample (oracle_requests_t *requests,
                        oracle_failure_t *verdict,
                        const fake_net_t *net)
{
  for (guint i = 0; i < net->n_entries; i++)
    {
      const fake_entry_t *entry = &net->entries[i];
      guint pending = g_hash_table_size (requests->pending[i]);

      if (!entry->alive || entry->frozen)
        {
          requests->awake_since[i] = fake_net_now (net);
          continue;
        }
      check_pending (requests, verdict, i, fake_net_now (net));
      if (entry->steer != NULL && anvil_steer_request_count (entry->steer) != pending)
        oracle_fail (verdict, "outcome", "entry %u says it has %u requests, it has %u", i,
                     anvil_steer_request_count (entry->steer), pending);
    }
}
