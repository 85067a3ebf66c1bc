#include "anvil/claims.h"

#include "steer/claims-internal.h"

static void
key_free (gpointer data)
{
  claim_key_t *key = data;

  g_free (key->row_key);
  g_free (key);
}

anvil_claims_t *
anvil_claims_new (const anvil_claims_options_t *options,
                  const anvil_claims_callbacks_t *actions,
                  void *context)
{
  anvil_claims_t *claims = g_new0 (anvil_claims_t, 1);

  claims->options = *options;
  claims->actions = *actions;
  claims->context = context;
  claims->wait = options->commit_interval;
  claims->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  claims->by_row = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, key_free);
  return claims;
}

void
anvil_claims_drop (anvil_claims_t *claims)
{
  if (claims == NULL)
    return;
  g_queue_clear (&claims->to_write);
  g_queue_clear (&claims->to_end);
  g_queue_clear (&claims->to_read);
  g_hash_table_unref (claims->by_id);
  g_hash_table_unref (claims->by_row);
  g_free (claims);
}

void
anvil_claim_queue_write (anvil_claims_t *claims, claim_key_t *key)
{
  key->place = CLAIM_TO_WRITE;
  g_queue_push_tail (key->want == CLAIM_WANT_CLAIM ? &claims->to_write : &claims->to_end, key);
}

void
anvil_claim_queue_read (anvil_claims_t *claims, claim_key_t *key)
{
  key->place = CLAIM_TO_READ;
  g_queue_push_tail (&claims->to_read, key);
}

/* The request has its verdict, or its end; its id may be used again. */
static void
release_id (anvil_claims_t *claims, claim_key_t *key)
{
  if (g_hash_table_lookup (claims->by_id, &key->id) == key)
    g_hash_table_remove (claims->by_id, &key->id);
}

void
anvil_claim_forget (anvil_claims_t *claims, claim_key_t *key)
{
  if (key->place == CLAIM_TO_WRITE && !g_queue_remove (&claims->to_write, key))
    g_queue_remove (&claims->to_end, key);
  if (key->place == CLAIM_TO_READ)
    g_queue_remove (&claims->to_read, key);
  release_id (claims, key);
  g_hash_table_remove (claims->by_row, key->row_key);
}

static void
want_release (anvil_claims_t *claims, claim_key_t *key)
{
  release_id (claims, key);
  key->want = CLAIM_WANT_RELEASE;
  key->row.state = CLAIM_ROW_RELEASED;
}

void
anvil_claim_abandon (anvil_claims_t *claims, claim_key_t *key)
{
  gboolean under_way = key->place == CLAIM_WRITING || key->place == CLAIM_READING;

  want_release (claims, key);
  if (under_way || (key->uncertain && !claims->options.faults.forget_abandoned))
    return;
  anvil_claim_forget (claims, key);
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
    anvil_claim_forget (claims, key);
  claims->actions.decided (claims->context, id, verdict, status);
}

void
anvil_claim_hold (anvil_claims_t *claims, anvil_time_t now, claim_key_t *key)
{
  gboolean late = now >= key->deadline && !claims->options.faults.ignore_deadline;
  gboolean wanted = key->want == CLAIM_WANT_CLAIM;

  key->place = CLAIM_IDLE;
  key->uncertain = TRUE;
  if (wanted && !late)
    {
      key->want = CLAIM_WANT_HELD;
      claims->actions.decided (claims->context, key->id, ANVIL_CLAIM_RUN, 0);
      return;
    }
  want_release (claims, key);
  anvil_claim_queue_write (claims, key);
  if (wanted)
    claims->actions.decided (claims->context, key->id, ANVIL_CLAIM_UNAVAILABLE, 0);
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
  key->want = CLAIM_WANT_CLAIM;
  key->deadline = claim->deadline;
  key->row.state = CLAIM_ROW_CLAIMED;
  key->row.until = claim->expires_at_s;
  g_snprintf (key->row.nonce, sizeof key->row.nonce,
              "%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x",
              claims->options.node, claims->options.incarnation, ++claims->nonces);
  g_hash_table_insert (claims->by_row, key->row_key, key);
  g_hash_table_insert (claims->by_id, &key->id, key);
  return key;
}

