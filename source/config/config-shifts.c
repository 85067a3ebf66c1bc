#include "config/config-check.h"

static const config_range_t percent_range = { 1, 100, "per cent" };
static const config_range_t mbit_range = { 1, 10000000, "Mbit/s" };
static const config_range_t requests_range = { 1, 10000000, "requests/s" };
static const config_range_t ramp_range = { 0, 86400, "s" };

#define BITS_PER_MBIT 1000000

static gboolean
parse_halves (config_check_t *check, const file_shift_t *raw, anvil_shift_t *shift)
{
  if (!anvil_config_resolve_half (check, "from", raw->from, &shift->from)
      || !anvil_config_resolve_half (check, "to", raw->to, &shift->to))
    return FALSE;
  if (shift->from == shift->to)
    return anvil_config_report_error (
        check, "to", "half \"%s\" is also the source, expected two halves", raw->to);
  return TRUE;
}

/* All shifts of a service together can't take more from a half than its share. */
static gboolean
parse_percent (config_check_t *check, const file_shift_t *raw, anvil_shift_t *shift)
{
  const anvil_config_t *config = check->config;
  guint left = config->services[shift->service].half_percents[shift->from];
  gint64 percent;

  if (!anvil_config_parse_number (check, "percent", raw->percent, &percent_range, &percent))
    return FALSE;
  for (guint i = 0; i < config->n_shifts; i++)
    {
      const anvil_shift_t *other = &config->shifts[i];

      if (other->service == shift->service && other->from == shift->from)
        left -= other->percent;
    }
  if (percent > left)
    return anvil_config_report_error (check, "percent",
                                      "%" G_GINT64_FORMAT
                                      " per cent of \"%s\" from half \"%s\", expected at "
                                      "most the %u that it has left",
                                      percent, raw->service, raw->from, left);
  shift->percent = (guint) percent;
  return TRUE;
}

static gboolean
parse_cap (config_check_t *check, const file_shift_t *raw, anvil_shift_t *shift)
{
  gint64 cap;

  if ((raw->cap_mbit_per_s == NULL) == (raw->cap_requests_per_s == NULL))
    return anvil_config_report_error (
        check, raw->cap_mbit_per_s == NULL ? NULL : "cap_requests_per_s",
        "%s cap, expected exactly one of cap_mbit_per_s and cap_requests_per_s",
        raw->cap_mbit_per_s == NULL ? "no" : "a second");
  if (raw->cap_mbit_per_s != NULL)
    {
      if (!anvil_config_parse_number (check, "cap_mbit_per_s", raw->cap_mbit_per_s, &mbit_range,
                                      &cap))
        return FALSE;
      shift->cap_bits_per_s = cap * BITS_PER_MBIT;
      return TRUE;
    }
  return anvil_config_parse_number (check, "cap_requests_per_s", raw->cap_requests_per_s,
                                    &requests_range, &shift->cap_requests_per_s);
}

static gboolean
check_target_has_upstream (config_check_t *check,
                           const file_shift_t *raw,
                           const anvil_shift_t *shift)
{
  const anvil_config_t *config = check->config;

  for (guint i = 0; i < config->n_upstreams; i++)
    {
      const anvil_upstream_t *upstream = &config->upstreams[i];

      if (upstream->service == shift->service && upstream->half == shift->to && !upstream->draining)
        return TRUE;
    }
  return anvil_config_report_error (
      check, "to", "half \"%s\" has no upstream of \"%s\" that accepts requests, expected one",
      raw->to, raw->service);
}

static gboolean
build_shift (config_check_t *check, guint index)
{
  const file_shift_t *raw = &check->raw->shifts[index];
  anvil_shift_t *shift = &check->config->shifts[index];
  gint64 ramp_s;

  anvil_config_set_item (check, "shifts[%u]", index);
  if (!anvil_config_parse_name (check, "name", raw->name, &shift->name)
      || !anvil_config_check_unique (check, "name", "shift", raw->name)
      || !anvil_config_resolve_service (check, "service", raw->service, &shift->service)
      || !parse_halves (check, raw, shift) || !parse_percent (check, raw, shift)
      || !parse_cap (check, raw, shift) || !check_target_has_upstream (check, raw, shift)
      || !anvil_config_parse_number (check, "ramp_s", raw->ramp_s, &ramp_range, &ramp_s))
    return FALSE;
  shift->ramp = ramp_s * ANVIL_SECOND;
  check->config->n_shifts++;
  return TRUE;
}

gboolean
anvil_config_build_shifts (config_check_t *check)
{
  check->config->shifts = g_new0 (anvil_shift_t, check->raw->n_shifts);
  for (guint i = 0; i < check->raw->n_shifts; i++)
    {
      if (!build_shift (check, i))
        return FALSE;
    }
  return TRUE;
}
