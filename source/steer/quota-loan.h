#pragma once

#include "anvil/dispatcher.h"
#include "steer/quota-counter.h"
#include "steer/quota-item.h"

/*
 * A holder's tokens of tenants: loans of the counter, and tasks that wait for one.
 *
 * A task takes a token of a loan. Without any it waits until the counter has answered. Loans for
 * the demand of the next 100 ms are requested ahead of time, so that usually a token is there
 * before its task. If the counter doesn't answer, tasks go on for a while at the rate at which
 * tokens were used before.
 *
 * The module has no sockets and reads no clock.
 */

/**
 * anvil_quota_loans_callbacks_t - decisions about waiting tasks; never called from inside
 *   anvil_quota_loans_give_back() and anvil_quota_loans_cancel()
 * @submit: the task has a token now; borrowed
 * @refuse: the task gets none
 */
typedef struct
{
  void (*submit) (void *context, const anvil_task_t *task);
  void (*refuse) (void *context,
                  anvil_str_t tenant,
                  anvil_task_id_t id,
                  const anvil_task_refusal_info_t *refused);
} anvil_quota_loans_callbacks_t;

typedef struct anvil_quota_loans anvil_quota_loans_t;

anvil_quota_loans_t *anvil_quota_loans_new (const anvil_quota_loans_callbacks_t *callbacks,
                                            void *context);
void anvil_quota_loans_drop (anvil_quota_loans_t *loans);

/** anvil_quota_loans_set_window - length of the window in which quotas are judged, microseconds */
void anvil_quota_loans_set_window (anvil_quota_loans_t *loans, anvil_time_t window);

/**
 * anvil_quota_loans_take - takes a token for a task
 * @limit: the limit of its tenant
 *
 * Return: TRUE if the task has a token; otherwise it waits, or was refused through the callback.
 */
gboolean anvil_quota_loans_take (anvil_quota_loans_t *loans,
                                 anvil_time_t now,
                                 const anvil_task_t *task,
                                 const anvil_quota_limit_t *limit);

/** anvil_quota_loans_waits - whether a task waits for a token */
gboolean anvil_quota_loans_waits (const anvil_quota_loans_t *loans, anvil_task_id_t id);

/** anvil_quota_loans_cancel - forgets a task that waits for a token */
void anvil_quota_loans_cancel (anvil_quota_loans_t *loans, anvil_task_id_t id);

/** anvil_quota_loans_give_back - a task that took a token didn't run; the token returns to its loan
 * unless that has ended. TRUE if it did */
gboolean
anvil_quota_loans_give_back (anvil_quota_loans_t *loans, anvil_time_t now, anvil_task_id_t id);

/** anvil_quota_loans_granted - a task that took a token was granted a slot */
void anvil_quota_loans_granted (anvil_quota_loans_t *loans, anvil_task_id_t id);

/** anvil_quota_loans_requester_lost - forgets the waiting tasks of an entry that is gone */
void anvil_quota_loans_requester_lost (anvil_quota_loans_t *loans, anvil_node_t requester);

/** anvil_quota_loans_limits_changed - limits were changed or removed; the waiting tasks of tenants
 * without one are submitted */
void anvil_quota_loans_limits_changed (anvil_quota_loans_t *loans,
                                       const anvil_quota_counter_t *limits);

/** anvil_quota_loans_counter_changed - the tenants of a shard have another counter, which knows
 * nothing of what was used; @shard_of knows each tenant's shard */
void anvil_quota_loans_counter_changed (anvil_quota_loans_t *loans,
                                        const anvil_quota_counter_t *shard_of,
                                        guint shard);

/**
 * anvil_quota_loans_collect - lists what is to be requested of counters now
 * @ahead: also tokens for the next 100 ms
 * @visit: called for each tenant; the answer is passed to anvil_quota_loans_lent()
 */
void anvil_quota_loans_collect (anvil_quota_loans_t *loans,
                                anvil_time_t now,
                                gboolean ahead,
                                void (*visit) (void *context, const anvil_quota_want_t *want),
                                void *context);

/**
 * anvil_quota_loans_lent - a counter answered
 * @asked_at: when it was asked
 */
void anvil_quota_loans_lent (anvil_quota_loans_t *loans,
                             anvil_time_t now,
                             anvil_time_t asked_at,
                             const anvil_quota_lent_t *lent);

/** anvil_quota_loans_serve - submits waiting tasks for which tokens were given back */
void anvil_quota_loans_serve (anvil_quota_loans_t *loans, anvil_time_t now);

/** anvil_quota_loans_tick - applies time-outs; to be called at ANVIL_DISPATCHER_TICK_INTERVAL */
void anvil_quota_loans_tick (anvil_quota_loans_t *loans, anvil_time_t now);

/**
 * anvil_quota_state_t - a tenant's quota at this holder, for logs
 * @tokens: tokens in loans
 * @waiting: tasks that wait for one
 * @used: tokens used in the last window
 * @without_counter: the counter doesn't answer
 */
typedef struct
{
  guint tokens;
  guint waiting;
  guint used;
  gboolean without_counter;
} anvil_quota_state_t;

anvil_quota_state_t
anvil_quota_loans_state (anvil_quota_loans_t *loans, anvil_time_t now, anvil_str_t tenant);
