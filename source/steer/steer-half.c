/* Which half a request goes to: the shares of its service, and the shifts under way. */

#include "steer/steer-internal.h"

/* Places on which client addresses are spread; shares are cut out of them in order of the halves.
 */
#define PLACES 10000u
#define PLACES_PER_PERCENT (PLACES / 100u)

static guint
place_of_client (const anvil_steer_t *steer, guint service, guint32 client)
{
  const struct
  {
    guint64 service;
    guint64 client;
  } key = {
    .service = anvil_str_hash (steer->config->services[service].name),
    .client = client,
  };

  return (
      guint) (anvil_str_hash ((anvil_str_t){ .data = (const char *) &key, .length = sizeof key })
              % PLACES);
}

/* Half that a place belongs to; @end gets the end of that half's places. */
static guint
half_of_place (const anvil_steer_t *steer, guint service, guint place, guint *end)
{
  const anvil_service_t *self = &steer->config->services[service];

  *end = 0;
  for (guint half = 0; half < steer->config->n_halves; half++)
    {
      *end += self->half_percents[half] * PLACES_PER_PERCENT;
      if (place < *end)
        return half;
    }
  return self->owner;
}

/* Places that a shift has moved so far, out of the end of the giving half's. */
static guint
moved_places (const anvil_steer_t *steer, anvil_time_t now, guint index)
{
  const anvil_shift_t *shift = &steer->config->shifts[index];
  guint whole = shift->percent * PLACES_PER_PERCENT;
  anvil_time_t age = now - anvil_steer_shift_since (steer, index);

  if (shift->ramp <= 0 || age >= shift->ramp)
    return whole;
  return (guint) ((gdouble) whole * age / shift->ramp);
}

/* A shift waits while the half that receives it is behind, which cold caches make it. */
static gboolean
receiver_behind (const anvil_steer_t *steer, const anvil_shift_t *shift)
{
  const anvil_queue_t *queue = anvil_steer_queue (steer, shift->service, shift->to);

  return queue == NULL || !g_sequence_is_empty (queue->waiting);
}

/* Takes the request's part out of the shift's cap; FALSE if there is no room. */
static gboolean
take_cap (anvil_steer_t *steer, anvil_time_t now, guint index, const anvil_request_t *request)
{
  const anvil_shift_t *shift = &steer->config->shifts[index];
  anvil_rate_bucket_t *rate = anvil_steer_shift_rate (steer, now, index);
  gint64 units = 1;

  if (shift->cap_bits_per_s > 0)
    units = request->request_bits + steer->config->services[request->service].response_bits;
  if (steer->options.faults.ignore_shift_cap)
    return TRUE;
  if (!anvil_rate_bucket_allows (rate, units))
    {
      anvil_steer_want_rate (steer, now, rate, units);
      return FALSE;
    }
  anvil_rate_bucket_consume (rate, units);
  return TRUE;
}

guint
anvil_steer_choose_half (anvil_steer_t *steer, anvil_time_t now, const anvil_request_t *request)
{
  guint place = place_of_client (steer, request->service, request->client_address);
  guint end;
  guint half = half_of_place (steer, request->service, place, &end);

  for (guint i = 0; i < steer->config->n_shifts; i++)
    {
      const anvil_shift_t *shift = &steer->config->shifts[i];

      if (shift->service != request->service || shift->from != half)
        continue;
      if (place + moved_places (steer, now, i) < end || receiver_behind (steer, shift))
        continue;
      if (!take_cap (steer, now, i, request))
        continue;
      return shift->to;
    }
  return half;
}

guint
anvil_steer_expected_half (const anvil_steer_t *steer,
                           anvil_time_t now,
                           guint service,
                           guint32 client)
{
  guint place = place_of_client (steer, service, client);
  guint end;
  guint half = half_of_place (steer, service, place, &end);

  for (guint i = 0; i < steer->config->n_shifts; i++)
    {
      const anvil_shift_t *shift = &steer->config->shifts[i];

      if (shift->service == service && shift->from == half
          && place + moved_places (steer, now, i) >= end)
        return shift->to;
    }
  return half;
}