/* A repeat of a key that this entry has under way. */
static void
decide_repeat (anvil_claims_t *claims, const claim_key_t *first, guint64 id)
{
  anvil_claim_verdict_t verdict = ANVIL_CLAIM_UNKNOWN;
  gint status = 0;

  if (first->want == CLAIM_WANT_RELEASE)
    verdict = ANVIL_CLAIM_UNAVAILABLE;
  if (first->want == CLAIM_WANT_RECORD)
    {
      verdict = ANVIL_CLAIM_RECORDED;
      status = first->row.status;
    }
  claims->actions.decided (claims->context, id, verdict, status);
}

void
anvil_claims_submit (anvil_claims_t *claims, anvil_time_t now, const anvil_claim_t *claim)
{
  const claim_key_t *first;
  char *row_key;

  if (!claim_valid (claims, claim))
    {
      claims->actions.decided (claims->context, claim->id, ANVIL_CLAIM_UNAVAILABLE, 0);
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
  anvil_claims_pump (claims, now);
}

void
anvil_claims_cancel (anvil_claims_t *claims, anvil_time_t now, guint64 id)
{
  claim_key_t *key = g_hash_table_lookup (claims->by_id, &id);

  if (key == NULL || key->want != CLAIM_WANT_CLAIM)
    return;
  anvil_claim_abandon (claims, key);
  anvil_claims_pump (claims, now);
}

void
anvil_claims_finished (
    anvil_claims_t *claims, anvil_time_t now, guint64 id, anvil_claim_outcome_t end, gint status)
{
  const anvil_claims_faults_t *faults = &claims->options.faults;
  claim_key_t *key = g_hash_table_lookup (claims->by_id, &id);

  if (key == NULL || key->want != CLAIM_WANT_HELD)
    return;
  release_id (claims, key);
  if (end == ANVIL_CLAIM_OUTCOME_UNKNOWN && !faults->release_lost)
    {
      anvil_claim_forget (claims, key);
      return;
    }
  if (end == ANVIL_CLAIM_OUTCOME_ANSWERED && faults->forget_outcome)
    {
      anvil_claim_forget (claims, key);
      return;
    }
  key->want = end == ANVIL_CLAIM_OUTCOME_ANSWERED ? CLAIM_WANT_RECORD : CLAIM_WANT_RELEASE;
  key->row.state = end == ANVIL_CLAIM_OUTCOME_ANSWERED ? CLAIM_ROW_ANSWERED : CLAIM_ROW_RELEASED;
  key->row.status = status;
  anvil_claim_queue_write (claims, key);
  anvil_claims_pump (claims, now);
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

      if (key->want == CLAIM_WANT_CLAIM && now >= key->deadline)
        g_array_append_val (ids, key->id);
    }
  /* A verdict may cancel another request, so each is looked up again. */
  for (guint i = 0; i < ids->len; i++)
    {
      claim_key_t *key = g_hash_table_lookup (claims->by_id, &g_array_index (ids, guint64, i));

      if (key != NULL && key->want == CLAIM_WANT_CLAIM)
        anvil_claim_refuse (claims, key, ANVIL_CLAIM_UNAVAILABLE, 0);
    }
  g_array_unref (ids);
}

void
anvil_claims_tick (anvil_claims_t *claims, anvil_time_t now)
{
  if (!claims->options.faults.ignore_deadline)
    expire (claims, now);
  anvil_claims_pump (claims, now);
}

anvil_time_t
anvil_claims_next_tick (const anvil_claims_t *claims)
{
  anvil_time_t due = G_MAXINT64;
  GHashTableIter iter;
  gpointer value;

  if (claims->n_batch == 0 && !g_queue_is_empty ((GQueue *) &claims->to_write))
    due = claims->next_write;
  else if (claims->n_batch == 0 && claims->next_end != 0)
    due = MAX (claims->next_write, claims->next_end);
  if (claims->n_reads < CLAIMS_MAX_READS && !g_queue_is_empty ((GQueue *) &claims->to_read))
    due = MIN (due, claims->next_read);
  g_hash_table_iter_init (&iter, claims->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const claim_key_t *key = value;

      if (key->want == CLAIM_WANT_CLAIM)
        due = MIN (due, key->deadline);
    }
  return due;
}

guint
anvil_claims_pending (const anvil_claims_t *claims)
{
  return g_hash_table_size (claims->by_row);
}
