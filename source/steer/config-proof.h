#pragma once

#include "anvil/clock.h"

/*
 * For how long it hasn't been sure that the configuration in force is the newest.
 *
 * A key that the operators take away must stop working at every entry within a time, the revoke
 * time, also at one that reaches neither the store nor a peer. So an entry uses its configuration
 * to judge keys only while it can prove that no newer one existed a short time ago. Times are on
 * CLOCK_BOOTTIME, which goes on while a VM is suspended. The module reads no clock.
 */

/**
 * anvil_config_proof_t - the latest proof; all zero for none
 * @exists: there is one
 * @at: a moment at which no newer configuration existed than is in force now
 */
typedef struct
{
  gboolean exists;
  anvil_time_t at;
} anvil_config_proof_t;

/**
 * anvil_config_proof_add_read - the store has answered a call for changes of the operators' table,
 * and all that it said is in force
 * @called_at: when the call was made; what changed after that may not be in the answer
 */
void anvil_config_proof_add_read (anvil_config_proof_t *proof, anvil_time_t called_at);

/**
 * anvil_config_proof_add_pong - a peer has answered a ping
 * @in_force: version of the configuration in force here; 0 for none
 * @peer_version: version in force there
 * @pinged_at: when this entry sent the ping; the answer may have been under way for long
 * @peer_age: age of the peer's own proof when it answered, microseconds; negative for none
 *
 * A version older than the peer's may lack what the peer's takes away, so the peer's proof says
 * nothing about it. A newer one includes what the peer's does.
 *
 * Return: whether the peer's proof holds for the configuration in force here.
 */
gboolean anvil_config_proof_add_pong (anvil_config_proof_t *proof,
                                      gint64 in_force,
                                      gint64 peer_version,
                                      anvil_time_t pinged_at,
                                      anvil_time_t peer_age);

/** anvil_config_proof_age - microseconds since the latest proven moment; negative if there is none
 */
anvil_time_t anvil_config_proof_age (const anvil_config_proof_t *proof, anvil_time_t now);

/** anvil_config_proof_allows_keys - whether keys may be judged with a proof of this age */
gboolean anvil_config_proof_allows_keys (anvil_time_t age, anvil_time_t revoke_time);

/** anvil_config_proof_is_fresh - whether callers should be sent to an entry whose proof has this
 * age; ends well before keys can't be judged any more */
gboolean anvil_config_proof_is_fresh (anvil_time_t age, anvil_time_t revoke_time);

/** anvil_config_proof_max_hold_time - how long the store may hold a call for changes so that proofs
 * stay fresh, microseconds */
anvil_time_t anvil_config_proof_max_hold_time (anvil_time_t revoke_time);
