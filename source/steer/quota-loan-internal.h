#pragma once

#include "steer/quota-loan.h"
#include "steer/quota-use.h"

/* Loans of one tenant that are kept apart by their ends: a term has about six ticks. */
#define MAX_LOANS 8
/* Most tasks of a tenant that wait for tokens; as many as may wait for slots of a service. */
#define MAX_WAITING_TASKS 4096

/* How long tasks go on without an answer; another counter is chosen much earlier. */
#define FALLBACK_TIME (2 * ANVIL_SECOND)

/**
 * loan_t - tokens of a counter
 * @ends_at: when the rest of them end, this entry's clock
 * @elsewhere: lent by a counter that isn't the tenant's any more, or used without one
 */
typedef struct
{
  guint tokens;
  anvil_time_t ends_at;
  gboolean elsewhere;
} loan_t;

/**
 * quota_tenant_t - a tenant whose tasks use tokens here
 * @rate: its limit
 * @waiting: waiting_t, oldest first
 * @n_paid: its paid_t
 * @pending: tokens that were requested for waiting tasks
 * @pending_ahead: tokens that were requested ahead of time
 * @requested_at: time of the first request since the last answer or time-out; 0 for none
 * @unanswered_since: time of the first request since the last answer; 0 for none
 * @answer_time: time that the last answer took
 * @fallback_since: since when it goes on without a counter; 0 if it doesn't
 * @fallback_rate: requests a second in that time
 * @fallback_used: requests in that time
 * @use_share: see anvil_quota_lent_t
 * @room_at: when the counter will have a token
 * @blocked_until: tasks are refused without another request
 * @last_retry_at: latest time at which a refused caller was told to retry
 * @demand: requests, decaying
 * @used: tokens of the present counter that were used
 * @used_elsewhere: tokens that the present counter hasn't lent
 */
typedef struct
{
  char *name;
  gdouble rate;
  GQueue waiting;
  guint n_paid;
  loan_t loans[MAX_LOANS];
  guint n_loans;
  guint pending;
  guint pending_ahead;
  anvil_time_t requested_at;
  anvil_time_t unanswered_since;
  anvil_time_t answer_time;
  anvil_time_t fallback_since;
  gdouble fallback_rate;
  guint fallback_used;
  guint use_share;
  anvil_time_t room_at;
  anvil_time_t blocked_until;
  anvil_time_t last_retry_at;
  gdouble demand;
  anvil_time_t demand_at;
  quota_use_t used;
  quota_use_t used_elsewhere;
} quota_tenant_t;

/** waiting_t - a task that waits for a token; owns its texts */
typedef struct
{
  anvil_task_t task;
  quota_tenant_t *tenant;
} waiting_t;

/** paid_t - a task that took a token and waits for a slot */
typedef struct
{
  anvil_task_id_t id;
  quota_tenant_t *tenant;
  loan_t from;
} paid_t;

struct anvil_quota_loans
{
  anvil_quota_loans_callbacks_t callbacks;
  void *context;
  anvil_time_t window;
  /* quota_tenant_t by name. */
  GHashTable *tenants;
  /* waiting_t and paid_t by id. */
  GHashTable *waiting;
  GHashTable *paid;
  /* Set of quota_tenant_t with waiting tasks. */
  GHashTable *with_waiting;
};

quota_tenant_t *quota_find_tenant (const anvil_quota_loans_t *loans, anvil_str_t name);

/* quota-waiting.c */

void
quota_waiting_add (anvil_quota_loans_t *loans, quota_tenant_t *tenant, const anvil_task_t *task);
void quota_waiting_free (gpointer data);
/* Removes and frees a waiting task. */
void quota_waiting_forget (anvil_quota_loans_t *loans, waiting_t *waiting);
/* Submits a waiting task that has its token, and frees it. */
void quota_waiting_submit (anvil_quota_loans_t *loans, waiting_t *waiting);
/* The most urgent task, the oldest of several; NULL for none. */
waiting_t *quota_waiting_most_urgent (const quota_tenant_t *tenant);
/* The least urgent task, the newest of several; NULL for none. */
waiting_t *quota_waiting_least_urgent (const quota_tenant_t *tenant);

/* quota-loan.c */

/* Tokens that are expected to be used in a time. */
gdouble quota_expected_demand (const quota_tenant_t *tenant, anvil_time_t now, anvil_time_t time);
/* Tokens in loans that last beyond @until. */
guint quota_tokens_until (const quota_tenant_t *tenant, anvil_time_t until);
void quota_drop_ended_loans (quota_tenant_t *tenant, anvil_time_t now);
void quota_add_loan (quota_tenant_t *tenant, const loan_t *loan);
/* It went on without a counter for as long as it may. */
gboolean quota_fallback_ended (const quota_tenant_t *tenant, anvil_time_t now);
/* Takes a token of a loan, or one of the time without a counter. */
gboolean quota_pay (anvil_quota_loans_t *loans,
                    anvil_time_t now,
                    quota_tenant_t *tenant,
                    anvil_task_id_t id);
void quota_refuse (anvil_quota_loans_t *loans,
                   anvil_time_t now,
                   quota_tenant_t *tenant,
                   anvil_task_id_t id,
                   anvil_task_refusal_reason_t reason);
