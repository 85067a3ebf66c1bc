#include <stdlib.h>
#include <string.h>

#include "steer/claims-internal.h"

static void
move_to_batch (anvil_claims_t *claims, GQueue *queue)
{
  while (claims->n_batch < CLAIMS_MAX_BATCH && !g_queue_is_empty (queue))
    {
      claim_key_t *key = g_queue_pop_head (queue);

      key->stage = CLAIM_WRITING;
      key->written = key->goal;
      claims->batch[claims->n_batch++] = key;
    }
}

static char *
row_value (const anvil_claims_t *claims, const claim_key_t *key)
{
  if (key->goal == CLAIM_GOAL_RELEASE && claims->options.faults.delete_released)
    return NULL;
  return anvil_claim_row_pack (&key->row);
}

static void
commit (anvil_claims_t *claims, anvil_time_t now)
{
  anvil_row_t conditions[CLAIMS_MAX_BATCH] = { 0 };
  anvil_row_t writes[CLAIMS_MAX_BATCH] = { 0 };
  char *keys[CLAIMS_MAX_BATCH];
  guint n_rows;

  move_to_batch (claims, &claims->claim_queue);
  move_to_batch (claims, &claims->finish_queue);
  claims->finish_commit_at = 0;
  n_rows = claims->n_batch;
  claims->next_commit_at = now + claims->interval;
  for (guint i = 0; i < n_rows; i++)
    {
      const claim_key_t *key = claims->batch[i];

      /* The result may be passed in from inside the callback and free the key. */
      keys[i] = g_strdup (key->row_key);
      conditions[i] = (anvil_row_t){ .key = anvil_str (keys[i]), .version = key->version };
      writes[i] = (anvil_row_t){ .key = anvil_str (keys[i]),
                                 .value = anvil_str (row_value (claims, key)) };
    }
  claims->callbacks.commit (claims->context, conditions, n_rows, writes, n_rows);
  for (guint i = 0; i < n_rows; i++)
    {
      free ((char *) writes[i].value.data);
      g_free (keys[i]);
    }
}

static void
start_reads (anvil_claims_t *claims, anvil_time_t now)
{
  while (now >= claims->next_read_at && claims->n_reads < CLAIMS_MAX_READS
         && !g_queue_is_empty (&claims->read_queue))
    {
      claim_key_t *key = g_queue_pop_head (&claims->read_queue);
      char *prefix = g_strdup (key->row_key);

      key->stage = CLAIM_READING;
      claims->n_reads++;
      claims->callbacks.read (claims->context, prefix);
      g_free (prefix);
    }
}

static gboolean
commit_is_due (const anvil_claims_t *claims, anvil_time_t now)
{
  if (claims->n_batch > 0)
    return FALSE;
  if (now < claims->next_commit_at && !claims->options.faults.ignore_interval)
    return FALSE;
  return claims->claim_queue.length > 0
         || (claims->finish_commit_at != 0 && now >= claims->finish_commit_at);
}

void
anvil_claims_start_due (anvil_claims_t *claims, anvil_time_t now)
{
  if (claims->finish_commit_at == 0 && claims->finish_queue.length > 0)
    claims->finish_commit_at = now + CLAIMS_FINISH_DELAY;
  if (commit_is_due (claims, now))
    commit (claims, now);
  start_reads (claims, now);
}

void
anvil_claims_back_off (anvil_claims_t *claims, anvil_time_t now)
{
  claims->interval
      = MIN (2 * claims->interval, MAX (CLAIMS_MAX_INTERVAL, claims->options.commit_interval));
  claims->next_commit_at = MAX (claims->next_commit_at, now + claims->interval);
  claims->next_read_at = now + claims->interval;
}

static void
write_done (anvil_claims_t *claims, anvil_time_t now, claim_key_t *key)
{
  if (key->written != CLAIM_GOAL_CLAIM)
    {
      anvil_claim_remove (claims, key);
      return;
    }
  /* Wrong only if the row was ever deleted; the next write then conflicts and the row is read. */
  key->version++;
  anvil_claim_confirm (claims, now, key);
}

static void
write_not_done (anvil_claims_t *claims, claim_key_t *key)
{
  key->stage = CLAIM_IDLE;
  if (key->goal == CLAIM_GOAL_RELEASE && key->written == CLAIM_GOAL_CLAIM && !key->uncertain)
    anvil_claim_remove (claims, key);
  else
    anvil_claim_queue_write (claims, key);
}

static void
apply_result (anvil_claims_t *claims,
              anvil_time_t now,
              claim_key_t *key,
              anvil_commit_result_t result)
{
  switch (result)
    {
    case ANVIL_COMMIT_DONE:
      write_done (claims, now, key);
      break;
    case ANVIL_COMMIT_NOT_DONE:
      write_not_done (claims, key);
      break;
    case ANVIL_COMMIT_UNKNOWN:
      key->uncertain = TRUE;
      anvil_claim_queue_read (claims, key);
      break;
    case ANVIL_COMMIT_CONFLICT:
      anvil_claim_queue_read (claims, key);
      break;
    }
}

/* The result, or what a variant that is broken for a test takes it for. */
static anvil_commit_result_t
faulty_result (const anvil_claims_faults_t *faults, anvil_commit_result_t result)
{
  if (result == ANVIL_COMMIT_CONFLICT && faults->ignore_conflict)
    return ANVIL_COMMIT_DONE;
  if (result == ANVIL_COMMIT_UNKNOWN && faults->ignore_lost_answer)
    return ANVIL_COMMIT_NOT_DONE;
  return result;
}

void
anvil_claims_commit_finished (anvil_claims_t *claims,
                              anvil_time_t now,
                              anvil_commit_result_t result)
{
  claim_key_t *batch[CLAIMS_MAX_BATCH];
  guint n_batch = claims->n_batch;

  memcpy (batch, claims->batch, n_batch * sizeof *batch);
  claims->n_batch = 0;
  if (result == ANVIL_COMMIT_DONE || result == ANVIL_COMMIT_CONFLICT)
    claims->interval = claims->options.commit_interval;
  else
    anvil_claims_back_off (claims, now);
  for (guint i = 0; i < n_batch; i++)
    apply_result (claims, now, batch[i], faulty_result (&claims->options.faults, result));
  anvil_claims_start_due (claims, now);
}
