#include <string.h>

#include "steer/claims-internal.h"

static gboolean
is_own (const anvil_claims_t *claims, const claim_key_t *key, const claim_row_t *row)
{
  return claims->options.faults.ignore_nonce || strcmp (row->nonce, key->row.nonce) == 0;
}

/* Writes with the condition that the row is as it was read. */
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
      anvil_claim_hold (claims, now, key);
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
    anvil_claim_forget (claims, key);
}

/*
 * A claim that was lost on the way may still land on a row that another entry
 * released; releasing that again keeps it out.
 */
static void
resolve_release (anvil_claims_t *claims, claim_key_t *key, const claim_row_t *row, guint64 version)
{
  gboolean own = is_own (claims, key, row);
  gboolean claimed = row->state == CLAIM_ROW_CLAIMED && own;
  gboolean open = row->state == CLAIM_ROW_RELEASED && !own && key->uncertain;

  if (claimed || (open && !claims->options.faults.ignore_overtaken))
    write_over (claims, key, version);
  else
    anvil_claim_forget (claims, key);
}

/* No row: a claim that was lost on the way may still land, and a released row keeps it out. */
static void
resolve_absent (anvil_claims_t *claims, claim_key_t *key)
{
  gboolean done
      = key->want == CLAIM_WANT_RECORD || (key->want == CLAIM_WANT_RELEASE && !key->uncertain);

  if (done)
    anvil_claim_forget (claims, key);
  else
    write_over (claims, key, 0);
}

static void
resolve_malformed (anvil_claims_t *claims, claim_key_t *key)
{
  if (key->want == CLAIM_WANT_CLAIM)
    anvil_claim_refuse (claims, key, ANVIL_CLAIM_UNKNOWN, 0);
  else
    anvil_claim_forget (claims, key);
}

static void
resolve (anvil_claims_t *claims, anvil_time_t now, claim_key_t *key, const anvil_row_t *found)
{
  claim_row_t row;

  key->place = CLAIM_IDLE;
  if (found == NULL)
    resolve_absent (claims, key);
  else if (!anvil_claim_row_unpack (found->value, &row))
    resolve_malformed (claims, key);
  else if (key->want == CLAIM_WANT_CLAIM)
    resolve_claim (claims, now, key, &row, found->version);
  else if (key->want == CLAIM_WANT_RECORD)
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

  if (key == NULL || key->place != CLAIM_READING)
    return;
  claims->n_reads--;
  if (failed)
    {
      anvil_claims_back_off (claims, now);
      anvil_claim_queue_read (claims, key);
    }
  else
    resolve (claims, now, key, find_row (rows, n_rows, prefix));
  anvil_claims_pump (claims, now);
}
