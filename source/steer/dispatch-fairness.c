/*
 * Shares the slots of a service among tenants of equal rank.
 *
 * Start-time fair queueing over slot time: a tenant's start is the slot time that
 * it was granted, at least that of the last grant of its rank. While tasks wait, a
 * free slot goes to the tenant with the earliest start, so one that sends many
 * tasks waits for those that send few. A tenant that doesn't ask gathers no claim,
 * and one that used idle slots is held back by at most MEMORY of slot time.
 *
 * Tasks without a tenant share as one tenant if there are others; a service that
 * has had no task of a tenant isn't shared, and decides as without this file.
 */

#include "steer/dispatch-internal.h"

/* Slot time by which a tenant can be ahead of others: the time over which shares are judged. */
#define MEMORY (2 * ANVIL_SECOND)

static guint64
mix (guint64 value, guint64 more)
{
  const guint64 mixed = (value ^ more) * G_GUINT64_CONSTANT (0x9E3779B97F4A7C15);

  return mixed ^ (mixed >> 32);
}

static void
flow_free (gpointer data)
{
  g_free (data);
}

void
fairness_open (service_t *service)
{
  service->flows = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, flow_free);
  service->fair_ranks = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  service->fair_tenants = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

void
fairness_close (service_t *service)
{
  g_hash_table_unref (service->flows);
  g_hash_table_unref (service->fair_ranks);
  g_hash_table_unref (service->fair_tenants);
}

static fair_rank_t *
get_rank (service_t *service, const anvil_task_t *task)
{
  const guint64 key = ((guint64) task->tenant_priority << 32) | task->priority;
  fair_rank_t *rank = g_hash_table_lookup (service->fair_ranks, &key);

  if (rank != NULL)
    return rank;
  rank = g_new0 (fair_rank_t, 1);
  rank->key = key;
  g_hash_table_insert (service->fair_ranks, &rank->key, rank);
  return rank;
}

static fair_tenant_t *
get_tenant (service_t *service, guint64 key)
{
  fair_tenant_t *tenant = g_hash_table_lookup (service->fair_tenants, &key);

  if (tenant != NULL)
    return tenant;
  tenant = g_new0 (fair_tenant_t, 1);
  tenant->key = key;
  g_hash_table_insert (service->fair_tenants, &tenant->key, tenant);
  return tenant;
}

guint64
fairness_key (const anvil_task_t *task)
{
  const guint64 tenant = anvil_str_hash (task->tenant);

  return mix (mix (tenant, task->tenant_priority), task->priority);
}

void
fairness_add_task (task_t *task, anvil_time_t now)
{
  service_t *service = task->service;
  const anvil_task_t *request = &task->request;
  flow_t *flow;
  guint64 key;

  if (request->tenant.length == 0 && g_hash_table_size (service->flows) == 0)
    return;
  key = fairness_key (request);
  flow = g_hash_table_lookup (service->flows, &key);
  if (flow == NULL)
    {
      flow = g_new0 (flow_t, 1);
      flow->key = key;
      flow->rank = get_rank (service, request);
      flow->tenant = get_tenant (service, anvil_str_hash (request->tenant));
      flow->rank->n_flows++;
      flow->tenant->n_flows++;
      g_queue_init (&flow->waiting);
      g_hash_table_insert (service->flows, &flow->key, flow);
      if (g_hash_table_size (service->flows) == 1)
        class_refresh (service);
    }
  flow->n_tasks++;
  flow->used_at = now;
  task->flow = flow;
}

void
fairness_remove_task (task_t *task)
{
  if (task->flow != NULL)
    task->flow->n_tasks--;
}

void
fairness_waiting_added (task_t *task)
{
  if (task->flow == NULL)
    return;
  task->flow_link.data = task;
  g_queue_push_tail_link (&task->flow->waiting, &task->flow_link);
  task->queued_work_us = class_work_us (task->class);
  task->flow->work_us += task->queued_work_us;
  task->flow->n_late += task->will_be_late ? 1 : 0;
  task->flow->tenant->n_waiting++;
}

