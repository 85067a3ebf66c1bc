#include "relay/process-usage.h"

#include <unistd.h>

void
anvil_process_usage_tick (anvil_process_usage_t *usage, anvil_time_t now, anvil_time_t interval)
{
  if (usage->last_tick > 0)
    usage->max_loop_delay = MAX (usage->max_loop_delay, now - usage->last_tick - interval);
  usage->last_tick = now;
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
  usage->max_loop_delay = 0;
}
