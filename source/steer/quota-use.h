#pragma once

#include "anvil/clock.h"

/* Slots of time in which uses are counted; a 5 s window has about 350 ms a slot. */
#define ANVIL_QUOTA_USE_SLOTS 16

/**
 * quota_use_t - tokens used in the last window, by slot of time
 * @counts: uses in each slot
 * @slot: number of the last slot written
 */
typedef struct
{
  guint32 counts[ANVIL_QUOTA_USE_SLOTS];
  gint64 slot;
  anvil_time_t slot_length;
} quota_use_t;

/** quota_use_record - counts a use now; @window is the longest that will be asked for */
void quota_use_record (quota_use_t *use, anvil_time_t now, anvil_time_t window);

/** quota_use_remove - takes back a use that was recorded a moment ago */
void quota_use_remove (quota_use_t *use);

/** quota_use_sum - uses in the last @time, rounded up to a slot */
guint quota_use_sum (const quota_use_t *use, anvil_time_t now, anvil_time_t time);

/** quota_use_merge - adds the uses of @from to @to and clears it */
void quota_use_merge (quota_use_t *to, quota_use_t *from);
