#include "seat-task.h"

#include "anvil/log.h"
#include "seat-record.h"

struct anvil_seat_task
{
  anvil_platform_t *platform;
  anvil_steer_t *steer;
  anvil_metrics_t *metrics;
  gboolean reading;
};

/* A write in progress and the row that it writes. */
typedef struct
{
  anvil_seat_task_t *task;
  anvil_seat_row_t next;
} seat_write_t;

anvil_seat_task_t *
anvil_seat_task_new (anvil_platform_t *platform, anvil_steer_t *steer, anvil_metrics_t *metrics)
{
  anvil_seat_task_t *task = g_new0 (anvil_seat_task_t, 1);

  task->platform = platform;
  task->steer = steer;
  task->metrics = metrics;
  return task;
}

void
anvil_seat_task_drop (anvil_seat_task_t *task)
{
  g_free (task);
}

static void
on_rows (void *context, const anvil_row_t *rows, guint n_rows, const GError *error)
{
  anvil_seat_task_t *task = context;
  anvil_seat_row_t *seats;
  guint n_seats = 0;

  task->reading = FALSE;
  if (error != NULL)
    {
      anvil_metrics_add_counter (task->metrics, "anvil_platform_failures_total", "call=\"seats\"",
                                 1);
      return;
    }
  seats = g_new0 (anvil_seat_row_t, n_rows + 1);
  for (guint i = 0; i < n_rows; i++)
    {
      GError *row_error = NULL;

      if (anvil_seat_record_parse (&rows[i], &seats[n_seats], &row_error))
        n_seats++;
      else
        anvil_log (ANVIL_LOG_ERROR, "seat", "ignoring invalid row error=\"%s\"",
                   row_error->message);
      g_clear_error (&row_error);
    }
  anvil_steer_rows_read (task->steer, anvil_clock_now (), seats, n_seats);
  g_free (seats);
}

void
anvil_seat_task_read (anvil_seat_task_t *task)
{
  if (task->reading)
    return;
  task->reading = TRUE;
  anvil_platform_read_rows (task->platform, "seat/", on_rows, task);
}

/* A write that was certainly not done is reported as unknown too, because the core then reads the
 * rows again. */
static anvil_row_result_t
to_row_result (anvil_commit_result_t result)
{
  switch (result)
    {
    case ANVIL_COMMIT_DONE:
      return ANVIL_ROW_WRITTEN;
    case ANVIL_COMMIT_CONFLICT:
      return ANVIL_ROW_CONFLICT;
    case ANVIL_COMMIT_NOT_DONE:
    case ANVIL_COMMIT_UNKNOWN:
      return ANVIL_ROW_UNKNOWN;
    }
  return ANVIL_ROW_UNKNOWN;
}

static void
on_written (void *context, anvil_commit_result_t result, const GError *error)
{
  seat_write_t *write = context;
  anvil_seat_task_t *task = write->task;

  if (result != ANVIL_COMMIT_DONE && result != ANVIL_COMMIT_CONFLICT)
    anvil_metrics_add_counter (task->metrics, "anvil_platform_failures_total",
                               "call=\"seat-write\"", 1);
  anvil_steer_row_written (task->steer, anvil_clock_now (), &write->next, to_row_result (result));
  g_free (write);
}

void
anvil_seat_task_write (anvil_seat_task_t *task, const anvil_seat_row_t *next)
{
  seat_write_t *write = g_new (seat_write_t, 1);
  char *key = anvil_seat_record_key (next->seat);
  char *value = anvil_seat_record_value (next);
  anvil_row_t condition = { .key = anvil_str (key), .version = next->epoch - 1 };
  anvil_row_t row = { .key = anvil_str (key), .value = anvil_str (value) };

  *write = (seat_write_t){ .task = task, .next = *next };
  anvil_log (ANVIL_LOG_INFO, "seat", "writing row seat=%u epoch=%" G_GUINT64_FORMAT, next->seat,
             next->epoch);
  anvil_platform_commit (task->platform, &condition, 1, &row, 1, on_written, write);
  free (value);
  g_free (key);
}
