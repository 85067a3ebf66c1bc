/* Tasks of tenants that wait for a token. */

#include "steer/quota-loan-internal.h"

void
quota_waiting_free (gpointer data)
{
  waiting_t *waiting = data;
  anvil_task_t *task = &waiting->task;

  g_free ((char *) task->service.data);
  g_free ((char *) task->region.data);
  g_free ((char *) task->zone.data);
  g_free ((char *) task->tenant.data);
  for (guint i = 0; i < task->n_regions; i++)
    g_free ((char *) task->regions[i].data);
  g_free (waiting);
}

static void
own (anvil_str_t *text)
{
  *text = anvil_str (anvil_str_dup (*text));
}

static waiting_t *
waiting_new (quota_tenant_t *tenant, const anvil_task_t *task)
{
  waiting_t *waiting = g_new0 (waiting_t, 1);

  waiting->tenant = tenant;
  waiting->task = *task;
  own (&waiting->task.service);
  own (&waiting->task.region);
  own (&waiting->task.zone);
  own (&waiting->task.tenant);
  for (guint i = 0; i < task->n_regions; i++)
    own (&waiting->task.regions[i]);
  return waiting;
}

static void
remove_from_queue (anvil_quota_loans_t *loans, waiting_t *waiting)
{
  quota_tenant_t *tenant = waiting->tenant;

  g_queue_remove (&tenant->waiting, waiting);
  if (tenant->waiting.length == 0)
    g_hash_table_remove (loans->with_waiting, tenant);
}

void
quota_waiting_add (anvil_quota_loans_t *loans, quota_tenant_t *tenant, const anvil_task_t *task)
{
  waiting_t *waiting = waiting_new (tenant, task);

  g_hash_table_insert (loans->waiting, &waiting->task.id, waiting);
  g_queue_push_tail (&tenant->waiting, waiting);
  g_hash_table_add (loans->with_waiting, tenant);
}

void
quota_waiting_forget (anvil_quota_loans_t *loans, waiting_t *waiting)
{
  remove_from_queue (loans, waiting);
  g_hash_table_remove (loans->waiting, &waiting->task.id);
}

void
quota_waiting_submit (anvil_quota_loans_t *loans, waiting_t *waiting)
{
  remove_from_queue (loans, waiting);
  g_hash_table_steal (loans->waiting, &waiting->task.id);
  loans->callbacks.submit (loans->context, &waiting->task);
  quota_waiting_free (waiting);
}

/* The most urgent task, the oldest of several. */
waiting_t *
quota_waiting_most_urgent (const quota_tenant_t *tenant)
{
  waiting_t *best = NULL;

  for (GList *link = tenant->waiting.head; link != NULL; link = link->next)
    {
      waiting_t *waiting = link->data;

      if (best == NULL || waiting->task.priority < best->task.priority)
        best = waiting;
    }
  return best;
}

/* The least urgent task, the newest of several. */
waiting_t *
quota_waiting_least_urgent (const quota_tenant_t *tenant)
{
  waiting_t *worst = NULL;

  for (GList *link = tenant->waiting.head; link != NULL; link = link->next)
    {
      waiting_t *waiting = link->data;

      if (worst == NULL || waiting->task.priority >= worst->task.priority)
        worst = waiting;
    }
  return worst;
}
