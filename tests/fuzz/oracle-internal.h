#pragma once

#include "oracle.h"

/** oracle_failure_t - the first failure */
typedef struct
{
  const char *name;
  char reason[256];
} oracle_failure_t;

/** oracle_fail - notes a failure, unless one was noted before */
void oracle_fail (oracle_failure_t *verdict, const char *name, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/** oracle_reachability_t - which entries reach each other, also by way of others */
typedef struct
{
  guint group[FAKE_MAX_ENTRIES];
} oracle_reachability_t;

/** oracle_reachability_compute - groups the running entries; one that doesn't run is alone */
void oracle_reachability_compute (oracle_reachability_t *reach, const fake_net_t *net);

/** oracle_slots_t - work at each upstream never exceeds its slots */
typedef struct oracle_slots oracle_slots_t;

oracle_slots_t *oracle_slots_new (const anvil_config_t *config);
void oracle_slots_drop (oracle_slots_t *slots);
void
oracle_slots_record (oracle_slots_t *slots, oracle_failure_t *verdict, const fake_record_t *record);

/** oracle_rates_t - links and shifts never carry more than their limits */
typedef struct oracle_rates oracle_rates_t;

oracle_rates_t *oracle_rates_new (const anvil_config_t *config);
void oracle_rates_drop (oracle_rates_t *rates);
void
oracle_rates_record (oracle_rates_t *rates, oracle_failure_t *verdict, const fake_record_t *record);

/** oracle_requests_t - each request has one true outcome and runs as often as it may */
typedef struct oracle_requests oracle_requests_t;

oracle_requests_t *oracle_requests_new (void);
void oracle_requests_drop (oracle_requests_t *requests);
void oracle_requests_record (oracle_requests_t *requests,
                             oracle_failure_t *verdict,
                             const fake_record_t *record);
void oracle_requests_sample (oracle_requests_t *requests,
                             oracle_failure_t *verdict,
                             const fake_net_t *net);

/** oracle_drains_t - a draining upstream gets no new work once an entry could have been told */
typedef struct oracle_drains oracle_drains_t;

oracle_drains_t *oracle_drains_new (const anvil_config_t *config);
void oracle_drains_drop (oracle_drains_t *drains);
void oracle_drains_record (oracle_drains_t *drains,
                           oracle_failure_t *verdict,
                           const fake_record_t *record);
void oracle_drains_sample (oracle_drains_t *drains,
                           const fake_net_t *net,
                           const oracle_reachability_t *reach);

/** oracle_generations_t - files only move forward, soon everywhere, and decide who may run what */
typedef struct oracle_generations oracle_generations_t;

oracle_generations_t *oracle_generations_new (const anvil_config_t *config);
void oracle_generations_drop (oracle_generations_t *generations);
void oracle_generations_record (oracle_generations_t *generations,
                                oracle_failure_t *verdict,
                                const fake_record_t *record);
void oracle_generations_sample (oracle_generations_t *generations,
                                oracle_failure_t *verdict,
                                const fake_net_t *net,
                                const oracle_reachability_t *reach);
