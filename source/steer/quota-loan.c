#include "steer/quota-loan-internal.h"

#include <math.h>

/* Time constant of a tenant's demand: long enough to see a few requests at the rates for which
 * tokens are requested ahead. */
#define DEMAND_TIME (500 * ANVIL_MS)
/* Requests that a tenant may make at least in that time. */
#define MIN_FALLBACK_REQUESTS 2
/* Times that refused callers are told are spread over this time. */
#define RETRY_SPREAD (2 * ANVIL_SECOND)
#define NO_COUNTER_RETRY_AFTER (200 * ANVIL_MS)

static void
tenant_free (gpointer data)
{
  quota_tenant_t *tenant = data;

  g_queue_clear (&tenant->waiting);
  g_free (tenant->name);
  g_free (tenant);
}

anvil_quota_loans_t *
anvil_quota_loans_new (const anvil_quota_loans_callbacks_t *callbacks, void *context)
{
  anvil_quota_loans_t *loans = g_new0 (anvil_quota_loans_t, 1);

  loans->callbacks = *callbacks;
  loans->context = context;
  loans->tenants = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, tenant_free);
  loans->waiting
      = g_hash_table_new_full (anvil_task_id_hash, anvil_task_id_equal, NULL, quota_waiting_free);
  loans->with_waiting = g_hash_table_new (NULL, NULL);
  loans->paid = g_hash_table_new_full (anvil_task_id_hash, anvil_task_id_equal, NULL, g_free);
  return loans;
}

void
anvil_quota_loans_drop (anvil_quota_loans_t *loans)
{
  if (loans == NULL)
    return;
  g_hash_table_unref (loans->waiting);
  g_hash_table_unref (loans->with_waiting);
  g_hash_table_unref (loans->paid);
  g_hash_table_unref (loans->tenants);
  g_free (loans);
}

void
anvil_quota_loans_set_window (anvil_quota_loans_t *loans, anvil_time_t window)
{
  loans->window = window;
}

quota_tenant_t *
quota_find_tenant (const anvil_quota_loans_t *loans, anvil_str_t name)
{
  char *text = anvil_str_dup (name);
  quota_tenant_t *tenant = g_hash_table_lookup (loans->tenants, text);

  g_free (text);
  return tenant;
}

static quota_tenant_t *
get_tenant (anvil_quota_loans_t *loans, anvil_time_t now, anvil_str_t name)
{
  quota_tenant_t *tenant = quota_find_tenant (loans, name);

  if (tenant != NULL)
    return tenant;
  tenant = g_new0 (quota_tenant_t, 1);
  tenant->name = anvil_str_dup (name);
  tenant->use_share = ANVIL_QUOTA_FULL_SHARE;
  tenant->demand_at = now;
  g_queue_init (&tenant->waiting);
  g_hash_table_insert (loans->tenants, tenant->name, tenant);
  return tenant;
}

static void
record_demand (quota_tenant_t *tenant, anvil_time_t now)
{
  tenant->demand *= exp (-(gdouble) (now - tenant->demand_at) / DEMAND_TIME);
  tenant->demand += 1;
  tenant->demand_at = now;
}

/* Tokens that are expected to be used in a time. */
gdouble
quota_expected_demand (const quota_tenant_t *tenant, anvil_time_t now, anvil_time_t time)
{
  gdouble recent = tenant->demand * exp (-(gdouble) (now - tenant->demand_at) / DEMAND_TIME);

  return recent * (gdouble) time / DEMAND_TIME;
}

/* Tokens in loans that last until @until. */
guint
quota_tokens_until (const quota_tenant_t *tenant, anvil_time_t until)
{
  guint n = 0;

  for (guint i = 0; i < tenant->n_loans; i++)
    n += tenant->loans[i].ends_at > until ? tenant->loans[i].tokens : 0;
  return n;
}

void
quota_drop_ended_loans (quota_tenant_t *tenant, anvil_time_t now)
{
  guint kept = 0;

  for (guint i = 0; i < tenant->n_loans; i++)
    {
      if (tenant->loans[i].ends_at > now && tenant->loans[i].tokens > 0)
        tenant->loans[kept++] = tenant->loans[i];
    }
  tenant->n_loans = kept;
}

