#pragma once

#include "anvil/clock.h"
#include "anvil/str.h"

/*
 * The evacuated zones, as read from the store's table or told by peers.
 *
 * When the store comes back from an older copy, the rows of evacuations that it has lost are
 * written again within seconds. Until ANVIL_STORE_RETURN_TIME has passed, the evacuation of a zone
 * therefore goes on without its row, unless the row was seen since the return and then removed.
 */

typedef struct evacuated_zones evacuated_zones_t;

/** evacuated_zones_changed_t - an evacuation has begun or ended */
typedef void (*evacuated_zones_changed_t) (void *context, const char *zone, gboolean evacuated);

evacuated_zones_t *evacuated_zones_new (evacuated_zones_changed_t changed, void *context);
void evacuated_zones_drop (evacuated_zones_t *zones);

/** evacuated_zones_begin_era - the store has come back from an older copy */
void evacuated_zones_begin_era (evacuated_zones_t *zones, anvil_time_t now);

/** evacuated_zones_set_row - the row of a zone was read, or its tombstone */
void evacuated_zones_set_row (evacuated_zones_t *zones,
                              anvil_time_t now,
                              const char *zone,
                              gboolean removed);

/** evacuated_zones_begin_list - the rows of all evacuated zones follow */
void evacuated_zones_begin_list (evacuated_zones_t *zones);

/** evacuated_zones_end_list - the zones whose rows were not read since have none */
void evacuated_zones_end_list (evacuated_zones_t *zones, anvil_time_t now);

/** evacuated_zones_set_from_peer - the zones that a peer knows to be evacuated, which has read the
 * store later. Their rows may be missing */
void evacuated_zones_set_from_peer (evacuated_zones_t *zones,
                                    anvil_time_t now,
                                    const anvil_str_t *names,
                                    guint n_names);

/** evacuated_zones_settle - all changes up to now were read; ends the evacuations whose rows were
 * not written again in time */
void evacuated_zones_settle (evacuated_zones_t *zones, anvil_time_t now);

gboolean evacuated_zones_contain (const evacuated_zones_t *zones, const char *zone);
guint evacuated_zones_count (const evacuated_zones_t *zones);

typedef void (*evacuated_zones_visit_t) (void *context, const char *zone);
void evacuated_zones_foreach (const evacuated_zones_t *zones,
                              evacuated_zones_visit_t visit,
                              void *context);
