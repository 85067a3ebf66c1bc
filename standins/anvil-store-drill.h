#pragma once

#include <event2/event.h>

#include "anvil-store-rows.h"

/*
 * Drills: the store comes back from a copy, in a later era, without what was written since. The
 * operator and the upstreams then write their rows again, one by one.
 */

typedef struct store_drill store_drill_t;

/**
 * store_drill_plan_t - a drill; all times in milliseconds
 * @away: how long the store is away
 * @age: age of the copy when the drill begins
 * @rewrite: time from the store's return to the first row that is written again
 * @step: time between two such rows
 */
typedef struct
{
  guint64 away;
  guint64 age;
  guint64 rewrite;
  guint64 step;
} store_drill_plan_t;

/**
 * store_drill_new - for the rows of a store
 * @era: first era; 0 names none
 * @changed: called after rows were changed
 */
store_drill_t *store_drill_new (struct event_base *base,
                                store_rows_t *rows,
                                guint64 era,
                                void (*changed) (void *context),
                                void *context);
void store_drill_drop (store_drill_t *drill);

/** store_drill_start - begins a drill. Rows that an earlier one has lost, and that weren't written
 * again yet, are written again after this one */
void store_drill_start (store_drill_t *drill, const store_drill_plan_t *plan);

/** store_drill_away - whether the store is away */
gboolean store_drill_away (const store_drill_t *drill);

/** store_drill_era - the present era; 0 if there was no drill and none was given */
guint64 store_drill_era (const store_drill_t *drill);