void
quota_add_loan (quota_tenant_t *tenant, const loan_t *loan)
{
  loan_t *last;

  if (tenant->n_loans < MAX_LOANS)
    {
      tenant->loans[tenant->n_loans++] = *loan;
      return;
    }
  last = &tenant->loans[MAX_LOANS - 1];
  last->tokens += loan->tokens;
  last->ends_at = MIN (last->ends_at, loan->ends_at);
  last->elsewhere |= loan->elsewhere;
}

/* Takes a token of the loan that ends first. */
static gboolean
take_token (quota_tenant_t *tenant, anvil_time_t now, loan_t *from)
{
  loan_t *first = NULL;

  quota_drop_ended_loans (tenant, now);
  for (guint i = 0; i < tenant->n_loans; i++)
    {
      if (first == NULL || tenant->loans[i].ends_at < first->ends_at)
        first = &tenant->loans[i];
    }
  if (first == NULL)
    return FALSE;
  first->tokens--;
  *from = *first;
  from->tokens = 1;
  return TRUE;
}

/* Part of a fallback's requests that is allowed by now. */
static gboolean
fallback_allows (const quota_tenant_t *tenant, anvil_time_t now)
{
  anvil_time_t since = now - tenant->fallback_since;
  gdouble allowed = tenant->fallback_rate * (gdouble) since / ANVIL_SECOND;

  return tenant->fallback_since > 0 && since <= FALLBACK_TIME
         && tenant->fallback_used + 1 <= MAX (allowed, MIN_FALLBACK_REQUESTS);
}

gboolean
quota_fallback_ended (const quota_tenant_t *tenant, anvil_time_t now)
{
  return tenant->fallback_since > 0 && now - tenant->fallback_since > FALLBACK_TIME;
}

/* Takes a token of a loan, or one of the fallback. */
gboolean
quota_pay (anvil_quota_loans_t *loans, anvil_time_t now, quota_tenant_t *tenant, anvil_task_id_t id)
{
  loan_t from = { 0 };
  paid_t *paid;

  if (!take_token (tenant, now, &from))
    {
      if (!fallback_allows (tenant, now))
        return FALSE;
      tenant->fallback_used++;
      from = (loan_t){ .elsewhere = TRUE };
    }
  paid = g_new0 (paid_t, 1);
  paid->id = id;
  paid->tenant = tenant;
  paid->from = from;
  tenant->n_paid++;
  quota_use_record (from.elsewhere ? &tenant->used_elsewhere : &tenant->used, now,
                    MAX (loans->window, ANVIL_QUOTA_RECENT));
  g_hash_table_replace (loans->paid, &paid->id, paid);
  return TRUE;
}

void
quota_refuse (anvil_quota_loans_t *loans,
              anvil_time_t now,
              quota_tenant_t *tenant,
              anvil_task_id_t id,
              anvil_task_refusal_reason_t reason)
{
  anvil_task_refusal_info_t refused = { .reason = reason, .retry_after = NO_COUNTER_RETRY_AFTER };

  if (reason == ANVIL_TASK_QUOTA)
    {
      anvil_time_t first = MAX (tenant->room_at, now + ANVIL_MS);
      anvil_time_t step = (anvil_time_t) ((gdouble) ANVIL_SECOND / tenant->rate);

      tenant->last_retry_at = MAX (tenant->last_retry_at, first) + step;
      if (tenant->last_retry_at > first + MAX (RETRY_SPREAD, step))
        tenant->last_retry_at = first;
      refused.retry_after = tenant->last_retry_at - now;
    }
  loans->callbacks.refuse (loans->context, anvil_str (tenant->name), id, &refused);
}

gboolean
anvil_quota_loans_take (anvil_quota_loans_t *loans,
                        anvil_time_t now,
                        const anvil_task_t *task,
                        const anvil_quota_limit_t *limit)
{
  quota_tenant_t *tenant = get_tenant (loans, now, task->tenant);

  tenant->rate = limit->rate;
  record_demand (tenant, now);
  if (tenant->waiting.length == 0 && quota_pay (loans, now, tenant, task->id))
    return TRUE;
  if (now < tenant->blocked_until)
    {
      quota_refuse (loans, now, tenant, task->id, ANVIL_TASK_QUOTA);
      return FALSE;
    }
  if (quota_fallback_ended (tenant, now) || tenant->waiting.length >= MAX_WAITING_TASKS)
    {
      quota_refuse (loans, now, tenant, task->id, ANVIL_TASK_NO_COUNTER);
      return FALSE;
    }
  quota_waiting_add (loans, tenant, task);
  return FALSE;
}

