#pragma once

#include "oracle.h"

/** oracle_failure_t - first failure of a simulation; @name is NULL while there is none */
typedef struct
{
  const char *name;
  char reason[256];
} oracle_failure_t;

/** oracle_fail - records a failure unless there already is one */
void oracle_fail (oracle_failure_t *failure, const char *name, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/** oracle_reachability_t - groups of entries that reach each other, directly or through others */
typedef struct
{
  guint group[FAKE_MAX_ENTRIES];
} oracle_reachability_t;

/** oracle_reachability_compute - computes the groups; an entry that doesn't run is alone */
void oracle_reachability_compute (oracle_reachability_t *reachability, const fake_net_t *net);

/** oracle_slots_t - checks that the attempts at an upstream never exceed or share its slots */
typedef struct oracle_slots oracle_slots_t;

oracle_slots_t *oracle_slots_new (const anvil_config_t *config);
void oracle_slots_drop (oracle_slots_t *slots);
void
oracle_slots_record (oracle_slots_t *slots, oracle_failure_t *failure, const fake_record_t *record);

/** oracle_rates_t - checks that links and shifts stay within their rate limits */
typedef struct oracle_rates oracle_rates_t;

oracle_rates_t *oracle_rates_new (const anvil_config_t *config);
void oracle_rates_drop (oracle_rates_t *rates);
void
oracle_rates_record (oracle_rates_t *rates, oracle_failure_t *failure, const fake_record_t *record);

/** oracle_requests_t - checks that each request gets one correct outcome, and runs at most once
 * unless it is idempotent
 */
typedef struct oracle_requests oracle_requests_t;

oracle_requests_t *oracle_requests_new (void);
void oracle_requests_drop (oracle_requests_t *requests);
void oracle_requests_record (oracle_requests_t *requests,
                             oracle_failure_t *failure,
                             const fake_record_t *record);
void oracle_requests_update (oracle_requests_t *requests,
                             oracle_failure_t *failure,
                             const fake_net_t *net);

/** oracle_drains_t - checks that entries that could know of a drain soon stop dispatching there */
typedef struct oracle_drains oracle_drains_t;

oracle_drains_t *oracle_drains_new (const anvil_config_t *config);
void oracle_drains_drop (oracle_drains_t *drains);
void oracle_drains_record (oracle_drains_t *drains,
                           oracle_failure_t *failure,
                           const fake_record_t *record);
void oracle_drains_update (oracle_drains_t *drains,
                           const fake_net_t *net,
                           const oracle_reachability_t *reachability);

/** oracle_generations_t - checks that generations only increase, soon reach all entries, and that
 * entries dispatch by the generation in force
 */
typedef struct oracle_generations oracle_generations_t;

oracle_generations_t *oracle_generations_new (const anvil_config_t *config);
void oracle_generations_drop (oracle_generations_t *generations);
void oracle_generations_record (oracle_generations_t *generations,
                                oracle_failure_t *failure,
                                const fake_record_t *record);
void oracle_generations_update (oracle_generations_t *generations,
                                oracle_failure_t *failure,
                                const fake_net_t *net,
                                const oracle_reachability_t *reachability);
