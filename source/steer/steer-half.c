/* Choice of the half that serves a request: by the shares of its service and the current shifts. */

#include "steer/steer-internal.h"

/* Client addresses are hashed to 0 .. HASH_RANGE - 1. Each half has a part of this range in
 * proportion to its share, in the order of the halves. */
#define HASH_RANGE 10000u
#define HASH_RANGE_PER_PERCENT (HASH_RANGE / 100u)

static guint
hash_of_client (const anvil_steer_t *steer, guint service, guint32 client_address)
{
  const struct
  {
    guint64 service;
    guint64 client;
  } key = {
    .service = anvil_str_hash (steer->config->services[service].name),
    .client = client_address,
  };

  return (
      guint) (anvil_str_hash ((anvil_str_t){ .data = (const char *) &key, .length = sizeof key })
              % HASH_RANGE);
}

/* Half whose part of the range contains @hash; @end is set to the end of that part. */
static guint
half_of_hash (const anvil_steer_t *steer, guint service, guint hash, guint *end)
{
  const anvil_service_t *config_service = &steer->config->services[service];

  *end = 0;
  for (guint half = 0; half < steer->config->n_halves; half++)
    {
      *end += config_service->half_percents[half] * HASH_RANGE_PER_PERCENT;
      if (hash < *end)
        return half;
    }
  return config_service->owner;
}

/* How much of the end of the source half's part a shift has moved so far. */
static guint
moved_range (const anvil_steer_t *steer, anvil_time_t now, guint index)
{
  const anvil_shift_t *shift = &steer->config->shifts[index];
  guint total = shift->percent * HASH_RANGE_PER_PERCENT;
  anvil_time_t age = now - anvil_steer_shift_started_at (steer, index);

  if (shift->ramp <= 0 || age >= shift->ramp)
    return total;
  return (guint) ((gdouble) total * age / shift->ramp);
}

/* Whether requests wait in the queue of a shift's target half, for example while its caches are
 * cold. The shift doesn't move requests then. */
static gboolean
target_has_backlog (const anvil_steer_t *steer, const anvil_shift_t *shift)
{
  const anvil_queue_t *queue = anvil_steer_queue (steer, shift->service, shift->to);

  return queue == NULL || !g_sequence_is_empty (queue->waiting);
}

/* Charges a request to the shift's cap; FALSE if the cap is exhausted. */
static gboolean
consume_shift_cap (anvil_steer_t *steer,
                   anvil_time_t now,
                   guint index,
                   const anvil_request_t *request)
{
  const anvil_shift_t *shift = &steer->config->shifts[index];
  anvil_rate_bucket_t *bucket = anvil_steer_shift_bucket (steer, now, index);
  gint64 units = 1;

  if (shift->cap_bits_per_s > 0)
    units = request->request_bits + steer->config->services[request->service].response_bits;
  if (steer->options.faults.ignore_shift_cap)
    return TRUE;
  if (!anvil_rate_bucket_allows (bucket, units))
    {
      anvil_steer_request_units (steer, now, bucket, units);
      return FALSE;
    }
  anvil_rate_bucket_consume (bucket, units);
  return TRUE;
}

guint
anvil_steer_choose_half (anvil_steer_t *steer, anvil_time_t now, const anvil_request_t *request)
{
  guint hash = hash_of_client (steer, request->service, request->client_address);
  guint end;
  guint half = half_of_hash (steer, request->service, hash, &end);

  for (guint i = 0; i < steer->config->n_shifts; i++)
    {
      const anvil_shift_t *shift = &steer->config->shifts[i];

      if (shift->service != request->service || shift->from != half)
        continue;
      if (hash + moved_range (steer, now, i) < end || target_has_backlog (steer, shift))
        continue;
      if (!consume_shift_cap (steer, now, i, request))
        continue;
      return shift->to;
    }
  return half;
}

guint
anvil_steer_expected_half (const anvil_steer_t *steer,
                           anvil_time_t now,
                           guint service,
                           guint32 client_address)
{
  guint hash = hash_of_client (steer, service, client_address);
  guint end;
  guint half = half_of_hash (steer, service, hash, &end);

  for (guint i = 0; i < steer->config->n_shifts; i++)
    {
      const anvil_shift_t *shift = &steer->config->shifts[i];

      if (shift->service == service && shift->from == half
          && hash + moved_range (steer, now, i) >= end)
        return shift->to;
    }
  return half;
}
