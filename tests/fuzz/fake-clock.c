#include "fake-clock.h"

typedef struct
{
  anvil_time_t when;
  guint64 sequence;
  fake_timer_cb_t callback;
  void *context;
  void *data;
  GDestroyNotify drop;
} event_t;

struct fake_clock
{
  anvil_time_t now;
  guint64 sequence;
  GArray *heap;
};

static event_t *
event_at (const fake_clock_t *clock, guint index)
{
  return &g_array_index (clock->heap, event_t, index);
}

static gboolean
event_before (const event_t *a, const event_t *b)
{
  return a->when != b->when ? a->when < b->when : a->sequence < b->sequence;
}

static void
swap_events (fake_clock_t *clock, guint a, guint b)
{
  event_t saved = *event_at (clock, a);

  *event_at (clock, a) = *event_at (clock, b);
  *event_at (clock, b) = saved;
}

static void
sift_up (fake_clock_t *clock, guint index)
{
  while (index > 0 && event_before (event_at (clock, index), event_at (clock, (index - 1) / 2)))
    {
      swap_events (clock, index, (index - 1) / 2);
      index = (index - 1) / 2;
    }
}

static void
sift_down (fake_clock_t *clock)
{
  guint index = 0;

  for (;;)
    {
      guint child = 2 * index + 1;

      if (child >= clock->heap->len)
        return;
      if (child + 1 < clock->heap->len
          && event_before (event_at (clock, child + 1), event_at (clock, child)))
        child++;
      if (!event_before (event_at (clock, child), event_at (clock, index)))
        return;
      swap_events (clock, index, child);
      index = child;
    }
}

static event_t
pop_event (fake_clock_t *clock)
{
  event_t first = *event_at (clock, 0);

  swap_events (clock, 0, clock->heap->len - 1);
  g_array_set_size (clock->heap, clock->heap->len - 1);
  sift_down (clock);
  return first;
}

fake_clock_t *
fake_clock_new (void)
{
  fake_clock_t *clock = g_new0 (fake_clock_t, 1);

  clock->heap = g_array_new (FALSE, FALSE, sizeof (event_t));
  return clock;
}

void
fake_clock_drop (fake_clock_t *clock)
{
  if (clock == NULL)
    return;
  for (guint i = 0; i < clock->heap->len; i++)
    if (event_at (clock, i)->drop != NULL)
      event_at (clock, i)->drop (event_at (clock, i)->data);
  g_array_free (clock->heap, TRUE);
  g_free (clock);
}

anvil_time_t
fake_clock_now (const fake_clock_t *clock)
{
  return clock->now;
}

void
fake_clock_schedule (fake_clock_t *clock,
                     anvil_time_t when,
                     fake_timer_cb_t callback,
                     void *context,
                     void *data,
                     GDestroyNotify drop)
{
  event_t event = { .when = MAX (when, clock->now),
                    .sequence = clock->sequence++,
                    .callback = callback,
                    .context = context,
                    .data = data,
                    .drop = drop };

  g_array_append_val (clock->heap, event);
  sift_up (clock, clock->heap->len - 1);
}

void
fake_clock_advance (fake_clock_t *clock, anvil_time_t until)
{
  while (clock->heap->len > 0 && event_at (clock, 0)->when <= until)
    {
      event_t event = pop_event (clock);

      clock->now = event.when;
      event.callback (event.context, event.data);
      if (event.drop != NULL)
        event.drop (event.data);
    }
  clock->now = until;
}
