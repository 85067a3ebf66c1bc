/* Measures the time of one decision in real time, without a network. */

#include "common-decision.h"

#include "anvil/steer.h"

#define NODE anvil_node (0x7f000001u, 7000)
/* Time for a single entry to acquire its seat, and for leases of earlier holders to expire. */
#define STARTUP_TIME (60 * ANVIL_SECOND)
#define CLIENT_ADDRESS 0x7f020101u
#define BATCH_SIZE 16
#define TICKS_BETWEEN_BATCHES 6

typedef struct
{
  anvil_steer_t *steer;
  anvil_time_t now;
  GArray *rows;
  GQueue pending_writes;
  gboolean read_requested;
  guint64 dispatched;
} bench_core_t;

static void
ignore_send (void *context, anvil_node_t to, const anvil_message_t *message)
{
}

static void
on_read_rows (void *context)
{
  ((bench_core_t *) context)->read_requested = TRUE;
}

static void
on_write_row (void *context, const anvil_seat_row_t *next)
{
  g_queue_push_tail (&((bench_core_t *) context)->pending_writes, g_memdup2 (next, sizeof *next));
}

static void
on_dispatch (void *context, const anvil_request_t *request, const anvil_dispatch_t *dispatch)
{
  ((bench_core_t *) context)->dispatched = request->id;
}

static void
ignore_finish (void *context, guint64 request, anvil_attempt_result_t result)
{
}

static void
ignore_refuse (void *context,
               guint64 request,
               anvil_refusal_reason_t reason,
               anvil_time_t retry_after)
{
}

static void
ignore_fetch_config (void *context, guint64 generation, anvil_node_t peer)
{
}

static const anvil_steer_callbacks_t callbacks = {
  .send = ignore_send,
  .read_rows = on_read_rows,
  .write_row = on_write_row,
  .dispatch = on_dispatch,
  .finish = ignore_finish,
  .refuse = ignore_refuse,
  .fetch_config = ignore_fetch_config,
};

static void
serve_store (bench_core_t *core)
{
  if (core->read_requested)
    anvil_steer_rows_read (core->steer, core->now,
                           (const anvil_seat_row_t *) (gpointer) core->rows->data, core->rows->len);
  core->read_requested = FALSE;
  while (!g_queue_is_empty (&core->pending_writes))
    {
      anvil_seat_row_t *row = g_queue_pop_head (&core->pending_writes);

      g_array_index (core->rows, anvil_seat_row_t, row->seat) = *row;
      anvil_steer_row_written (core->steer, core->now, row, ANVIL_ROW_WRITTEN);
      g_free (row);
    }
}

static gboolean
decide_once (bench_core_t *core, const anvil_config_t *config, guint64 id)
{
  anvil_request_t request = { .id = id,
                              .service = 0,
                              .client_address = CLIENT_ADDRESS,
                              .idempotent = TRUE,
                              .deadline = core->now + ANVIL_SECOND,
                              .request_bits = config->services[0].request_bits };

  core->dispatched = 0;
  anvil_steer_submit (core->steer, core->now, &request);
  if (core->dispatched != id)
    return FALSE;
  anvil_steer_attempt_finished (core->steer, core->now, id, ANVIL_ATTEMPT_ANSWERED,
                                config->services[0].response_bits);
  return TRUE;
}

static void
wait_for_seat (bench_core_t *core, const anvil_config_t *config)
{
  anvil_vm_t vm = { .name = anvil_str ("entry-1"),
                    .kind = ANVIL_VM_ENTRY,
                    .zone = config->zones[0].name,
                    .address = anvil_node_address (NODE),
                    .peer_port = anvil_node_port (NODE) };
  anvil_vm_list_t list = { .version = 1, .vms = &vm, .n_vms = 1 };

  anvil_steer_update_vm_list (core->steer, core->now, &list);
  for (anvil_time_t end = core->now + STARTUP_TIME; core->now < end;
       core->now += ANVIL_TICK_INTERVAL)
    {
      anvil_steer_tick (core->steer, core->now);
      serve_store (core);
    }
}

/* Advances time between two batches, so that the seat's lease is renewed and budgets refill. */
static void
advance_time (bench_core_t *core)
{
  for (guint i = 0; i < TICKS_BETWEEN_BATCHES; i++, core->now += ANVIL_TICK_INTERVAL)
    anvil_steer_tick (core->steer, core->now);
}

static gdouble
time_core (bench_core_t *core, const anvil_config_t *config, guint n)
{
  guint64 answered = 0;
  gint64 elapsed_us = 0;

  for (guint i = 0; i < n; i += BATCH_SIZE)
    {
      gint64 started_at;

      advance_time (core);
      started_at = g_get_monotonic_time ();
      for (guint id = i + 1; id <= i + BATCH_SIZE; id++)
        answered += decide_once (core, config, id);
      elapsed_us += g_get_monotonic_time () - started_at;
    }
  if (answered < n / 2)
    g_error ("only %" G_GUINT64_FORMAT " of %u requests were dispatched", answered, n);
  return (gdouble) elapsed_us * 1000 / n;
}

/* Keeps each request until it finishes, as the core has to do. */
static gdouble
time_random (const anvil_config_t *config, guint n)
{
  GHashTable *pending = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  GRand *random = g_rand_new_with_seed (1);
  guint *in_flight = g_new0 (guint, config->n_upstreams);
  gint64 started_at = g_get_monotonic_time ();
  gint64 elapsed_us;

  for (guint i = 1; i <= n; i++)
    {
      anvil_request_t request = { .id = i, .client_address = CLIENT_ADDRESS };
      guint found = 0;
      gint seen = 0;

      for (guint u = 0; u < config->n_upstreams; u++)
        if (config->upstreams[u].service == request.service
            && g_rand_int_range (random, 0, ++seen) == 0)
          found = u;
      in_flight[found]++;
      g_hash_table_insert (pending, GSIZE_TO_POINTER (request.id),
                           g_memdup2 (&request, sizeof request));
      in_flight[found]--;
      g_hash_table_remove (pending, GSIZE_TO_POINTER (request.id));
    }
  elapsed_us = g_get_monotonic_time () - started_at;
  g_free (in_flight);
  g_rand_free (random);
  g_hash_table_destroy (pending);
  return (gdouble) elapsed_us * 1000 / n;
}

common_decision_cost_t
common_decision_cost (anvil_config_t *config, guint n_decisions)
{
  bench_core_t core = { .now = ANVIL_SECOND };
  anvil_steer_options_t options
      = { .node = NODE, .incarnation = 1, .zone = config->zones[0].name, .seed = 1 };
  guint saved_n_seats = config->n_seats;
  common_decision_cost_t cost;

  config->n_seats = 1;
  core.rows = g_array_new (FALSE, TRUE, sizeof (anvil_seat_row_t));
  g_array_set_size (core.rows, 1);
  g_queue_init (&core.pending_writes);
  core.steer = anvil_steer_new (&options, &callbacks, &core);
  anvil_steer_configure (core.steer, core.now, config, 1);
  wait_for_seat (&core, config);
  cost.core_ns = time_core (&core, config, n_decisions);
  cost.random_ns = time_random (config, n_decisions);
  anvil_steer_drop (core.steer);
  g_queue_clear_full (&core.pending_writes, g_free);
  g_array_unref (core.rows);
  config->n_seats = saved_n_seats;
  return cost;
}
