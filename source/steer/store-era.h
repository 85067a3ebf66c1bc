#pragma once

#include "anvil/clock.h"

/*
 * The latest known era of the store; see anvil/store-position.h.
 *
 * It decides which responses of the store are used. It has no clock.
 */

/* How long rows that were known before a new era stay as they were if they are missing. The
 * operator and the upstreams write theirs again within seconds. */
#define ANVIL_STORE_RETURN_TIME (10 * ANVIL_SECOND)

/**
 * store_era_t - the latest known era
 * @known: a response of the store or a peer has named one, or a response has named none
 * @era: the latest; 0 if none was named
 * @risen_at: when a later one was first heard of than the one known before, monotonic clock; 0 if
 *   that never happened
 * @n_rises: how often that happened
 * @reported_at: when a response of an earlier era was last reported, monotonic clock
 */
typedef struct
{
  gboolean known;
  guint64 era;
  anvil_time_t risen_at;
  guint n_rises;
  anvil_time_t reported_at;
} store_era_t;

/**
 * store_era_verdict_t - what an era that was heard of means
 * @STORE_ERA_PRESENT: it is the one that is known
 * @STORE_ERA_RISEN: it is later, so positions of the earlier ones are outdated
 * @STORE_ERA_OUTDATED: it is earlier, or missing although one is known
 */
typedef enum
{
  STORE_ERA_PRESENT,
  STORE_ERA_RISEN,
  STORE_ERA_OUTDATED,
} store_era_verdict_t;

/** store_era_hear - takes the era of a response of the store into account; 0 for none */
store_era_verdict_t store_era_hear (store_era_t *state, anvil_time_t now, guint64 era);

/** store_era_hear_from_peer - takes the era that a peer knows into account. A peer may not have
 * heard of the present one yet, so an earlier one means nothing; TRUE if the era has risen */
gboolean store_era_hear_from_peer (store_era_t *state, anvil_time_t now, guint64 era);

/** store_era_may_report - whether an outdated response may be logged now, at most once a second */
gboolean store_era_may_report (store_era_t *state, anvil_time_t now);

/** store_era_returning - whether rows may still be missing because the store has just come back */
gboolean store_era_returning (const store_era_t *state, anvil_time_t now);
