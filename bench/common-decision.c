/* What one decision costs, in real time and without a network. */

#include "common-decision.h"

#include "anvil/steer.h"

#define NODE anvil_node (0x7f000001u, 7000)
/* Until a single entry has its seat and has waited out earlier users. */
#define SETTLE (60 * ANVIL_SECOND)
#define CLIENT 0x7f020101u
#define BATCH 16
#define PAUSE_TICKS 6

typedef struct
{
  anvil_steer_t *steer;
  anvil_time_t now;
  GArray *rows;
  GQueue written;
  gboolean read_asked;
  guint64 dispatched;
} lone_t;

static void
lone_send (void *context, anvil_node_t to, const anvil_message_t *message)
{
}

static void
lone_read_rows (void *context)
{
  ((lone_t *) context)->read_asked = TRUE;
}

static void
lone_write_row (void *context, const anvil_seat_row_t *next)
{
  g_queue_push_tail (&((lone_t *) context)->written, g_memdup2 (next, sizeof *next));
}

static void
lone_dispatch (void *context, const anvil_request_t *request, const anvil_dispatch_t *dispatch)
{
  ((lone_t *) context)->dispatched = request->id;
}

static void
lone_finish (void *context, guint64 request, anvil_attempt_result_t result)
{
}

static void
lone_refuse (void *context, guint64 request, anvil_refusal_reason_t why, anvil_time_t retry_after)
{
}

static void
lone_fetch (void *context, guint64 generation, anvil_node_t peer)
{
}

static const anvil_steer_callbacks_t lone_actions = {
  .send = lone_send,
  .read_rows = lone_read_rows,
  .write_row = lone_write_row,
  .dispatch = lone_dispatch,
  .finish = lone_finish,
  .refuse = lone_refuse,
  .fetch_config = lone_fetch,
};

static void
lone_serve_platform (lone_t *lone)
{
  if (lone->read_asked)
    anvil_steer_rows_read (lone->steer, lone->now,
                           (const anvil_seat_row_t *) (gpointer) lone->rows->data, lone->rows->len);
  lone->read_asked = FALSE;
  while (!g_queue_is_empty (&lone->written))
    {
      anvil_seat_row_t *row = g_queue_pop_head (&lone->written);

      g_array_index (lone->rows, anvil_seat_row_t, row->seat) = *row;
      anvil_steer_row_written (lone->steer, lone->now, row, ANVIL_ROW_WRITTEN);
      g_free (row);
    }
}

static gboolean
decide_once (lone_t *lone, const anvil_config_t *config, guint64 id)
{
  anvil_request_t request = { .id = id,
                              .service = 0,
                              .client_address = CLIENT,
                              .idempotent = TRUE,
                              .deadline = lone->now + ANVIL_SECOND,
                              .request_bits = config->services[0].request_bits };

  lone->dispatched = 0;
  anvil_steer_submit (lone->steer, lone->now, &request);
  if (lone->dispatched != id)
    return FALSE;
  anvil_steer_attempt_finished (lone->steer, lone->now, id, ANVIL_ATTEMPT_ANSWERED,
                                config->services[0].response_bits);
  return TRUE;
}

static void
lone_settle (lone_t *lone, const anvil_config_t *config)
{
  anvil_vm_t vm = { .name = anvil_str ("entry-1"),
                    .kind = ANVIL_VM_ENTRY,
                    .zone = config->zones[0].name,
                    .address = anvil_node_address (NODE),
                    .peer_port = anvil_node_port (NODE) };
  anvil_vm_list_t list = { .version = 1, .vms = &vm, .n_vms = 1 };

  anvil_steer_update_vm_list (lone->steer, lone->now, &list);
  for (anvil_time_t end = lone->now + SETTLE; lone->now < end; lone->now += ANVIL_TICK_INTERVAL)
    {
      anvil_steer_tick (lone->steer, lone->now);
      lone_serve_platform (lone);
    }
}

/* Time goes on between two batches, so that the seat's right and the budgets don't run out. */
static void
lone_pause (lone_t *lone)
{
  for (guint i = 0; i < PAUSE_TICKS; i++, lone->now += ANVIL_TICK_INTERVAL)
    anvil_steer_tick (lone->steer, lone->now);
}

static gdouble
time_core (lone_t *lone, const anvil_config_t *config, guint n)
{
  guint64 answered = 0;
  gint64 took = 0;

  for (guint i = 0; i < n; i += BATCH)
    {
      gint64 begin;

      lone_pause (lone);
      begin = g_get_monotonic_time ();
      for (guint id = i + 1; id <= i + BATCH; id++)
        answered += decide_once (lone, config, id);
      took += g_get_monotonic_time () - begin;
    }
  if (answered < n / 2)
    g_error ("only %" G_GUINT64_FORMAT " of %u requests were dispatched", answered, n);
  return (gdouble) took * 1000 / n;
}

/* A random choice also has to remember its request until the answer. */
static gdouble
time_random (const anvil_config_t *config, guint n)
{
  GHashTable *pending = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  GRand *random = g_rand_new_with_seed (1);
  guint *in_flight = g_new0 (guint, config->n_upstreams);
  gint64 begin = g_get_monotonic_time ();
  gint64 took;

  for (guint i = 1; i <= n; i++)
    {
      anvil_request_t request = { .id = i, .client_address = CLIENT };
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
  took = g_get_monotonic_time () - begin;
  g_free (in_flight);
  g_rand_free (random);
  g_hash_table_destroy (pending);
  return (gdouble) took * 1000 / n;
}

common_decision_cost_t
common_decision_cost (anvil_config_t *config, guint n_decisions)
{
  lone_t lone = { .now = ANVIL_SECOND };
  anvil_steer_options_t options
      = { .node = NODE, .incarnation = 1, .zone = config->zones[0].name, .seed = 1 };
  guint kept_seats = config->n_seats;
  common_decision_cost_t cost;

  config->n_seats = 1;
  lone.rows = g_array_new (FALSE, TRUE, sizeof (anvil_seat_row_t));
  g_array_set_size (lone.rows, 1);
  g_queue_init (&lone.written);
  lone.steer = anvil_steer_new (&options, &lone_actions, &lone);
  anvil_steer_configure (lone.steer, lone.now, config, 1);
  lone_settle (&lone, config);
  cost.core_ns = time_core (&lone, config, n_decisions);
  cost.random_ns = time_random (config, n_decisions);
  anvil_steer_drop (lone.steer);
  g_queue_clear_full (&lone.written, g_free);
  g_array_unref (lone.rows);
  config->n_seats = kept_seats;
  return cost;
}
