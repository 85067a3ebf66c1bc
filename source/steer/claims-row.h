#pragma once

#include "anvil/claims.h"

/* What a claim's row says of its request. */
typedef enum
{
  CLAIM_ROW_CLAIMED,
  CLAIM_ROW_ANSWERED,
  CLAIM_ROW_RELEASED,
} claim_row_state_t;

#define CLAIM_NONCE_BYTES 64

/** claim_row_t - value of a row claim/SERVICE/KEYHASH */
typedef struct
{
  char nonce[CLAIM_NONCE_BYTES];
  claim_row_state_t state;
  gint status;
  gint64 until;
} claim_row_t;

/** anvil_claim_row_key - key of the row, freed with g_free() */
char *anvil_claim_row_key (anvil_str_t service, anvil_str_t key);

/** anvil_claim_row_pack - JSON text, freed with free() */
char *anvil_claim_row_pack (const claim_row_t *row);

/** anvil_claim_row_unpack - FALSE if the value isn't that of a claim */
gboolean anvil_claim_row_unpack (anvil_str_t value, claim_row_t *row);
