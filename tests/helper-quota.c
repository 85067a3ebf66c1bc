#include "helper-quota.h"

#define STEP (1 * ANVIL_MS)

/** message_t - a request for tokens or its answer on its way */
typedef struct
{
  anvil_time_t arrives_at;
  anvil_time_t asked_at;
  guint from;
  guint to;
  gboolean is_answer;
  anvil_quota_want_t want;
  anvil_quota_lent_t lent;
} message_t;

/** entry_t - context of an entry's callbacks */
typedef struct
{
  quota_sim_t *sim;
  guint index;
} entry_t;

static entry_t entries[MAX_QUOTA_ENTRIES];
static const anvil_str_t tenant_name = { .data = "acme", .length = 4 };

static void
on_submit (void *context, const anvil_task_t *task)
{
  entry_t *entry = context;

  g_array_append_val (entry->sim->runs, entry->sim->now);
  anvil_quota_loans_granted (entry->sim->loans[entry->index], task->id);
}

static void
on_refuse (void *context,
           anvil_str_t tenant,
           anvil_task_id_t id,
           const anvil_task_refusal_info_t *refused)
{
  quota_sim_t *sim = ((entry_t *) context)->sim;

  sim->last_retry_after = refused->retry_after;
  if (refused->reason == ANVIL_TASK_QUOTA)
    sim->n_over_quota++;
  else
    sim->n_no_counter++;
}

static const anvil_quota_loans_callbacks_t callbacks = { .submit = on_submit, .refuse = on_refuse };

void
quota_sim_set_limit (quota_sim_t *sim, gdouble rate, gdouble burst)
{
  anvil_routes_t *routes = anvil_routes_new (1);
  anvil_tenant_t *tenant;

  sim->rate = rate;
  sim->burst = burst;
  if (rate > 0)
    {
      tenant = anvil_routes_add_tenant (routes);
      tenant->name = g_strdup ("acme");
      tenant->rate = rate;
      tenant->burst = burst;
    }
  for (guint i = 0; i < sim->n_entries; i++)
    {
      anvil_quota_counter_set_tenants (sim->counters[i], sim->now, routes);
      anvil_quota_loans_limits_changed (sim->loans[i], sim->counters[i]);
      if (rate > 0)
        anvil_quota_counter_hold (sim->counters[i], sim->now, 0, sim->counter_of[i] == i);
    }
  anvil_routes_drop (routes);
}

void
quota_sim_open (quota_sim_t *sim, guint n_entries, gdouble rate, gdouble burst)
{
  *sim = (quota_sim_t){ .n_entries = n_entries, .now = 1000 * ANVIL_SECOND, .latency = ANVIL_MS };
  sim->limits = (anvil_dispatcher_limits_t){ .quota_window = 5 * ANVIL_SECOND,
                                             .quota_overage = 0.1,
                                             .quota_slack = 20 };
  sim->runs = g_array_new (FALSE, FALSE, sizeof (anvil_time_t));
  g_queue_init (&sim->messages);
  for (guint i = 0; i < n_entries; i++)
    {
      entries[i] = (entry_t){ .sim = sim, .index = i };
      sim->share[i] = 1;
      sim->counters[i] = anvil_quota_counter_new (&sim->limits);
      sim->loans[i] = anvil_quota_loans_new (&callbacks, &entries[i]);
      anvil_quota_loans_set_window (sim->loans[i], sim->limits.quota_window);
    }
  quota_sim_set_limit (sim, rate, burst);
}

void
quota_sim_close (quota_sim_t *sim)
{
  for (guint i = 0; i < sim->n_entries; i++)
    {
      anvil_quota_counter_drop (sim->counters[i]);
      anvil_quota_loans_drop (sim->loans[i]);
    }
  g_queue_clear_full (&sim->messages, g_free);
  g_array_unref (sim->runs);
}

void
quota_sim_move_counter (quota_sim_t *sim, guint side, guint counter)
{
  for (guint i = 0; i < sim->n_entries; i++)
    {
      if (sim->side[i] != side || sim->silent[i])
        continue;
      sim->counter_of[i] = counter;
      anvil_quota_counter_set_share (sim->counters[i], sim->now, sim->share[i]);
      anvil_quota_counter_hold (sim->counters[i], sim->now, 0, counter == i);
      anvil_quota_loans_counter_changed (sim->loans[i], sim->counters[i], 0);
    }
}