gboolean
anvil_quota_loans_waits (const anvil_quota_loans_t *loans, anvil_task_id_t id)
{
  return g_hash_table_contains (loans->waiting, &id);
}

void
anvil_quota_loans_cancel (anvil_quota_loans_t *loans, anvil_task_id_t id)
{
  waiting_t *waiting = g_hash_table_lookup (loans->waiting, &id);

  if (waiting != NULL)
    quota_waiting_forget (loans, waiting);
}

gboolean
anvil_quota_loans_give_back (anvil_quota_loans_t *loans, anvil_time_t now, anvil_task_id_t id)
{
  paid_t *paid = g_hash_table_lookup (loans->paid, &id);
  gboolean returned = paid != NULL && paid->from.ends_at > now;

  if (paid == NULL)
    return FALSE;
  paid->tenant->n_paid--;
  if (returned)
    {
      quota_add_loan (paid->tenant, &paid->from);
      quota_use_remove (paid->from.elsewhere ? &paid->tenant->used_elsewhere : &paid->tenant->used);
    }
  g_hash_table_remove (loans->paid, &id);
  return returned;
}

void
anvil_quota_loans_granted (anvil_quota_loans_t *loans, anvil_task_id_t id)
{
  paid_t *paid = g_hash_table_lookup (loans->paid, &id);

  if (paid == NULL)
    return;
  paid->tenant->n_paid--;
  g_hash_table_remove (loans->paid, &id);
}

void
anvil_quota_loans_requester_lost (anvil_quota_loans_t *loans, anvil_node_t requester)
{
  GList *all = g_hash_table_get_values (loans->waiting);
  GHashTableIter iter;
  gpointer value;

  for (GList *link = all; link != NULL; link = link->next)
    {
      if (((waiting_t *) link->data)->task.id.requester == requester)
        quota_waiting_forget (loans, link->data);
    }
  g_list_free (all);
  g_hash_table_iter_init (&iter, loans->paid);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (((paid_t *) value)->id.requester != requester)
        continue;
      ((paid_t *) value)->tenant->n_paid--;
      g_hash_table_iter_remove (&iter);
    }
}

void
anvil_quota_loans_limits_changed (anvil_quota_loans_t *loans, const anvil_quota_counter_t *limits)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, loans->tenants);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      quota_tenant_t *tenant = value;
      waiting_t *waiting;

      /* A raised limit has room at once. */
      tenant->blocked_until = 0;
      tenant->last_retry_at = 0;
      if (anvil_quota_counter_limit (limits, anvil_str (tenant->name)) != NULL)
        continue;
      while ((waiting = quota_waiting_most_urgent (tenant)) != NULL)
        quota_waiting_submit (loans, waiting);
    }
}

void
anvil_quota_loans_counter_changed (anvil_quota_loans_t *loans,
                                   const anvil_quota_counter_t *shard_of,
                                   guint shard)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, loans->tenants);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      quota_tenant_t *tenant = value;

      if (anvil_quota_counter_shard (shard_of, anvil_str (tenant->name)) != shard)
        continue;
      quota_use_merge (&tenant->used_elsewhere, &tenant->used);
      for (guint i = 0; i < tenant->n_loans; i++)
        tenant->loans[i].elsewhere = TRUE;
      tenant->pending = 0;
      tenant->requested_at = 0;
      tenant->blocked_until = 0;
    }
}

anvil_quota_state_t
anvil_quota_loans_state (anvil_quota_loans_t *loans, anvil_time_t now, anvil_str_t name)
{
  const quota_tenant_t *tenant = quota_find_tenant (loans, name);

  if (tenant == NULL)
    return (anvil_quota_state_t){ 0 };
  return (anvil_quota_state_t){ .tokens = quota_tokens_until (tenant, now),
                                .waiting = tenant->waiting.length,
                                .used
                                = quota_use_sum (&tenant->used, now, loans->window)
                                  + quota_use_sum (&tenant->used_elsewhere, now, loans->window),
                                .without_counter = tenant->fallback_since > 0 };
}
