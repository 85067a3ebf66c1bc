#include "steer/loan-backoff.h"

#include "anvil/str.h"

void
anvil_loan_backoffs_init (anvil_loan_backoffs_t *pauses)
{
  pauses->until = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

void
anvil_loan_backoffs_clear (anvil_loan_backoffs_t *pauses)
{
  g_hash_table_unref (pauses->until);
}

guint64
anvil_loan_backoff_key (anvil_node_t peer, guint64 what)
{
  const guint64 key[] = { peer, what };

  return anvil_str_hash ((anvil_str_t){ .data = (const char *) key, .length = sizeof key });
}

gboolean
anvil_loan_backoff_active (const anvil_loan_backoffs_t *pauses, anvil_time_t now, guint64 key)
{
  const anvil_time_t *until = g_hash_table_lookup (pauses->until, &key);

  return until != NULL && now < *until;
}

void
anvil_loan_backoff_set (anvil_loan_backoffs_t *pauses, guint64 key, anvil_time_t until)
{
  guint64 *stored_key = g_new (guint64, 1);
  anvil_time_t *stored = g_new (anvil_time_t, 1);

  *stored_key = key;
  *stored = until;
  g_hash_table_replace (pauses->until, stored_key, stored);
}

static gboolean
is_over (gpointer key, gpointer value, gpointer data)
{
  const anvil_time_t *now = data;

  return *now >= *(const anvil_time_t *) value;
}

void
anvil_loan_backoffs_expire (anvil_loan_backoffs_t *pauses, anvil_time_t now)
{
  g_hash_table_foreach_remove (pauses->until, is_over, &now);
}
