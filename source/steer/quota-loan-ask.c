/* Requests tokens of counters, and goes on for a while without an answer. */

#include "steer/quota-loan-internal.h"

#include <math.h>

/* A tenant that needs fewer tokens in the term of a loan gets none ahead, as most would end unused.
 */
#define MIN_AHEAD_DEMAND 1
/* A holder that has this part of the tokens for the next 100 ms requests none yet; enough until the
 * tick after the next. */
#define ENOUGH_SHARE 0.6
/* Round trip to a counter of the same region, which may take part of a tick. */
#define NEAR_COUNTER (20 * ANVIL_MS)
/* A counter that hasn't answered for so long is taken for lost. Longer than a round trip between
 * distant regions. */
#define ANSWER_TIME (150 * ANVIL_MS)
/* A tenant that was told to wait longer is looked up again after this time, as its limit may have
 * changed. */
#define MAX_BLOCK_TIME (100 * ANVIL_MS)

static void
serve_tenant (anvil_quota_loans_t *loans, anvil_time_t now, quota_tenant_t *tenant)
{
  waiting_t *waiting;

  while ((waiting = quota_waiting_most_urgent (tenant)) != NULL
         && quota_pay (loans, now, tenant, waiting->task.id))
    quota_waiting_submit (loans, waiting);
}

static void
refuse_waiting (anvil_quota_loans_t *loans,
                anvil_time_t now,
                quota_tenant_t *tenant,
                guint n,
                anvil_task_refusal_reason_t reason)
{
  for (; n > 0 && tenant->waiting.length > 0; n--)
    {
      waiting_t *waiting = quota_waiting_least_urgent (tenant);
      anvil_task_id_t id = waiting->task.id;

      quota_waiting_forget (loans, waiting);
      quota_refuse (loans, now, tenant, id, reason);
    }
}

static guint
wanted_ahead (const quota_tenant_t *tenant, anvil_time_t now)
{
  /* They are needed from the answer on. */
  anvil_time_t time = ANVIL_QUOTA_AHEAD + MIN (tenant->answer_time, ANVIL_QUOTA_AHEAD);
  guint there = quota_tokens_until (tenant, now + ANVIL_QUOTA_AHEAD) + tenant->pending_ahead;
  gdouble soon = MIN (quota_expected_demand (tenant, now, time),
                      tenant->rate * (gdouble) time / ANVIL_SECOND + 1);

  /* Asks whether the counter is back. */
  if (quota_fallback_ended (tenant, now) && now - tenant->demand_at < FALLBACK_TIME)
    return tenant->pending_ahead > 0 ? 0 : 1;
  if (quota_expected_demand (tenant, now, ANVIL_QUOTA_TERM) < MIN_AHEAD_DEMAND)
    return 0;
  /* One request for two ticks, unless the answer would be late. */
  if (there > ENOUGH_SHARE * soon && tenant->answer_time < NEAR_COUNTER)
    return 0;
  return (guint) MAX (ceil (soon) - there, 0);
}

static void
collect_tenant (anvil_quota_loans_t *loans,
                anvil_time_t now,
                quota_tenant_t *tenant,
                gboolean ahead,
                void (*visit) (void *context, const anvil_quota_want_t *want),
                void *context)
{
  anvil_quota_want_t want = { .tenant = anvil_str (tenant->name) };

  if (tenant->waiting.length > tenant->pending)
    want.waiting = tenant->waiting.length - tenant->pending;
  if (ahead)
    want.ahead = wanted_ahead (tenant, now);
  if (want.waiting + want.ahead == 0)
    return;
  want.used_elsewhere = quota_use_sum (&tenant->used_elsewhere, now, loans->window);
  tenant->pending += want.waiting;
  tenant->pending_ahead += want.ahead;
  if (tenant->requested_at == 0)
    tenant->requested_at = now;
  if (tenant->unanswered_since == 0)
    tenant->unanswered_since = now;
  visit (context, &want);
}

void
anvil_quota_loans_collect (anvil_quota_loans_t *loans,
                           anvil_time_t now,
                           gboolean ahead,
                           void (*visit) (void *context, const anvil_quota_want_t *want),
                           void *context)
{
  GList *tenants = ahead ? g_hash_table_get_values (loans->tenants)
                         : g_hash_table_get_keys (loans->with_waiting);

  /* An answer that is given at once may change the tables. */
  for (GList *link = tenants; link != NULL; link = link->next)
    collect_tenant (loans, now, link->data, ahead, visit, context);
  g_list_free (tenants);
}

