#include "anvil-upstream-faults.h"

#include <string.h>

#define MAX_SLOW_FACTOR 1000
#define MAX_RUNNING 100000

static gboolean
parse_flag (const json_t *value, gboolean *flag)
{
  *flag = json_is_true (value);
  return json_is_boolean (value);
}

static gboolean
parse_percent (const json_t *value, guint *percent)
{
  json_int_t number = json_integer_value (value);

  *percent = (guint) number;
  return json_is_integer (value) && number >= 0 && number <= 100;
}

static gboolean
parse_factor (const json_t *value, gdouble *factor)
{
  *factor = json_number_value (value);
  return json_is_number (value) && *factor > 0 && *factor <= MAX_SLOW_FACTOR;
}

static gboolean
parse_running (const json_t *value, gint *running)
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
  upstream_faults_t parsed = *faults;
  const struct
  {
    const char *name;
    gboolean *flag;
  } flags[] = {
    { "shed", &parsed.shed }, { "drain", &parsed.drain }, { "dead", &parsed.dead },
    { "sick", &parsed.sick }, { "restart", restart },     { "freeze_load", &parsed.freeze_load },
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
    gboolean valid = FALSE;

    for (gsize i = 0; i < G_N_ELEMENTS (flags) && !valid; i++)
      valid = strcmp (name, flags[i].name) == 0 && parse_flag (value, flags[i].flag);
    if (strcmp (name, "slow_factor") == 0)
      valid = parse_factor (value, &parsed.slow_factor);
    else if (strcmp (name, "lie_running") == 0)
      valid = parse_running (value, &parsed.lie_running);
    else if (strcmp (name, "truncate_percent") == 0)
      valid = parse_percent (value, &parsed.truncate_percent);
    else if (strcmp (name, "close_percent") == 0)
      valid = parse_percent (value, &parsed.close_percent);
    if (!valid)
      return FALSE;
  }
  *faults = parsed;
  return TRUE;
}
