#include "anvil/claims.h"

#include "steer/claims-internal.h"

static void
key_drop (gpointer data)
{
  claim_key_t *key = data;

  g_free (key->row_key);
  g_free (key);
}

anvil_claims_t *
anvil_claims_new (const anvil_claims_options_t *options,
                  const anvil_claims_callbacks_t *callbacks,
                  void *context)
{
  anvil_claims_t *claims = g_new0 (anvil_claims_t, 1);

  claims->options = *options;
  claims->callbacks = *callbacks;
  claims->context = context;
  claims->interval = options->commit_interval;
  claims->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  claims->by_row = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, key_drop);
  return claims;
}

void
anvil_claims_drop (anvil_claims_t *claims)
{
  if (claims == NULL)
    return;
  g_queue_clear (&claims->claim_queue);
  g_queue_clear (&claims->finish_queue);
  g_queue_clear (&claims->read_queue);
  g_hash_table_unref (claims->by_id);
  g_hash_table_unref (claims->by_row);
  g_free (claims);
}

void
anvil_claim_queue_write (anvil_claims_t *claims, claim_key_t *key)
{
  key->stage = CLAIM_WRITE_QUEUED;
  g_queue_push_tail (key->goal == CLAIM_GOAL_CLAIM ? &claims->claim_queue : &claims->finish_queue,
                     key);
}

void
anvil_claim_queue_read (anvil_claims_t *claims, claim_key_t *key)
{
  key->stage = CLAIM_READ_QUEUED;
  g_queue_push_tail (&claims->read_queue, key);
}

/* Detaches a key from its request, which won't run or has ended; the id may be used again. */
static void
release_id (anvil_claims_t *claims, claim_key_t *key)
{
  if (g_hash_table_lookup (claims->by_id, &key->id) == key)
    g_hash_table_remove (claims->by_id, &key->id);
}

void
anvil_claim_remove (anvil_claims_t *claims, claim_key_t *key)
{
  if (key->stage == CLAIM_WRITE_QUEUED && !g_queue_remove (&claims->claim_queue, key))
    g_queue_remove (&claims->finish_queue, key);
  if (key->stage == CLAIM_READ_QUEUED)
    g_queue_remove (&claims->read_queue, key);
  release_id (claims, key);
  g_hash_table_remove (claims->by_row, key->row_key);
}

static void
set_goal_release (anvil_claims_t *claims, claim_key_t *key)
{
  release_id (claims, key);
  key->goal = CLAIM_GOAL_RELEASE;
  key->row.state = CLAIM_ROW_RELEASED;
}

void
anvil_claim_abandon (anvil_claims_t *claims, claim_key_t *key)
{
  gboolean in_progress = key->stage == CLAIM_WRITING || key->stage == CLAIM_READING;

  set_goal_release (claims, key);
  if (in_progress || (key->uncertain && !claims->options.faults.skip_abandoned_release))
    return;
  anvil_claim_remove (claims, key);
}

void
anvil_claim_refuse (anvil_claims_t *claims,
                    claim_key_t *key,
                    anvil_claim_verdict_t verdict,
                    gint status)
{
  guint64 id = key->id;

  if (verdict == ANVIL_CLAIM_UNAVAILABLE)
    anvil_claim_abandon (claims, key);
  else
    anvil_claim_remove (claims, key);
  claims->callbacks.decided (claims->context, id, verdict, status);
}

void
anvil_claim_confirm (anvil_claims_t *claims, anvil_time_t now, claim_key_t *key)
{
  gboolean late = now >= key->deadline && !claims->options.faults.ignore_deadline;
  gboolean waiting = key->goal == CLAIM_GOAL_CLAIM;

  key->stage = CLAIM_IDLE;
  key->uncertain = TRUE;
  if (waiting && !late)
    {
      key->goal = CLAIM_GOAL_HOLD;
      claims->callbacks.decided (claims->context, key->id, ANVIL_CLAIM_RUN, 0);
      return;
    }
  set_goal_release (claims, key);
  anvil_claim_queue_write (claims, key);
  if (waiting)
    claims->callbacks.decided (claims->context, key->id, ANVIL_CLAIM_UNAVAILABLE, 0);
}

static gboolean
claim_valid (const anvil_claims_t *claims, const anvil_claim_t *claim)
{
  return claim->key.length > 0 && claim->key.length <= ANVIL_CLAIM_MAX_KEY
         && g_hash_table_size (claims->by_row) < CLAIMS_MAX_KEYS;
}

static claim_key_t *
key_new (anvil_claims_t *claims, const anvil_claim_t *claim, char *row_key)
{
  claim_key_t *key = g_new0 (claim_key_t, 1);

  key->id = claim->id;
  key->row_key = row_key;
  key->goal = CLAIM_GOAL_CLAIM;
  key->deadline = claim->deadline;
  key->row.state = CLAIM_ROW_CLAIMED;
  key->row.expires_at_s = claim->expires_at_s;
  g_snprintf (key->row.nonce, sizeof key->row.nonce,
              "%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x",
              claims->options.node, claims->options.incarnation, ++claims->last_nonce);
  g_hash_table_insert (claims->by_row, key->row_key, key);
  g_hash_table_insert (claims->by_id, &key->id, key);
  return key;
}

