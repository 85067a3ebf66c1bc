#include "fake-clock.h"

typedef struct
{
  anvil_time_t when;
  guint64 sequence;
  fake_timer_cb_t callback;
  void *context;
  void *data;
  GDestroyNotify drop;
} fake_timer_t;

struct fake_clock
{
  anvil_time_t now;
  guint64 sequence;
  GArray *heap;
};

static fake_timer_t *
timer_at (const fake_clock_t *clock, guint index)
{
  return &g_array_index (clock->heap, fake_timer_t, index);
}

static gboolean
timer_before (const fake_timer_t *a, const fake_timer_t *b)
{
  return a->when != b->when ? a->when < b->when : a->sequence < b->sequence;
}

static void
swap_timers (fake_clock_t *clock, guint a, guint b)
{
  fake_timer_t saved = *timer_at (clock, a);

  *timer_at (clock, a) = *timer_at (clock, b);
  *timer_at (clock, b) = saved;
}

static void
sift_up (fake_clock_t *clock, guint index)
{
  while (index > 0 && timer_before (timer_at (clock, index), timer_at (clock, (index - 1) / 2)))
    {
      swap_timers (clock, index, (index - 1) / 2);
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
          && timer_before (timer_at (clock, child + 1), timer_at (clock, child)))
        child++;
      if (!timer_before (timer_at (clock, child), timer_at (clock, index)))
        return;
      swap_timers (clock, index, child);
      index = child;
    }
}

static fake_timer_t
pop_timer (fake_clock_t *clock)
{
  fake_timer_t first = *timer_at (clock, 0);

  swap_timers (clock, 0, clock->heap->len - 1);
  g_array_set_size (clock->heap, clock->heap->len - 1);
  sift_down (clock);
  return first;
}

fake_clock_t *
fake_clock_new (void)
{
  fake_clock_t *clock = g_new0 (fake_clock_t, 1);

  clock->heap = g_array_new (FALSE, FALSE, sizeof (fake_timer_t));
  return clock;
}

void
fake_clock_drop (fake_clock_t *clock)
{
  if (clock == NULL)
    return;
  for (guint i = 0; i < clock->heap->len; i++)
    if (timer_at (clock, i)->drop != NULL)
      timer_at (clock, i)->drop (timer_at (clock, i)->data);
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
  fake_timer_t timer = { .when = MAX (when, clock->now),
                         .sequence = clock->sequence++,
                         .callback = callback,
                         .context = context,
                         .data = data,
                         .drop = drop };

  g_array_append_val (clock->heap, timer);
  sift_up (clock, clock->heap->len - 1);
}

void
fake_clock_advance (fake_clock_t *clock, anvil_time_t until)
{
  while (clock->heap->len > 0 && timer_at (clock, 0)->when <= until)
    {
      fake_timer_t timer = pop_timer (clock);

      clock->now = timer.when;
      timer.callback (timer.context, timer.data);
      if (timer.drop != NULL)
        timer.drop (timer.data);
    }
  clock->now = until;
}
