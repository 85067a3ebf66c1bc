#pragma once

#include "anvil/claims.h"

/* State of the request that claimed the row's key. */
typedef enum
{
  CLAIM_ROW_CLAIMED,
  CLAIM_ROW_ANSWERED,
  CLAIM_ROW_RELEASED,
} claim_row_state_t;

#define CLAIM_NONCE_BYTES 64

/**
 * claim_row_t - value of a row claim/SERVICE/KEYHASH
 * @nonce: tells the claims of different requests apart
 * @status: HTTP status of the answer, with CLAIM_ROW_ANSWERED
 * @expires_at_s: wall clock in seconds after which the row may be removed
 */
typedef struct
{
  char nonce[CLAIM_NONCE_BYTES];
  claim_row_state_t state;
  gint status;
  gint64 expires_at_s;
} claim_row_t;

/** anvil_claim_row_key - key of the row, freed with g_free() */
char *anvil_claim_row_key (anvil_str_t service, anvil_str_t key);

/** anvil_claim_row_pack - formats a row as JSON, freed with free() */
char *anvil_claim_row_pack (const claim_row_t *row);

/** anvil_claim_row_unpack - parses a row; FALSE if @value is malformed */
gboolean anvil_claim_row_unpack (anvil_str_t value, claim_row_t *row);