static void
note_answer (quota_tenant_t *tenant, anvil_time_t now, const anvil_quota_lent_t *lent)
{
  tenant->pending -= MIN (tenant->pending, lent->wanted);
  tenant->pending_ahead = 0;
  /* Other requests may be on their way. */
  tenant->requested_at = tenant->pending > 0 ? now : 0;
  tenant->unanswered_since = tenant->requested_at;
  tenant->fallback_since = 0;
  tenant->use_share = lent->use_share;
}

void
anvil_quota_loans_lent (anvil_quota_loans_t *loans,
                        anvil_time_t now,
                        anvil_time_t asked_at,
                        const anvil_quota_lent_t *lent)
{
  quota_tenant_t *tenant = quota_find_tenant (loans, lent->tenant);
  const loan_t loan = { .tokens = lent->lent, .ends_at = asked_at + ANVIL_QUOTA_TERM };

  if (tenant == NULL || asked_at > now)
    return;
  note_answer (tenant, now, lent);
  tenant->answer_time = now - asked_at;
  quota_drop_ended_loans (tenant, now);
  if (loan.tokens > 0 && loan.ends_at > now)
    quota_add_loan (tenant, &loan);
  serve_tenant (loans, now, tenant);
  if (lent->lent >= lent->wanted)
    return;
  tenant->room_at = now + lent->retry_after;
  tenant->blocked_until = now + MIN (lent->retry_after, MAX_BLOCK_TIME);
  refuse_waiting (loans, now, tenant, MIN (lent->wanted - lent->lent, tenant->waiting.length),
                  ANVIL_TASK_QUOTA);
}

void
anvil_quota_loans_serve (anvil_quota_loans_t *loans, anvil_time_t now)
{
  GList *tenants = g_hash_table_get_keys (loans->with_waiting);

  for (GList *link = tenants; link != NULL; link = link->next)
    serve_tenant (loans, now, link->data);
  g_list_free (tenants);
}

/* Requests again what wasn't answered, and begins or ends the time without a counter. */
static void
check_answer (anvil_quota_loans_t *loans, anvil_time_t now, quota_tenant_t *tenant)
{
  if (tenant->requested_at > 0 && now - tenant->requested_at >= ANSWER_TIME)
    {
      tenant->requested_at = 0;
      tenant->pending = 0;
      tenant->pending_ahead = 0;
    }
  if (tenant->fallback_since == 0 && tenant->unanswered_since > 0
      && now - tenant->unanswered_since >= ANSWER_TIME)
    {
      gdouble recent = quota_use_sum (&tenant->used, now, ANVIL_QUOTA_RECENT)
                       + quota_use_sum (&tenant->used_elsewhere, now, ANVIL_QUOTA_RECENT);

      tenant->fallback_since = now;
      tenant->fallback_used = 0;
      tenant->fallback_rate
          = recent * tenant->use_share / ANVIL_QUOTA_FULL_SHARE * ANVIL_SECOND / ANVIL_QUOTA_RECENT;
    }
  if (tenant->waiting.length == 0 && now - tenant->demand_at > FALLBACK_TIME)
    {
      /* Nothing is requested any more. */
      tenant->unanswered_since = 0;
      tenant->fallback_since = 0;
    }
  serve_tenant (loans, now, tenant);
  if (quota_fallback_ended (tenant, now))
    refuse_waiting (loans, now, tenant, tenant->waiting.length, ANVIL_TASK_NO_COUNTER);
}

void
anvil_quota_loans_tick (anvil_quota_loans_t *loans, anvil_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, loans->tenants);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      quota_tenant_t *tenant = value;

      check_answer (loans, now, tenant);
      quota_drop_ended_loans (tenant, now);
      if (now - tenant->demand_at > loans->window + ANVIL_QUOTA_RECENT
          && tenant->waiting.length == 0 && tenant->n_paid == 0 && tenant->n_loans == 0)
        g_hash_table_iter_remove (&iter);
    }
}
