#include "fake-clock.h"

typedef struct
{
  anvil_time_t when;
  guint64 sequence;
  fake_timer_cb_t run;
  void *context;
  void *data;
  GDestroyNotify drop;
} due_t;

struct fake_clock
{
  anvil_time_t now;
  guint64 sequence;
  GArray *heap;
};

static due_t *
due_at (const fake_clock_t *clock, guint index)
{
  return &g_array_index (clock->heap, due_t, index);
}

static gboolean
due_before (const due_t *a, const due_t *b)
{
  return a->when != b->when ? a->when < b->when : a->sequence < b->sequence;
}

static void
swap_due (fake_clock_t *clock, guint a, guint b)
{
  due_t kept = *due_at (clock, a);

  *due_at (clock, a) = *due_at (clock, b);
  *due_at (clock, b) = kept;
}

static void
sift_up (fake_clock_t *clock, guint index)
{
  while (index > 0 && due_before (due_at (clock, index), due_at (clock, (index - 1) / 2)))
    {
      swap_due (clock, index, (index - 1) / 2);
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
          && due_before (due_at (clock, child + 1), due_at (clock, child)))
        child++;
      if (!due_before (due_at (clock, child), due_at (clock, index)))
        return;
      swap_due (clock, index, child);
      index = child;
    }
}

static due_t
pop_due (fake_clock_t *clock)
{
  due_t first = *due_at (clock, 0);

  swap_due (clock, 0, clock->heap->len - 1);
  g_array_set_size (clock->heap, clock->heap->len - 1);
  sift_down (clock);
  return first;
}

fake_clock_t *
fake_clock_new (void)
{
  fake_clock_t *clock = g_new0 (fake_clock_t, 1);

  clock->heap = g_array_new (FALSE, FALSE, sizeof (due_t));
  return clock;
}

void
fake_clock_drop (fake_clock_t *clock)
{
  if (clock == NULL)
    return;
  for (guint i = 0; i < clock->heap->len; i++)
    if (due_at (clock, i)->drop != NULL)
      due_at (clock, i)->drop (due_at (clock, i)->data);
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
                     fake_timer_cb_t run,
                     void *context,
                     void *data,
                     GDestroyNotify drop)
{
  due_t due = { .when = MAX (when, clock->now),
                .sequence = clock->sequence++,
                .run = run,
                .context = context,
                .data = data,
                .drop = drop };

  g_array_append_val (clock->heap, due);
  sift_up (clock, clock->heap->len - 1);
}

void
fake_clock_advance (fake_clock_t *clock, anvil_time_t until)
{
  while (clock->heap->len > 0 && due_at (clock, 0)->when <= until)
    {
      due_t due = pop_due (clock);

      clock->now = due.when;
      due.run (due.context, due.data);
      if (due.drop != NULL)
        due.drop (due.data);
    }
  clock->now = until;
}
