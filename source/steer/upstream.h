#pragma once

#include "anvil/config.h"
#include "steer/slot.h"

/* Failures in a row after which an upstream is ejected, and for how long the first time. */
#define ANVIL_EJECT_FAILURES 5
#define ANVIL_EJECT_TIME (5 * ANVIL_SECOND)
#define ANVIL_EJECT_LONGEST (60 * ANVIL_SECOND)
/* How long an upstream that shed is left alone. */
#define ANVIL_SHED_BACKOFF (100 * ANVIL_MS)
/* Time in which an upstream that comes in gets all of its slots. */
#define ANVIL_WARM_TIME (3 * ANVIL_SECOND)
/* Half-life of a latency that isn't measured again. */
#define ANVIL_LATENCY_HALF_LIFE (5 * ANVIL_SECOND)

/**
 * anvil_upstream_state_t - what an entry knows of one upstream, kept across generations
 * @key: its key, which tells the machine
 * @index: index in the configuration in force, ANVIL_NO_INDEX if it isn't in it
 * @slots: its slots
 * @n_slots: how many it has had at most
 * @in_flight: own requests there
 * @ejected_until: it gets no new work before
 * @backoff_until: it shed a moment ago
 * @consecutive_failures: failures in a row
 * @consecutive_ejections: ejections in a row
 * @warmup_started_at: when it came in; 0 if it was there from the first file on
 * @latency: moving average of its answers, microseconds; 0 if unknown
 * @latency_at: when that was last measured
 * @listed_leaving: the platform's list says that its VM leaves
 * @unhealthy: its health endpoint says so
 * @reported_draining: it last reported that it drains
 * @reported_at: when that report was asked for
 */
typedef struct
{
  guint64 key;
  guint index;
  anvil_slot_t slots[ANVIL_MAX_SLOTS];
  guint n_slots;
  guint in_flight;
  anvil_time_t ejected_until;
  anvil_time_t backoff_until;
  guint consecutive_failures;
  guint consecutive_ejections;
  anvil_time_t warmup_started_at;
  anvil_time_t latency;
  anvil_time_t latency_at;
  gboolean listed_leaving;
  gboolean unhealthy;
  gboolean reported_draining;
  anvil_time_t reported_at;
} anvil_upstream_state_t;

/** anvil_upstream_record_answer - an answer after @latency; ends a row of failures */
void anvil_upstream_record_answer (anvil_upstream_state_t *upstream,
                                   anvil_time_t now,
                                   anvil_time_t latency);

/** anvil_upstream_record_failure - a failure; TRUE if it is the one after which the upstream should
 * be ejected */
gboolean anvil_upstream_record_failure (anvil_upstream_state_t *upstream);

/** anvil_upstream_eject - no new work for a time that doubles with each ejection in a row */
void anvil_upstream_eject (anvil_upstream_state_t *upstream, anvil_time_t now);

/** anvil_upstream_expected_latency - expected latency; an old measurement fades towards @typical */
anvil_time_t anvil_upstream_expected_latency (const anvil_upstream_state_t *upstream,
                                              anvil_time_t now,
                                              anvil_time_t typical);

/** anvil_upstream_warmup_slots - own requests that may run there at once while it warms up */
guint anvil_upstream_warmup_slots (const anvil_upstream_state_t *upstream, anvil_time_t now);