void
fairness_waiting_removed (task_t *task)
{
  if (task->flow == NULL)
    return;
  g_queue_unlink (&task->flow->waiting, &task->flow_link);
  task->flow->tenant->n_waiting--;
  task->flow->work_us -= task->queued_work_us;
  if (task->is_late || task->will_be_late)
    task->flow->n_late--;
}

void
fairness_became_late (task_t *task)
{
  if (task->flow != NULL && !task->will_be_late)
    task->flow->n_late++;
}

gdouble
fairness_start (const task_t *task)
{
  const flow_t *flow = task->flow;

  return flow == NULL ? 0 : MAX (flow->finish, flow->rank->start);
}

void
fairness_granted (task_t *task, anvil_time_t run_time)
{
  flow_t *flow = task->flow;
  gdouble start = fairness_start (task);

  if (flow == NULL)
    return;
  flow->rank->start = MAX (flow->rank->start, start);
  flow->finish = MIN (start + (gdouble) run_time, flow->rank->start + MEMORY);
  task->charged = run_time;
}

void
fairness_run_ended (task_t *task, anvil_time_t now)
{
  flow_t *flow = task->flow;
  gdouble used = (gdouble) (now - task->granted_at);

  if (flow == NULL)
    return;
  flow->used_at = now;
  flow->finish = MIN (flow->finish + used - (gdouble) task->charged, flow->rank->start + MEMORY);
}

/* Tasks of another flow that are served before a task that is queued now. */
static guint
count_of_flow (const flow_t *flow, const flow_t *own, gboolean with_late)
{
  const guint n = flow->waiting.length - (with_late ? 0 : flow->n_late);

  if (flow == own || flow->rank->key < own->rank->key)
    return n;
  /* Equal ranks take turns. */
  return flow->rank == own->rank ? MIN (n, own->waiting.length + 1) : 0;
}

gdouble
fairness_work_ahead_us (const task_t *task, gboolean with_late)
{
  gdouble work_us = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, task->service->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const flow_t *flow = value;

      if (flow->waiting.length > 0)
        work_us
            += count_of_flow (flow, task->flow, with_late) * flow->work_us / flow->waiting.length;
    }
  return work_us;
}

gboolean
fairness_too_many_late (const task_t *task, gdouble most, guint at_least)
{
  const gboolean too_many = waiting_count_late (task) > MAX (most, at_least);

  /* The late tasks of others don't use up a tenant's part. */
  return too_many
         && (task->flow == NULL
             || task->flow->n_late > most / g_hash_table_size (task->service->fair_tenants));
}

/* The least urgent flow of a tenant that has queued tasks. */
static flow_t *
least_urgent_flow (const service_t *service, const fair_tenant_t *tenant)
{
  flow_t *worst = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, service->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      flow_t *flow = value;

      if (flow->tenant == tenant && flow->waiting.length > 0
          && (worst == NULL || flow->rank->key > worst->rank->key))
        worst = flow;
    }
  return worst;
}

task_t *
fairness_find_victim (const task_t *task)
{
  const service_t *service = task->service;
  const flow_t *own = task->flow;
  const fair_tenant_t *most;
  flow_t *flow;
  GHashTableIter iter;
  gpointer value;

  if (own == NULL)
    return NULL;
  most = own->tenant;
  g_hash_table_iter_init (&iter, service->fair_tenants);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const fair_tenant_t *tenant = value;

      /* The arriving task counts as well. */
      if (tenant->n_waiting > most->n_waiting + (most == own->tenant ? 1 : 0))
        most = tenant;
    }
  flow = least_urgent_flow (service, most);
  if (flow == NULL || (most == own->tenant && flow->rank->key <= own->rank->key))
    return NULL;
  return g_queue_peek_tail (&flow->waiting);
}

void
fairness_remove_idle (service_t *service, anvil_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, service->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      flow_t *flow = value;
      fair_rank_t *rank = flow->rank;
      fair_tenant_t *tenant = flow->tenant;

      if (flow->n_tasks > 0 || now - flow->used_at <= MEMORY)
        continue;
      g_hash_table_iter_remove (&iter);
      if (--rank->n_flows == 0)
        g_hash_table_remove (service->fair_ranks, &rank->key);
      if (--tenant->n_flows == 0)
        g_hash_table_remove (service->fair_tenants, &tenant->key);
    }
}
