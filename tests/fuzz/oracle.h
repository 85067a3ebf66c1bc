#pragma once

#include "fake-net.h"

/* Limits that the users state. */
#define ORACLE_DRAIN_BOUND (5 * ANVIL_SECOND)
#define ORACLE_IN_FORCE_BOUND (6 * ANVIL_SECOND)
#define ORACLE_RECOVERY_BOUND (30 * ANVIL_SECOND)
/* A request must have an outcome within this time after its deadline. */
#define ORACLE_OUTCOME_BOUND (1 * ANVIL_SECOND)
/* As much of a rate limit may be used at once as it allows in this time. */
#define ORACLE_RATE_BURST_TIME (250 * ANVIL_MS)

/**
 * oracle_t - checks the history of one simulation
 *
 * It works from the base file, the records and the state of the network. Of the decision cores it
 * reads only which seats they use and how many requests they hold.
 */
typedef struct oracle oracle_t;

oracle_t *oracle_new (const anvil_config_t *config);
void oracle_drop (oracle_t *oracle);

/** oracle_record - a fake_record_cb_t; @context is the oracle */
void oracle_record (void *context, const fake_record_t *record);

/** oracle_check - checks the current state of the network; called after each step */
void oracle_check (oracle_t *oracle, const fake_net_t *net);

/** oracle_check_recovered - checks the state ORACLE_RECOVERY_BOUND after the last fault has ended
 */
void oracle_check_recovered (oracle_t *oracle, const fake_net_t *net);

/** oracle_failed - name of the first oracle that failed, such as "slots", or NULL */
const char *oracle_failed (const oracle_t *oracle);

/** oracle_reason - description of the failure, one line */
const char *oracle_reason (const oracle_t *oracle);
