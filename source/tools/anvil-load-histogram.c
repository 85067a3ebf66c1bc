#include "anvil-load-histogram.h"

#include <math.h>

/* 2^7 buckets for each power of two keep the relative error below 1/128. */
#define SUB_BITS 7
#define SUB_BUCKETS (1u << SUB_BITS)
/* The last bucket counts all durations of 2^40 us, which is 12 days, and more. */
#define MAX_BITS 40
#define N_BUCKETS ((MAX_BITS - SUB_BITS + 1) * SUB_BUCKETS)

struct load_histogram
{
  guint64 count;
  anvil_time_t worst;
  guint64 buckets[N_BUCKETS];
};

load_histogram_t *
load_histogram_new (void)
{
  return g_new0 (load_histogram_t, 1);
}

void
load_histogram_drop (load_histogram_t *histogram)
{
  g_free (histogram);
}

static guint
bucket_index (guint64 value)
{
  guint shift;

  if (value < SUB_BUCKETS)
    return (guint) value;
  if (value >> MAX_BITS != 0)
    return N_BUCKETS - 1;
  shift = g_bit_storage (value) - 1 - SUB_BITS;
  return (shift << SUB_BITS) + (guint) (value >> shift);
}

/* Largest duration that a bucket counts. */
static anvil_time_t
bucket_end (guint bucket)
{
  guint shift;

  if (bucket < 2 * SUB_BUCKETS)
    return bucket;
  shift = (bucket >> SUB_BITS) - 1;
  return (((anvil_time_t) (bucket - (shift << SUB_BITS)) + 1) << shift) - 1;
}

void
load_histogram_add (load_histogram_t *histogram, anvil_time_t duration)
{
  anvil_time_t value = MAX (duration, 0);

  histogram->buckets[bucket_index ((guint64) value)]++;
  histogram->count++;
  histogram->worst = MAX (histogram->worst, value);
}

guint64
load_histogram_count (const load_histogram_t *histogram)
{
  return histogram->count;
}

anvil_time_t
load_histogram_worst (const load_histogram_t *histogram)
{
  return histogram->worst;
}

anvil_time_t
load_histogram_percentile (const load_histogram_t *histogram, gdouble percent)
{
  guint64 rank = (guint64) ceil ((gdouble) histogram->count * percent / 100);
  guint64 sum = 0;

  if (histogram->count == 0)
    return 0;
  for (guint i = 0; i < N_BUCKETS - 1; i++)
    {
      sum += histogram->buckets[i];
      if (sum >= MAX (rank, 1))
        return MIN (bucket_end (i), histogram->worst);
    }
  return histogram->worst;
}
