#include "steer/claims-row.h"

#include <jansson.h>
#include <string.h>

/* 128 bits of SHA-256 in hexadecimal: callers choose the keys, so collisions must be infeasible. */
#define KEY_HASH_HEX_DIGITS 32

static const char *const state_names[] = {
  [CLAIM_ROW_CLAIMED] = "claimed",
  [CLAIM_ROW_ANSWERED] = "answered",
  [CLAIM_ROW_RELEASED] = "released",
};

char *
anvil_claim_row_key (anvil_str_t service, anvil_str_t key)
{
  char *hash
      = g_compute_checksum_for_data (G_CHECKSUM_SHA256, (const guchar *) key.data, key.length);
  char *row_key
      = g_strdup_printf ("claim/%.*s/%.*s", ANVIL_STR_ARGS (service), KEY_HASH_HEX_DIGITS, hash);

  g_free (hash);
  return row_key;
}

char *
anvil_claim_row_pack (const claim_row_t *row)
{
  json_t *json
      = json_pack ("{s:s,s:s,s:i,s:I}", "nonce", row->nonce, "state", state_names[row->state],
                   "status", row->status, "until", (json_int_t) row->expires_at_s);
  char *text = json_dumps (json, JSON_COMPACT);

  json_decref (json);
  return text;
}

static gboolean
parse_state (const char *name, claim_row_state_t *state)
{
  for (guint i = 0; i < G_N_ELEMENTS (state_names); i++)
    {
      if (strcmp (name, state_names[i]) == 0)
        {
          *state = i;
          return TRUE;
        }
    }
  return FALSE;
}

gboolean
anvil_claim_row_unpack (anvil_str_t value, claim_row_t *row)
{
  json_t *json = json_loadb (value.data != NULL ? value.data : "", value.length, 0, NULL);
  const char *nonce;
  const char *state;
  json_int_t expires_at_s;
  int status;
  gboolean valid;

  valid = json != NULL
          && json_unpack (json, "{s:s,s:s,s:i,s:I}", "nonce", &nonce, "state", &state, "status",
                          &status, "until", &expires_at_s)
                 == 0
          && strlen (nonce) < CLAIM_NONCE_BYTES && parse_state (state, &row->state);
  if (valid)
    {
      g_strlcpy (row->nonce, nonce, sizeof row->nonce);
      row->status = status;
      row->expires_at_s = expires_at_s;
    }
  json_decref (json);
  return valid;
}
