#include "steer/config-proof.h"

/* From docs/HARD-LOAD.md: what is left of the revoke time for sending the request. */
#define SENDING_TIME (300 * ANVIL_MS)
/* Part of the revoke time after which callers are sent elsewhere, from the same page. */
#define FRESH_PERCENT 60
/* A proof is as old as two calls when the second one is answered, and peers hear of it a ping
 * period later, up to one second. An eighth, 625 ms of 5 s, keeps the sum below the fresh part,
 * also if a call is lost. */
#define HOLD_TIMES_PER_REVOKE_TIME 8

static void
add (anvil_config_proof_t *proof, anvil_time_t at)
{
  proof->at = proof->exists ? MAX (proof->at, at) : at;
  proof->exists = TRUE;
}

void
anvil_config_proof_add_read (anvil_config_proof_t *proof, anvil_time_t called_at)
{
  add (proof, called_at);
}

gboolean
anvil_config_proof_add_pong (anvil_config_proof_t *proof,
                             gint64 in_force,
                             gint64 peer_version,
                             anvil_time_t pinged_at,
                             anvil_time_t peer_age)
{
  if (in_force <= 0 || peer_version <= 0 || peer_age < 0 || peer_version > in_force)
    return FALSE;
  add (proof, pinged_at - peer_age);
  return TRUE;
}

anvil_time_t
anvil_config_proof_age (const anvil_config_proof_t *proof, anvil_time_t now)
{
  return proof->exists ? MAX (now - proof->at, 0) : -1;
}

gboolean
anvil_config_proof_allows_keys (anvil_time_t age, anvil_time_t revoke_time)
{
  return age >= 0 && age < revoke_time - SENDING_TIME;
}

gboolean
anvil_config_proof_is_fresh (anvil_time_t age, anvil_time_t revoke_time)
{
  return age >= 0 && age < revoke_time / 100 * FRESH_PERCENT;
}

anvil_time_t
anvil_config_proof_max_hold_time (anvil_time_t revoke_time)
{
  return revoke_time / HOLD_TIMES_PER_REVOKE_TIME;
}
