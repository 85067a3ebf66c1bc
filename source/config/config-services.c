#include <string.h>

#include "config/config-check.h"

static const config_range_t percent_range = { 0, 100, "per cent" };
static const config_range_t deadline_range = { 1, 600000, "ms" };
static const config_range_t queue_range = { 0, 100000, "requests" };
static const config_range_t kb_range = { 1, 1000000, "KB of 1000 bytes" };

#define BYTES_PER_KB 1000
#define BITS_PER_KB 8000
#define MAX_HOST_BYTES 253

static gboolean
is_host (const char *text)
{
  gsize length = strlen (text);

  if (length == 0 || length > MAX_HOST_BYTES || text[0] == '.' || text[length - 1] == '.')
    return FALSE;
  for (const char *c = text; *c != '\0'; c++)
    {
      if (!g_ascii_islower (*c) && !g_ascii_isdigit (*c) && *c != '-' && *c != '.')
        return FALSE;
    }
  return TRUE;
}

static gboolean
build_hosts (config_check_t *check, const file_service_t *raw, anvil_service_t *service)
{
  service->hosts = g_new0 (anvil_str_t, raw->n_hosts);
  service->n_hosts = raw->n_hosts;
  for (guint i = 0; i < raw->n_hosts; i++)
    {
      char field[sizeof "hosts[4294967295]"];

      g_snprintf (field, sizeof field, "hosts[%u]", i);
      if (!is_host (raw->hosts[i]))
        return anvil_config_report_error (
            check, field,
            "invalid host name, expected lower-case letters, digits, dots and "
            "hyphens, at most %d bytes",
            MAX_HOST_BYTES);
      if (!anvil_config_check_unique (check, field, "host", raw->hosts[i]))
        return FALSE;
      service->hosts[i] = anvil_config_copy_text (check, raw->hosts[i]);
    }
  return TRUE;
}

static gboolean
parse_share (config_check_t *check,
             const file_share_t *raw,
             guint index,
             gboolean *given,
             anvil_service_t *service)
{
  char half_field[sizeof "shares[4294967295].half"];
  char percent_field[sizeof "shares[4294967295].percent"];
  gint64 percent;
  guint half;

  g_snprintf (half_field, sizeof half_field, "shares[%u].half", index);
  g_snprintf (percent_field, sizeof percent_field, "shares[%u].percent", index);
  if (!anvil_config_resolve_half (check, half_field, raw->half, &half))
    return FALSE;
  if (given[half])
    return anvil_config_report_error (check, half_field,
                                      "half \"%s\" is listed twice, expected once", raw->half);
  if (!anvil_config_parse_number (check, percent_field, raw->percent, &percent_range, &percent))
    return FALSE;
  given[half] = TRUE;
  service->half_percents[half] = (guint) percent;
  return TRUE;
}

/* The owner gets what is left of 100 per cent; if its share is given, the sum must be 100. */
static gboolean
build_shares (config_check_t *check, const file_service_t *raw, anvil_service_t *service)
{
  gboolean given[CONFIG_MAX_HALVES] = { FALSE };
  guint sum = 0;

  service->half_percents = g_new0 (guint, check->config->n_halves);
  for (guint i = 0; i < raw->n_shares; i++)
    {
      if (!parse_share (check, &raw->shares[i], i, given, service))
        return FALSE;
    }
  for (guint i = 0; i < check->config->n_halves; i++)
    sum += service->half_percents[i];

  if (given[service->owner] && sum != 100)
    return anvil_config_report_error (check, "shares", "sum is %u per cent, expected 100", sum);
  if (sum > 100)
    return anvil_config_report_error (check, "shares", "sum is %u per cent, expected at most 100",
                                      sum);
  service->half_percents[service->owner] += 100 - sum;
  return TRUE;
}

static gboolean
build_numbers (config_check_t *check, const file_service_t *raw, anvil_service_t *service)
{
  gint64 deadline_ms;
  gint64 queue;
  gint64 request_kb;
  gint64 response_kb;
  gint64 max_request_kb;

  if (!anvil_config_parse_number (check, "deadline_ms", raw->deadline_ms, &deadline_range,
                                  &deadline_ms)
      || !anvil_config_parse_number (check, "queue", raw->queue, &queue_range, &queue)
      || !anvil_config_parse_number (check, "request_kb", raw->request_kb, &kb_range, &request_kb)
      || !anvil_config_parse_number (check, "response_kb", raw->response_kb, &kb_range,
                                     &response_kb)
      || !anvil_config_parse_number (check, "max_request_kb", raw->max_request_kb, &kb_range,
                                     &max_request_kb))
    return FALSE;
  if (max_request_kb < request_kb)
    return anvil_config_report_error (
        check, "max_request_kb",
        "%" G_GINT64_FORMAT " KB, expected at least the %" G_GINT64_FORMAT " KB of request_kb",
        max_request_kb, request_kb);
  service->deadline = deadline_ms * ANVIL_MS;
  service->max_queued = (guint) queue;
  service->request_bits = request_kb * BITS_PER_KB;
  service->response_bits = response_kb * BITS_PER_KB;
  service->max_request_bytes = max_request_kb * BYTES_PER_KB;
  return TRUE;
}

static gboolean
parse_preference (config_check_t *check, const char *text, anvil_preference_t *prefer)
{
  *prefer = strcmp (text, "headroom") == 0 ? ANVIL_PREFER_HEADROOM : ANVIL_PREFER_LATENCY;
  if (*prefer == ANVIL_PREFER_HEADROOM || strcmp (text, "latency") == 0)
    return TRUE;
  return anvil_config_report_error (check, "prefer",
                                    "unknown preference, expected latency or headroom");
}

static gboolean
build_service (config_check_t *check, guint index)
{
  const file_service_t *raw = &check->raw->services[index];
  anvil_service_t *service = &check->config->services[index];

  anvil_config_set_item (check, "services[%u]", index);
  check->config->n_services++;
  return anvil_config_parse_name (check, "name", raw->name, &service->name)
         && anvil_config_check_unique (check, "name", "service", raw->name)
         && anvil_config_check_unique (check, "name", "host", raw->name)
         && build_hosts (check, raw, service)
         && anvil_config_resolve_half (check, "owner", raw->owner, &service->owner)
         && build_shares (check, raw, service)
         && anvil_config_parse_bool (check, "idempotent", raw->idempotent, &service->idempotent)
         && build_numbers (check, raw, service)
         && parse_preference (check, raw->prefer, &service->preference);
}

gboolean
anvil_config_build_services (config_check_t *check)
{
  check->config->services = g_new0 (anvil_service_t, check->raw->n_services);
  for (guint i = 0; i < check->raw->n_services; i++)
    {
      if (!build_service (check, i))
        return FALSE;
    }
  return TRUE;
}
