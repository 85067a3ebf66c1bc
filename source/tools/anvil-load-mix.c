#include "anvil-load-mix.h"

#include <math.h>

#define BITS_PER_KB G_GINT64_CONSTANT (8192)
/* Services whose expected request size is at least this get uploads. */
#define UPLOAD_MIN_BITS (256 * BITS_PER_KB)
#define N_OBJECTS 5000
#define ZIPF_EXPONENT 0.9
/* Range of the size of bodies, as a factor on the expected size. */
#define BODY_MIN_FACTOR 0.5
#define BODY_MAX_FACTOR 1.5

struct load_mix
{
  load_kind_t kind;
  GRand *rand;
  gsize expected_bytes;
  gsize max_bytes;
  gdouble *cumulative_weights;
};

load_kind_t
load_service_kind (const anvil_service_t *service)
{
  if (service->request_bits >= UPLOAD_MIN_BITS)
    return LOAD_UPLOAD;
  return service->idempotent ? LOAD_BROWSE : LOAD_TRANSACT;
}

guint
load_kind_weight (load_kind_t kind)
{
  switch (kind)
    {
    case LOAD_BROWSE:
      return 75;
    case LOAD_TRANSACT:
      return 20;
    case LOAD_UPLOAD:
      return 5;
    }
  g_assert_not_reached ();
}

static gdouble *
zipf_cumulative_weights (void)
{
  gdouble *cumulative_weights = g_new (gdouble, N_OBJECTS);
  gdouble sum = 0;

  for (guint i = 0; i < N_OBJECTS; i++)
    {
      sum += pow (i + 1, -ZIPF_EXPONENT);
      cumulative_weights[i] = sum;
    }
  return cumulative_weights;
}

load_mix_t *
load_mix_new (const anvil_service_t *service, guint32 seed)
{
  load_mix_t *mix = g_new0 (load_mix_t, 1);

  mix->kind = load_service_kind (service);
  mix->rand = g_rand_new_with_seed (seed);
  mix->expected_bytes = (gsize) service->request_bits / 8;
  mix->max_bytes = (gsize) service->max_request_bytes;
  mix->cumulative_weights = zipf_cumulative_weights ();
  return mix;
}

void
load_mix_drop (load_mix_t *mix)
{
  if (mix == NULL)
    return;
  g_rand_free (mix->rand);
  g_free (mix->cumulative_weights);
  g_free (mix);
}

static guint
draw_object (load_mix_t *mix)
{
  gdouble target = g_rand_double (mix->rand) * mix->cumulative_weights[N_OBJECTS - 1];
  guint low = 0;
  guint high = N_OBJECTS - 1;

  while (low < high)
    {
      guint middle = low + (high - low) / 2;

      if (mix->cumulative_weights[middle] > target)
        high = middle;
      else
        low = middle + 1;
    }
  return low;
}

static gsize
draw_body_bytes (load_mix_t *mix)
{
  gdouble factor = g_rand_double_range (mix->rand, BODY_MIN_FACTOR, BODY_MAX_FACTOR);

  return CLAMP ((gsize) (factor * (gdouble) mix->expected_bytes), 1, MAX (mix->max_bytes, 1));
}

load_request_spec_t
load_mix_next (load_mix_t *mix)
{
  return (load_request_spec_t){
    .kind = mix->kind,
    .object = draw_object (mix),
    .body_bytes = mix->kind == LOAD_BROWSE ? 0 : draw_body_bytes (mix),
  };
}
