/* Measures the checks on the path of a request in real time, without a network. */

#include "common-path.h"

#include "anvil/dispatcher.h"
#include "relay/pause-table.h"
#include "relay/relay-upstream-internal.h"

#define N_CHECKS 2000000
#define N_TASKS 20000
#define N_TICKS 20
#define N_QUEUED 4000
#define N_UPSTREAMS 60
#define N_SLOTS 8
#define N_ENTRIES 490
#define N_PAUSES 1000
#define REQUESTER ((anvil_node_t) 1)
#define OTHER_REQUESTER ((anvil_node_t) 2)
#define NOW (100 * ANVIL_SECOND)
#define PAUSE_END (NOW + 30 * ANVIL_SECOND)
#define DEADLINE (NOW + 60 * ANVIL_SECOND)

const char *
common_extent_name (common_extent_t extent)
{
  static const char *const names[] = { "none", "one", "many" };

  return names[extent];
}

static gdouble
mean_ns (gint64 started_at, guint n)
{
  return (gdouble) (g_get_monotonic_time () - started_at) * 1000 / n;
}

static gdouble
time_connection (common_extent_t extent)
{
  const guint n_ids[] = { 0, 1, MAX_CONNECTION_REQUESTS };
  upstream_connection_t *connection = g_new0 (upstream_connection_t, 1);
  guint n_found = 0;
  gint64 started_at;
  gdouble result;

  for (guint i = 0; i < n_ids[extent]; i++)
    {
      char *id = g_strdup_printf ("%016x", i);

      upstream_connection_add_request (connection, id);
      g_free (id);
    }
  started_at = g_get_monotonic_time ();
  for (guint i = 0; i < N_CHECKS; i++)
    n_found += upstream_connection_has_carried (connection, "dc430fddf79d8d05");
  result = mean_ns (started_at, N_CHECKS);
  g_assert (n_found == 0);
  g_free (connection);
  return result;
}

static gdouble
time_entry (common_extent_t extent)
{
  const guint n_pauses[] = { 0, 1, N_PAUSES };
  anvil_pause_table_t *table = anvil_pause_table_new ();
  guint n_paused = 0;
  gint64 started_at;
  gdouble result;

  for (guint i = 0; i < n_pauses[extent]; i++)
    anvil_pause_table_add (table, NOW, "photos", i, 1, PAUSE_END);
  started_at = g_get_monotonic_time ();
  for (guint i = 0; i < N_CHECKS; i++)
    n_paused += anvil_pause_table_remaining (table, NOW, i % (2 * N_PAUSES), 1) > 0;
  result = mean_ns (started_at, N_CHECKS);
  g_assert ((n_paused > 0) == (extent != COMMON_EXTENT_NONE));
  anvil_pause_table_drop (table);
  return result;
}

typedef struct
{
  anvil_dispatcher_t *dispatcher;
  guint n_granted;
  guint n_refused;
} holder_t;

static void
on_grant (void *context, anvil_task_id_t id, const anvil_slot_grant_t *grant)
{
  ((holder_t *) context)->n_granted++;
}

static void
on_refuse (void *context, anvil_task_id_t id, const anvil_task_refusal_info_t *refused)
{
  ((holder_t *) context)->n_refused++;
}

static void
holder_open (holder_t *holder)
{
  const anvil_dispatcher_limits_t limits = { .retry_window = 10 * ANVIL_SECOND };
  const anvil_dispatcher_callbacks_t callbacks = { .grant = on_grant, .refuse = on_refuse };
  const anvil_service_t photos = { .name = "photos" };

  *holder = (holder_t){ 0 };
  holder->dispatcher = anvil_dispatcher_new (&limits, &callbacks, holder);
  anvil_dispatcher_set_service (holder->dispatcher, &photos);
  for (guint i = 1; i <= N_UPSTREAMS; i++)
    {
      const anvil_registered_upstream_t upstream = { .key = i,
                                                     .id = (char *) "u",
                                                     .service = (char *) "photos",
                                                     .zone = (char *) "west-a",
                                                     .slots = N_SLOTS };

      anvil_dispatcher_update_upstream (holder->dispatcher, NOW, &upstream, anvil_str ("west"),
                                        ANVIL_REGISTRY_JOINED);
    }
}

static void
submit (holder_t *holder, anvil_node_t requester, guint64 number)
{
  const anvil_task_t task = { .id = { .requester = requester, .number = number },
                              .service = anvil_str ("photos"),
                              .region = anvil_str ("west"),
                              .zone = anvil_str ("west-a"),
                              .attempt = 1,
                              .target = DEADLINE,
                              .deadline = DEADLINE };

  anvil_dispatcher_submit (holder->dispatcher, NOW, &task);
}

static void
pause_upstreams (holder_t *holder, guint n_upstreams, guint n_entries)
{
  for (guint64 key = 1; key <= n_upstreams; key++)
    for (guint i = 0; i < n_entries; i++)
      anvil_dispatcher_pause_upstream (holder->dispatcher, NOW, key, 0,
                                       i == 0 ? REQUESTER : OTHER_REQUESTER + i, PAUSE_END);
}

static gdouble
time_dispatch (common_extent_t extent)
{
  const guint n_upstreams[] = { 0, 1, N_UPSTREAMS - 1 };
  const guint n_entries[] = { 0, 1, N_ENTRIES };
  const anvil_run_report_t report = { .result = ANVIL_RUN_ANSWERED, .duration = 10 * ANVIL_MS };
  holder_t holder;
  gint64 started_at;
  gdouble result;

  holder_open (&holder);
  pause_upstreams (&holder, n_upstreams[extent], n_entries[extent]);
  started_at = g_get_monotonic_time ();
  for (guint i = 0; i < N_TASKS; i++)
    {
      const anvil_task_id_t id = { .requester = REQUESTER, .number = i };

      submit (&holder, REQUESTER, i);
      anvil_dispatcher_run_finished (holder.dispatcher, NOW, id, &report);
    }
  result = mean_ns (started_at, N_TASKS);
  g_assert (holder.n_granted == N_TASKS);
  anvil_dispatcher_drop (holder.dispatcher);
  return result;
}

static gdouble
time_tick (common_extent_t extent)
{
  const guint n_upstreams[] = { 0, 1, N_UPSTREAMS };
  const guint n_running = extent == COMMON_EXTENT_MANY ? 0 : N_UPSTREAMS * N_SLOTS;
  holder_t holder;
  gint64 started_at;
  gdouble result;

  holder_open (&holder);
  for (guint i = 0; i < n_running; i++)
    submit (&holder, OTHER_REQUESTER, i);
  pause_upstreams (&holder, n_upstreams[extent], 1);
  for (guint i = 0; i < N_QUEUED; i++)
    submit (&holder, REQUESTER, i);
  started_at = g_get_monotonic_time ();
  for (guint i = 0; i < N_TICKS; i++)
    anvil_dispatcher_tick (holder.dispatcher, NOW + i * ANVIL_DISPATCHER_TICK_INTERVAL);
  result = mean_ns (started_at, N_TICKS);
  g_assert (holder.n_granted == n_running && holder.n_refused == 0);
  anvil_dispatcher_drop (holder.dispatcher);
  return result;
}

common_path_cost_t
common_path_cost (common_extent_t extent)
{
  return (common_path_cost_t){ .connection_ns = time_connection (extent),
                               .entry_ns = time_entry (extent),
                               .dispatch_ns = time_dispatch (extent),
                               .tick_ns = time_tick (extent) };
}
