#include "steer/loan-backoff.h"

#include "anvil/str.h"

void
anvil_loan_backoffs_open (anvil_loan_backoffs_t *backoffs)
{
  backoffs->until = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

void
anvil_loan_backoffs_close (anvil_loan_backoffs_t *backoffs)
{
  g_hash_table_unref (backoffs->until);
}

guint64
anvil_loan_backoff_key (anvil_node_t peer, guint64 resource)
{
  const guint64 key[] = { peer, resource };

  return anvil_str_hash ((anvil_str_t){ .data = (const char *) key, .length = sizeof key });
}

gboolean
anvil_loan_backoff_active (const anvil_loan_backoffs_t *backoffs, anvil_time_t now, guint64 key)
{
  const anvil_time_t *until = g_hash_table_lookup (backoffs->until, &key);

  return until != NULL && now < *until;
}

void
anvil_loan_backoff_set (anvil_loan_backoffs_t *backoffs, guint64 key, anvil_time_t until)
{
  guint64 *stored_key = g_new (guint64, 1);
  anvil_time_t *stored_until = g_new (anvil_time_t, 1);

  *stored_key = key;
  *stored_until = until;
  g_hash_table_replace (backoffs->until, stored_key, stored_until);
}

static gboolean
has_ended (gpointer key, gpointer value, gpointer data)
{
  const anvil_time_t *now = data;

  return *now >= *(const anvil_time_t *) value;
}

void
anvil_loan_backoffs_expire (anvil_loan_backoffs_t *backoffs, anvil_time_t now)
{
  g_hash_table_foreach_remove (backoffs->until, has_ended, &now);
}