static void
deliver (quota_sim_t *sim, message_t *message)
{
  if (message->is_answer)
    {
      anvil_quota_loans_lent (sim->loans[message->to], sim->now, message->asked_at, &message->lent);
      return;
    }
  if (!anvil_quota_counter_lend (sim->counters[message->to], sim->now, message->from + 1,
                                 &message->want, &message->lent))
    return;
  message->is_answer = TRUE;
  message->arrives_at = sim->now + (message->to != message->from ? sim->latency : 0);
  sim->n_messages += message->to != message->from;
  message->from ^= message->to;
  message->to ^= message->from;
  message->from ^= message->to;
  if (message->to == message->from)
    deliver (sim, message);
  else
    g_queue_push_tail (&sim->messages, g_memdup2 (message, sizeof *message));
}

static void
deliver_due (quota_sim_t *sim)
{
  for (guint n = sim->messages.length; n > 0; n--)
    {
      message_t *message = g_queue_pop_head (&sim->messages);

      if (message->arrives_at > sim->now)
        {
          g_queue_push_tail (&sim->messages, message);
          continue;
        }
      if (!sim->silent[message->to] && !sim->silent[message->from]
          && sim->side[message->to] == sim->side[message->from])
        deliver (sim, message);
      g_free (message);
    }
}

static void
on_want (void *context, const anvil_quota_want_t *want)
{
  entry_t *entry = context;
  quota_sim_t *sim = entry->sim;
  message_t message = { .arrives_at = sim->now + sim->latency,
                        .asked_at = sim->now,
                        .from = entry->index,
                        .to = sim->counter_of[entry->index],
                        .want = *want };

  message.want.tenant = tenant_name;
  if (message.to == message.from)
    {
      deliver (sim, &message);
      return;
    }
  sim->n_messages++;
  g_queue_push_tail (&sim->messages, g_memdup2 (&message, sizeof message));
}

guint64
quota_sim_send (quota_sim_t *sim, guint entry)
{
  const anvil_task_t task
      = { .id = { .requester = 1, .number = ++sim->n_sent }, .tenant = tenant_name };
  const anvil_quota_limit_t *limit = anvil_quota_counter_limit (sim->counters[entry], tenant_name);

  if (limit == NULL || anvil_quota_loans_take (sim->loans[entry], sim->now, &task, limit))
    on_submit (&entries[entry], &task);
  else
    anvil_quota_loans_collect (sim->loans[entry], sim->now, FALSE, on_want, &entries[entry]);
  return task.id.number;
}

static void
tick (quota_sim_t *sim)
{
  for (guint i = 0; i < sim->n_entries; i++)
    {
      if (sim->silent[i])
        continue;
      anvil_quota_counter_set_share (sim->counters[i], sim->now, sim->share[i]);
      anvil_quota_counter_tick (sim->counters[i], sim->now);
      anvil_quota_loans_tick (sim->loans[i], sim->now);
      anvil_quota_loans_collect (sim->loans[i], sim->now, TRUE, on_want, &entries[i]);
    }
}

void
quota_sim_run (quota_sim_t *sim, anvil_time_t length, gdouble per_second, guint first, guint n)
{
  const anvil_time_t end = sim->now + length;

  while (sim->now < end)
    {
      sim->now += STEP;
      if (sim->now % ANVIL_DISPATCHER_TICK_INTERVAL == 0)
        tick (sim);
      deliver_due (sim);
      sim->owed += per_second * STEP / ANVIL_SECOND;
      while (sim->owed >= 1)
        {
          guint entry = first + sim->n_sent % n;

          sim->owed--;
          if (!sim->silent[entry])
            quota_sim_send (sim, entry);
        }
    }
}

guint
quota_sim_most_runs (const quota_sim_t *sim, anvil_time_t since)
{
  const anvil_time_t *runs = (const anvil_time_t *) (gpointer) sim->runs->data;
  guint most = 0;
  guint first = 0;

  for (guint i = 0; i < sim->runs->len; i++)
    {
      while (runs[first] < since || runs[i] - runs[first] >= sim->limits.quota_window)
        {
          if (first == i)
            break;
          first++;
        }
      if (runs[first] >= since)
        most = MAX (most, i - first + 1);
    }
  return most;
}

gdouble
quota_sim_bound (const quota_sim_t *sim)
{
  return (sim->rate * (gdouble) sim->limits.quota_window / ANVIL_SECOND + sim->burst)
             * (1 + sim->limits.quota_overage)
         + sim->limits.quota_slack;
}
