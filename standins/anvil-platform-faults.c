#include "anvil-platform-faults.h"

#include <string.h>

#define MAX_TIME_MS 600000

static gboolean
parse_flag (const json_t *value, gboolean *flag)
{
  if (!json_is_boolean (value))
    return FALSE;
  *flag = json_is_true (value);
  return TRUE;
}

static gboolean
parse_time (const json_t *value, anvil_time_t *time)
{
  json_int_t ms = json_integer_value (value);

  if (!json_is_integer (value) || ms < 0 || ms > MAX_TIME_MS)
    return FALSE;
  *time = ms * ANVIL_MS;
  return TRUE;
}

static gboolean
parse_percent (const json_t *value, guint *percent)
{
  json_int_t number = json_integer_value (value);

  if (!json_is_integer (value) || number < 0 || number > 100)
    return FALSE;
  *percent = (guint) number;
  return TRUE;
}

static gboolean
parse_fault (platform_faults_t *faults, const char *name, const json_t *value)
{
  if (strcmp (name, "down") == 0)
    return parse_flag (value, &faults->down);
  if (strcmp (name, "freeze_vms") == 0)
    return parse_flag (value, &faults->freeze_vms);
  if (strcmp (name, "delay_ms") == 0)
    return parse_time (value, &faults->delay);
  if (strcmp (name, "vm_lag_ms") == 0)
    return parse_time (value, &faults->vm_lag);
  if (strcmp (name, "lose_answers_percent") == 0)
    return parse_percent (value, &faults->lose_answers_percent);
  if (strcmp (name, "lose_requests_percent") == 0)
    return parse_percent (value, &faults->lose_requests_percent);
  return FALSE;
}

gboolean
platform_faults_parse (platform_faults_t *faults, const json_t *json)
{
  platform_faults_t parsed = *faults;
  const char *name;
  json_t *value;

  if (!json_is_object (json))
    return FALSE;
  json_object_foreach ((json_t *) json, name, value)
  {
    if (!parse_fault (&parsed, name, value))
      return FALSE;
  }
  *faults = parsed;
  return TRUE;
}
