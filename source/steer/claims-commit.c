#include <stdlib.h>
#include <string.h>

#include "steer/claims-internal.h"

static void
take_from (anvil_claims_t *claims, GQueue *queue)
{
  while (claims->n_batch < CLAIMS_MAX_BATCH && !g_queue_is_empty (queue))
    {
      claim_key_t *key = g_queue_pop_head (queue);

      key->place = CLAIM_WRITING;
      key->written = key->want;
      claims->batch[claims->n_batch++] = key;
    }
}

static char *
value_of (const anvil_claims_t *claims, const claim_key_t *key)
{
  if (key->want == CLAIM_WANT_RELEASE && claims->options.faults.delete_released)
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

  take_from (claims, &claims->to_write);
  take_from (claims, &claims->to_end);
  claims->next_end = 0;
  n_rows = claims->n_batch;
  claims->next_write = now + claims->wait;
  for (guint i = 0; i < n_rows; i++)
    {
      const claim_key_t *key = claims->batch[i];

      /* The answer may come from inside the action and free the key. */
      keys[i] = g_strdup (key->row_key);
      conditions[i] = (anvil_row_t){ .key = anvil_str (keys[i]), .version = key->version };
      writes[i] = (anvil_row_t){ .key = anvil_str (keys[i]),
                                 .value = anvil_str (value_of (claims, key)) };
    }
  claims->actions.commit (claims->context, conditions, n_rows, writes, n_rows);
  for (guint i = 0; i < n_rows; i++)
    {
      free ((char *) writes[i].value.data);
      g_free (keys[i]);
    }
}

static void
start_reads (anvil_claims_t *claims, anvil_time_t now)
{
  while (now >= claims->next_read && claims->n_reads < CLAIMS_MAX_READS
         && !g_queue_is_empty (&claims->to_read))
    {
      claim_key_t *key = g_queue_pop_head (&claims->to_read);
      char *prefix = g_strdup (key->row_key);

      key->place = CLAIM_READING;
      claims->n_reads++;
      claims->actions.read (claims->context, prefix);
      g_free (prefix);
    }
}

static gboolean
commit_is_due (const anvil_claims_t *claims, anvil_time_t now)
{
  if (claims->n_batch > 0)
    return FALSE;
  if (now < claims->next_write && !claims->options.faults.ignore_interval)
    return FALSE;
  return claims->to_write.length > 0 || (claims->next_end != 0 && now >= claims->next_end);
}

void
anvil_claims_pump (anvil_claims_t *claims, anvil_time_t now)
{
  if (claims->next_end == 0 && claims->to_end.length > 0)
    claims->next_end = now + CLAIMS_END_DELAY;
  if (commit_is_due (claims, now))
    commit (claims, now);
  start_reads (claims, now);
}

void
anvil_claims_back_off (anvil_claims_t *claims, anvil_time_t now)
{
  claims->wait = MIN (2 * claims->wait, MAX (CLAIMS_MAX_INTERVAL, claims->options.commit_interval));
  claims->next_write = MAX (claims->next_write, now + claims->wait);
  claims->next_read = now + claims->wait;
}

static void
written (anvil_claims_t *claims, anvil_time_t now, claim_key_t *key)
{
  if (key->written != CLAIM_WANT_CLAIM)
    {
      anvil_claim_forget (claims, key);
      return;
    }
  /* True unless the row was deleted once; then the next write conflicts and is read back. */
  key->version++;
  anvil_claim_hold (claims, now, key);
}

static void
not_written (anvil_claims_t *claims, claim_key_t *key)
{
  key->place = CLAIM_IDLE;
  if (key->want == CLAIM_WANT_RELEASE && key->written == CLAIM_WANT_CLAIM && !key->uncertain)
    anvil_claim_forget (claims, key);
  else
    anvil_claim_queue_write (claims, key);
}

static void
settle (anvil_claims_t *claims, anvil_time_t now, claim_key_t *key, anvil_commit_result_t result)
{
  switch (result)
    {
    case ANVIL_COMMIT_DONE:
      written (claims, now, key);
      break;
    case ANVIL_COMMIT_NOT_DONE:
      not_written (claims, key);
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

/* What a test's broken variant takes the result for. */
static anvil_commit_result_t
believed (const anvil_claims_faults_t *faults, anvil_commit_result_t result)
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
    claims->wait = claims->options.commit_interval;
  else
    anvil_claims_back_off (claims, now);
  for (guint i = 0; i < n_batch; i++)
    settle (claims, now, batch[i], believed (&claims->options.faults, result));
  anvil_claims_pump (claims, now);
}
