#pragma once

#include "anvil/config.h"
#include "steer/slot.h"

/* Consecutive failures after which an upstream is ejected; duration of the first of consecutive
 * ejections, and the maximum. */
#define ANVIL_EJECT_FAILURES 5
#define ANVIL_EJECT_TIME (5 * ANVIL_SECOND)
#define ANVIL_EJECT_MAX_TIME (60 * ANVIL_SECOND)
/* How long an upstream that shed a request gets no new work. */
#define ANVIL_SHED_BACKOFF (100 * ANVIL_MS)
/* Time in which the usable slots of a new or returning upstream grow to all of its slots. */
#define ANVIL_WARMUP_TIME (3 * ANVIL_SECOND)
/* Half-life of the weight of a latency measurement. */
#define ANVIL_LATENCY_HALF_LIFE (5 * ANVIL_SECOND)

/**
 * anvil_upstream_state_t - state of one upstream at this entry, kept across generations
 * @key: its key, which identifies the VM
 * @index: index in the configuration in force, ANVIL_NO_INDEX if it isn't in it
 * @slots: its slots
 * @n_slots: highest number of slots that it has had
 * @in_flight: own requests that run there
 * @ejected_until: it gets no new work before, because of failures
 * @backoff_until: it gets no new work before, because it shed a request
 * @consecutive_failures: failures since the last response; one below the limit after an ejection
 * @consecutive_ejections: ejections since the last response
 * @warmup_started_at: when it was added or took work again; 0 if it was in the first configuration
 * @latency: moving average of its latency, microseconds; 0 if unknown
 * @latency_at: when the latency was last measured
 * @listed_leaving: the platform's VM list marks its VM as leaving
 * @unhealthy: its last health report was not healthy
 * @reported_draining: it was draining according to that report
 * @reported_at: when that report was requested
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

/** anvil_upstream_record_response - records a response after @latency; resets the consecutive
 * failures and ejections */
void anvil_upstream_record_response (anvil_upstream_state_t *upstream,
                                     anvil_time_t now,
                                     anvil_time_t latency);

/** anvil_upstream_record_failure - records a failure; TRUE if the upstream should be ejected */
gboolean anvil_upstream_record_failure (anvil_upstream_state_t *upstream);

/** anvil_upstream_eject - ejects the upstream, for twice as long with each consecutive ejection */
void anvil_upstream_eject (anvil_upstream_state_t *upstream, anvil_time_t now);

/** anvil_upstream_expected_latency - expected latency, which decays towards @typical as the last
 * measurement ages */
anvil_time_t anvil_upstream_expected_latency (const anvil_upstream_state_t *upstream,
                                              anvil_time_t now,
                                              anvil_time_t typical);

/** anvil_upstream_warmup_slots - maximum of own requests that may run there at once; grows to all
 * slots during warm-up */
guint anvil_upstream_warmup_slots (const anvil_upstream_state_t *upstream, anvil_time_t now);