/* Decides a request whose key an earlier request of this entry has in progress. */
static void
decide_repeat (anvil_claims_t *claims, const claim_key_t *first, guint64 id)
{
  anvil_claim_verdict_t verdict = ANVIL_CLAIM_UNKNOWN;
  gint status = 0;

  if (first->goal == CLAIM_GOAL_RELEASE)
    verdict = ANVIL_CLAIM_UNAVAILABLE;
  if (first->goal == CLAIM_GOAL_RECORD)
    {
      verdict = ANVIL_CLAIM_RECORDED;
      status = first->row.status;
    }
  claims->callbacks.decided (claims->context, id, verdict, status);
}

void
anvil_claims_submit (anvil_claims_t *claims, anvil_time_t now, const anvil_claim_t *claim)
{
  const claim_key_t *first;
  char *row_key;

  if (!claim_valid (claims, claim))
    {
      claims->callbacks.decided (claims->context, claim->id, ANVIL_CLAIM_UNAVAILABLE, 0);
      return;
    }
  row_key = anvil_claim_row_key (claim->service, claim->key);
  first = g_hash_table_lookup (claims->by_row, row_key);
  if (first != NULL)
    {
      g_free (row_key);
      decide_repeat (claims, first, claim->id);
      return;
    }
  anvil_claim_queue_write (claims, key_new (claims, claim, row_key));
  anvil_claims_start_due (claims, now);
}

void
anvil_claims_cancel (anvil_claims_t *claims, anvil_time_t now, guint64 id)
{
  claim_key_t *key = g_hash_table_lookup (claims->by_id, &id);

  if (key == NULL || key->goal != CLAIM_GOAL_CLAIM)
    return;
  anvil_claim_abandon (claims, key);
  anvil_claims_start_due (claims, now);
}

void
anvil_claims_finished (anvil_claims_t *claims,
                       anvil_time_t now,
                       guint64 id,
                       anvil_claim_outcome_t outcome,
                       gint status)
{
  const anvil_claims_faults_t *faults = &claims->options.faults;
  claim_key_t *key = g_hash_table_lookup (claims->by_id, &id);

  if (key == NULL || key->goal != CLAIM_GOAL_HOLD)
    return;
  release_id (claims, key);
  if (outcome == ANVIL_CLAIM_OUTCOME_UNKNOWN && !faults->release_unknown)
    {
      anvil_claim_remove (claims, key);
      return;
    }
  if (outcome == ANVIL_CLAIM_OUTCOME_ANSWERED && faults->skip_outcome_record)
    {
      anvil_claim_remove (claims, key);
      return;
    }
  key->goal = outcome == ANVIL_CLAIM_OUTCOME_ANSWERED ? CLAIM_GOAL_RECORD : CLAIM_GOAL_RELEASE;
  key->row.state
      = outcome == ANVIL_CLAIM_OUTCOME_ANSWERED ? CLAIM_ROW_ANSWERED : CLAIM_ROW_RELEASED;
  key->row.status = status;
  anvil_claim_queue_write (claims, key);
  anvil_claims_start_due (claims, now);
}

static void
expire (anvil_claims_t *claims, anvil_time_t now)
{
  GArray *ids = g_array_new (FALSE, FALSE, sizeof (guint64));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, claims->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const claim_key_t *key = value;

      if (key->goal == CLAIM_GOAL_CLAIM && now >= key->deadline)
        g_array_append_val (ids, key->id);
    }
  /* The decided callback may cancel other requests, so each key is looked up again. */
  for (guint i = 0; i < ids->len; i++)
    {
      claim_key_t *key = g_hash_table_lookup (claims->by_id, &g_array_index (ids, guint64, i));

      if (key != NULL && key->goal == CLAIM_GOAL_CLAIM)
        anvil_claim_refuse (claims, key, ANVIL_CLAIM_UNAVAILABLE, 0);
    }
  g_array_unref (ids);
}

void
anvil_claims_tick (anvil_claims_t *claims, anvil_time_t now)
{
  if (!claims->options.faults.ignore_deadline)
    expire (claims, now);
  anvil_claims_start_due (claims, now);
}

anvil_time_t
anvil_claims_next_tick (const anvil_claims_t *claims)
{
  anvil_time_t due = G_MAXINT64;
  GHashTableIter iter;
  gpointer value;

  if (claims->n_batch == 0 && !g_queue_is_empty ((GQueue *) &claims->claim_queue))
    due = claims->next_commit_at;
  else if (claims->n_batch == 0 && claims->finish_commit_at != 0)
    due = MAX (claims->next_commit_at, claims->finish_commit_at);
  if (claims->n_reads < CLAIMS_MAX_READS && !g_queue_is_empty ((GQueue *) &claims->read_queue))
    due = MIN (due, claims->next_read_at);
  g_hash_table_iter_init (&iter, claims->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const claim_key_t *key = value;

      if (key->goal == CLAIM_GOAL_CLAIM)
        due = MIN (due, key->deadline);
    }
  return due;
}

guint
anvil_claims_pending (const anvil_claims_t *claims)
{
  return g_hash_table_size (claims->by_row);
}
