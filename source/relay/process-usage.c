#include "relay/process-usage.h"

#include <unistd.h>

#include "anvil/log.h"

/* Delay of the event loop is averaged over this time. */
#define DELAY_PERIOD (250 * ANVIL_MS)
/* With more delay on average, requests wait noticeably for the processor at each of their steps. */
#define MAX_AVERAGE_DELAY (10 * ANVIL_MS)
/* How much of what is accepted is declined after a late period, and how much of all is accepted
 * again after another one, thousandths. */
#define DECLINE_STEP 600u
#define ACCEPT_STEP 20u

/* FALSE if the period wasn't late. */
static gboolean
adjust_declined_share (anvil_process_usage_t *usage, anvil_time_t average)
{
  const guint accepted = ANVIL_FULL_DECLINED_SHARE - usage->declined_share;

  if (average <= MAX_AVERAGE_DELAY)
    {
      usage->declined_share -= MIN (usage->declined_share, ACCEPT_STEP);
      return FALSE;
    }
  usage->declined_share += accepted * DECLINE_STEP / ANVIL_FULL_DECLINED_SHARE;
  anvil_log (ANVIL_LOG_NOTICE, "usage",
             "event loop is late average_delay_us=%" G_GINT64_FORMAT " declined_share=%u", average,
             usage->declined_share);
  return TRUE;
}

gboolean
anvil_process_usage_tick (anvil_process_usage_t *usage, anvil_time_t now, anvil_time_t interval)
{
  const anvil_time_t delay = usage->last_tick > 0 ? now - usage->last_tick - interval : 0;
  gboolean was_late;

  usage->last_tick = now;
  usage->max_loop_delay = MAX (usage->max_loop_delay, delay);
  usage->period_delay += MAX (delay, 0);
  usage->n_ticks++;
  if (now - usage->period_started_at < DELAY_PERIOD)
    return FALSE;
  was_late = adjust_declined_share (usage, usage->period_delay / usage->n_ticks);
  usage->period_started_at = now;
  usage->period_delay = 0;
  usage->n_ticks = 0;
  return was_late;
}

/* Resident set in bytes, or -1 if it can't be read. */
static gdouble
resident_bytes (void)
{
  char *text = NULL;
  char **fields;
  gdouble bytes = -1;

  if (!g_file_get_contents ("/proc/self/statm", &text, NULL, NULL))
    return -1;
  fields = g_strsplit (text, " ", 3);
  if (fields[0] != NULL && fields[1] != NULL)
    bytes = g_ascii_strtod (fields[1], NULL) * (gdouble) sysconf (_SC_PAGESIZE);
  g_strfreev (fields);
  g_free (text);
  return bytes;
}

/* Descriptors in use, or -1 if they can't be counted. */
static gdouble
count_descriptors (void)
{
  GDir *directory = g_dir_open ("/proc/self/fd", 0, NULL);
  gdouble n = 0;

  if (directory == NULL)
    return -1;
  while (g_dir_read_name (directory) != NULL)
    n++;
  g_dir_close (directory);
  /* Without the descriptor of the directory itself. */
  return n - 1;
}

void
anvil_process_usage_update_metrics (anvil_process_usage_t *usage, anvil_metrics_t *metrics)
{
  anvil_metrics_set_gauge (metrics, "anvil_resident_bytes", "", resident_bytes ());
  anvil_metrics_set_gauge (metrics, "anvil_descriptors", "", count_descriptors ());
  anvil_metrics_set_gauge (metrics, "anvil_loop_delay_seconds", "",
                           (gdouble) usage->max_loop_delay / (gdouble) ANVIL_SECOND);
  anvil_metrics_set_gauge (metrics, "anvil_declined_share", "",
                           (gdouble) usage->declined_share / ANVIL_FULL_DECLINED_SHARE);
  usage->max_loop_delay = 0;
}
