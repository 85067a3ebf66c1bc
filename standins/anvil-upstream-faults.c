#include "anvil-upstream-faults.h"

#include <string.h>

#define MAX_SLOW_FACTOR 1000
#define MAX_RUNNING 100000

static gboolean
load_flag (const json_t *value, gboolean *flag)
{
  *flag = json_is_true (value);
  return json_is_boolean (value);
}

static gboolean
load_percent (const json_t *value, guint *percent)
{
  json_int_t number = json_integer_value (value);

  *percent = (guint) number;
  return json_is_integer (value) && number >= 0 && number <= 100;
}

static gboolean
load_factor (const json_t *value, gdouble *factor)
{
  *factor = json_number_value (value);
  return json_is_number (value) && *factor > 0 && *factor <= MAX_SLOW_FACTOR;
}

static gboolean
load_running (const json_t *value, gint *running)
{
  json_int_t number = json_integer_value (value);

  *running = json_is_null (value) ? UPSTREAM_REPORT_ACTUAL_RUNNING : (gint) number;
  return json_is_null (value)
         || (json_is_integer (value) && number >= UPSTREAM_REPORT_ACTUAL_RUNNING
             && number <= MAX_RUNNING);
}

gboolean
upstream_faults_parse (upstream_faults_t *faults,
                       const json_t *json,
                       gboolean *restart,
                       gboolean *mark)
{
  upstream_faults_t next = *faults;
  const struct
  {
    const char *name;
    gboolean *flag;
  } flags[] = {
    { "shed", &next.shed }, { "drain", &next.drain }, { "dead", &next.dead },
    { "sick", &next.sick }, { "restart", restart },   { "freeze_load", &next.freeze_load },
    { "mark", mark },
  };
  const char *name;
  json_t *value;

  *restart = FALSE;
  *mark = FALSE;
  if (!json_is_object (json))
    return FALSE;
  json_object_foreach ((json_t *) json, name, value)
  {
    gboolean known = FALSE;

    for (gsize i = 0; i < G_N_ELEMENTS (flags) && !known; i++)
      known = strcmp (name, flags[i].name) == 0 && load_flag (value, flags[i].flag);
    if (strcmp (name, "slow_factor") == 0)
      known = load_factor (value, &next.slow_factor);
    else if (strcmp (name, "lie_running") == 0)
      known = load_running (value, &next.lie_running);
    else if (strcmp (name, "truncate_percent") == 0)
      known = load_percent (value, &next.truncate_percent);
    else if (strcmp (name, "close_percent") == 0)
      known = load_percent (value, &next.close_percent);
    if (!known)
      return FALSE;
  }
  *faults = next;
  return TRUE;
}
