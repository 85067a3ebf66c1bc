#include "oracle-internal.h"

/**
 * meter_t - leaky bucket that measures the use of one rate limit
 * @rate: units per second
 * @burst: largest permitted @excess
 * @excess: units used above the rate, at @updated_at
 */
typedef struct
{
  gdouble rate;
  gdouble burst;
  gdouble excess;
  anvil_time_t updated_at;
} meter_t;

struct oracle_rates
{
  const anvil_config_t *config;
  meter_t *links;
  meter_t *shifts;
};

/* Each seat may accrue its rate for ORACLE_RATE_BURST_TIME, or start one larger use. */
static gdouble
allowed_burst (guint n_seats, gdouble rate, gdouble largest)
{
  gdouble accrued = rate / n_seats * ORACLE_RATE_BURST_TIME / ANVIL_SECOND;

  return n_seats * MAX (accrued, largest);
}

static gdouble
largest_response (const anvil_config_t *config)
{
  gint64 largest = 0;

  for (guint i = 0; i < config->n_services; i++)
    largest = MAX (largest, config->services[i].response_bits);
  return (gdouble) largest;
}

static gdouble
shift_unit (const anvil_config_t *config, const anvil_shift_t *shift)
{
  const anvil_service_t *service = &config->services[shift->service];

  if (shift->cap_bits_per_s == 0)
    return 1;
  return (gdouble) (service->request_bits + service->response_bits);
}

oracle_rates_t *
oracle_rates_new (const anvil_config_t *config)
{
  oracle_rates_t *rates = g_new0 (oracle_rates_t, 1);

  rates->config = config;
  rates->links = g_new0 (meter_t, config->n_links);
  rates->shifts = g_new0 (meter_t, config->n_shifts);
  for (guint i = 0; i < config->n_links; i++)
    {
      rates->links[i].rate = (gdouble) config->links[i].bits_per_s;
      rates->links[i].burst
          = allowed_burst (config->n_seats, rates->links[i].rate, largest_response (config));
    }
  for (guint i = 0; i < config->n_shifts; i++)
    {
      const anvil_shift_t *shift = &config->shifts[i];

      rates->shifts[i].rate = (gdouble) MAX (shift->cap_bits_per_s, shift->cap_requests_per_s);
      rates->shifts[i].burst
          = allowed_burst (config->n_seats, rates->shifts[i].rate, shift_unit (config, shift));
    }
  return rates;
}

void
oracle_rates_drop (oracle_rates_t *rates)
{
  g_free (rates->links);
  g_free (rates->shifts);
  g_free (rates);
}

static gboolean
meter_add (meter_t *meter, anvil_time_t now, gdouble units)
{
  meter->excess -= meter->rate * (gdouble) (now - meter->updated_at) / ANVIL_SECOND;
  meter->excess = MAX (meter->excess, 0) + units;
  meter->updated_at = now;
  /* Half a unit is allowed for accumulated rounding errors. */
  return meter->excess <= meter->burst + 0.5;
}

/* A dispatch can be attributed to a shift only if the receiving half has no percentage of its own.
 */
static gboolean
counted_by_shift (const anvil_config_t *config,
                  const anvil_shift_t *shift,
                  const fake_record_t *record)
{
  return shift->service == record->service
         && config->services[shift->service].half_percents[shift->to] == 0
         && config->upstreams[record->upstream].half == shift->to;
}

static void
check_shifts (oracle_rates_t *rates, oracle_failure_t *failure, const fake_record_t *record)
{
  const anvil_config_t *config = rates->config;

  for (guint i = 0; i < config->n_shifts; i++)
    if (counted_by_shift (config, &config->shifts[i], record)
        && !meter_add (&rates->shifts[i], record->at, shift_unit (config, &config->shifts[i])))
      oracle_fail (failure, "shift", "shift %u is %.0f above its cap, allowed %.0f", i,
                   rates->shifts[i].excess, rates->shifts[i].burst);
}

void
oracle_rates_record (oracle_rates_t *rates, oracle_failure_t *failure, const fake_record_t *record)
{
  if (record->kind == FAKE_DISPATCHED)
    check_shifts (rates, failure, record);
  if (record->kind == FAKE_LINK_CHARGED
      && !meter_add (&rates->links[record->link], record->at, (gdouble) record->bits))
    oracle_fail (failure, "link", "link %u is %.0f bits above its rate, allowed %.0f", record->link,
                 rates->links[record->link].excess, rates->links[record->link].burst);
}
