#include <string.h>

#include "steer/claims-internal.h"

static gboolean
is_own (const anvil_claims_t *claims, const claim_key_t *key, const claim_row_t *row)
{
  return claims->options.faults.ignore_nonce || strcmp (row->nonce, key->row.nonce) == 0;
}

/* Queues a write on the condition that the row still has the version that was read. */
static void
write_over (anvil_claims_t *claims, claim_key_t *key, guint64 version)
{
  key->version = version;
  anvil_claim_queue_write (claims, key);
}

static void
resolve_claim (anvil_claims_t *claims,
               anvil_time_t now,
               claim_key_t *key,
               const claim_row_t *row,
               guint64 version)
{
  if (row->state == CLAIM_ROW_RELEASED || claims->options.faults.ignore_record)
    write_over (claims, key, version);
  else if (row->state == CLAIM_ROW_ANSWERED)
    anvil_claim_refuse (claims, key, ANVIL_CLAIM_RECORDED, row->status);
  else if (is_own (claims, key, row))
    {
      key->version = version;
      anvil_claim_confirm (claims, now, key);
    }
  else
    anvil_claim_refuse (claims, key, ANVIL_CLAIM_UNKNOWN, 0);
}

static void
resolve_record (anvil_claims_t *claims, claim_key_t *key, const claim_row_t *row, guint64 version)
{
  if (row->state == CLAIM_ROW_CLAIMED && is_own (claims, key, row))
    write_over (claims, key, version);
  else
    anvil_claim_remove (claims, key);
}

/*
 * A claim whose result is unknown may still arrive and find the version that it
 * expects, in a row that another entry has released. Writing the released row
 * once more changes its version, so that the late claim conflicts.
 */
static void
resolve_release (anvil_claims_t *claims, claim_key_t *key, const claim_row_t *row, guint64 version)
{
  gboolean own = is_own (claims, key, row);
  gboolean claimed = row->state == CLAIM_ROW_CLAIMED && own;
  gboolean claimable = row->state == CLAIM_ROW_RELEASED && !own && key->uncertain;

  if (claimed || (claimable && !claims->options.faults.skip_repeated_release))
    write_over (claims, key, version);
  else
    anvil_claim_remove (claims, key);
}

/* There is no row. A claim whose result is unknown may still arrive; writing a released row makes
 * it conflict. */
static void
resolve_absent (anvil_claims_t *claims, claim_key_t *key)
{
  gboolean done
      = key->goal == CLAIM_GOAL_RECORD || (key->goal == CLAIM_GOAL_RELEASE && !key->uncertain);

  if (done)
    anvil_claim_remove (claims, key);
  else
    write_over (claims, key, 0);
}

static void
resolve_malformed (anvil_claims_t *claims, claim_key_t *key)
{
  if (key->goal == CLAIM_GOAL_CLAIM)
    anvil_claim_refuse (claims, key, ANVIL_CLAIM_UNKNOWN, 0);
  else
    anvil_claim_remove (claims, key);
}

static void
resolve (anvil_claims_t *claims, anvil_time_t now, claim_key_t *key, const anvil_row_t *found)
{
  claim_row_t row;

  key->stage = CLAIM_IDLE;
  if (found == NULL)
    resolve_absent (claims, key);
  else if (!anvil_claim_row_unpack (found->value, &row))
    resolve_malformed (claims, key);
  else if (key->goal == CLAIM_GOAL_CLAIM)
    resolve_claim (claims, now, key, &row, found->version);
  else if (key->goal == CLAIM_GOAL_RECORD)
    resolve_record (claims, key, &row, found->version);
  else
    resolve_release (claims, key, &row, found->version);
}

static const anvil_row_t *
find_row (const anvil_row_t *rows, guint n_rows, const char *row_key)
{
  for (guint i = 0; i < n_rows; i++)
    {
      if (anvil_str_equal (rows[i].key, anvil_str (row_key)))
        return &rows[i];
    }
  return NULL;
}

void
anvil_claims_read_finished (anvil_claims_t *claims,
                            anvil_time_t now,
                            const char *prefix,
                            const anvil_row_t *rows,
                            guint n_rows,
                            gboolean failed)
{
  claim_key_t *key = g_hash_table_lookup (claims->by_row, prefix);

  if (key == NULL || key->stage != CLAIM_READING)
    return;
  claims->n_reads--;
  if (failed)
    {
      anvil_claims_back_off (claims, now);
      anvil_claim_queue_read (claims, key);
    }
  else
    resolve (claims, now, key, find_row (rows, n_rows, prefix));
  anvil_claims_start_due (claims, now);
}
