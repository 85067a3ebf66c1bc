#pragma once

#include "anvil/clock.h"

/*
 * Share of a region's requests that run in other regions, over the last seconds,
 * to bound how fast it grows.
 */

/* Length of a bucket, and the buckets of a window and of the two windows that are compared. */
#define SHIFT_BUCKET_TIME (500 * ANVIL_MS)
#define SHIFT_WINDOW_BUCKETS 4
#define SHIFT_BUCKETS 8

/** shift_count_t - requests that ran in their own region, and in another */
typedef struct
{
  guint local;
  guint remote;
} shift_count_t;

/**
 * shift_window_t - counts of the last two windows; starts out as zero
 * @buckets: by number modulo their count
 * @newest: number of the newest bucket
 */
typedef struct
{
  shift_count_t buckets[SHIFT_BUCKETS];
  gint64 newest;
} shift_window_t;

/** shift_record - counts a request that was given a slot */
void shift_record (shift_window_t *window, anvil_time_t now, gboolean remote);

/**
 * shift_allows_remote - whether one more request may run in another region
 * @max_growth: by how much the share may grow from one window to the next
 *
 * Return: TRUE if the share stays within the limit, or if the previous window has too few requests
 * to tell.
 */
gboolean shift_allows_remote (shift_window_t *window, anvil_time_t now, gdouble max_growth);
