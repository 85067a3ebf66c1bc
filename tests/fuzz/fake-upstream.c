#include "fake-upstream.h"

#include <math.h>

anvil_time_t
fake_upstream_service_time (fake_upstream_t *upstream, anvil_time_t mean, GRand *random)
{
  gdouble factor = 1;

  if (upstream->cold)
    factor += (FAKE_COLD_FACTOR - 1) * exp (-(gdouble) upstream->served / FAKE_WARM_REQUESTS);
  upstream->served++;
  return (anvil_time_t) (-log (1 - g_rand_double (random)) * (gdouble) mean * factor) + 1;
}
