#pragma once

#include <glib.h>

/* Buckets into which the window of the retry budget is divided. */
#define ANVIL_RETRY_WINDOW_BUCKETS 10
/* Buckets that are counted: the current one is partial, so that without one more the sums would
 * cover less than the window. */
#define ANVIL_RETRY_COUNTED_BUCKETS (ANVIL_RETRY_WINDOW_BUCKETS + 1)
/* Holders whose counts one holder keeps or sends, its own among them. */
#define ANVIL_MAX_RETRY_ORIGINS 8

/**
 * anvil_retry_counts_t - attempts of a service's requests that one holder counted lately
 * @origin: incarnation of that holder
 * @n_attempts: attempts that it has counted since its start; of two reports of an origin the one
 *   with the larger number is newer
 * @requests: first attempts, by bucket, the current one first
 * @retries: further attempts, by bucket, the current one first
 */
typedef struct
{
  guint64 origin;
  guint64 n_attempts;
  guint32 requests[ANVIL_RETRY_COUNTED_BUCKETS];
  guint32 retries[ANVIL_RETRY_COUNTED_BUCKETS];
} anvil_retry_counts_t;
