#pragma once

#include "fake-net.h"

/* Bounds that the users state. */
#define ORACLE_DRAIN_BOUND (5 * ANVIL_SECOND)
#define ORACLE_IN_FORCE_BOUND (6 * ANVIL_SECOND)
#define ORACLE_RECOVERY_BOUND (30 * ANVIL_SECOND)
/* After its deadline a request has its outcome within this time. */
#define ORACLE_OUTCOME_BOUND (1 * ANVIL_SECOND)
/* Part of a second of a limit that may be used at once. */
#define ORACLE_RATE_BURST_TIME (250 * ANVIL_MS)

/**
 * oracle_t - checks of the history of one run
 *
 * It knows the base file, the records and who can reach whom; it doesn't look
 * into the decision cores, but for the seats that they say they use and the
 * number of requests that they say they have.
 */
typedef struct oracle oracle_t;

oracle_t *oracle_new (const anvil_config_t *config);
void oracle_drop (oracle_t *oracle);

/** oracle_record - a fake_record_cb_t; @context is the oracle */
void oracle_record (void *context, const fake_record_t *record);

/** oracle_check - checks what has to hold at this moment; called after each step */
void oracle_check (oracle_t *oracle, const fake_net_t *net);

/** oracle_check_recovered - checks what has to hold ORACLE_RECOVERY_BOUND after the last fault
 * ended */
void oracle_check_recovered (oracle_t *oracle, const fake_net_t *net);

/** oracle_failed - name of the first oracle that failed, such as "slots", or NULL */
const char *oracle_failed (const oracle_t *oracle);

/** oracle_reason - what it saw, one line */
const char *oracle_reason (const oracle_t *oracle);
