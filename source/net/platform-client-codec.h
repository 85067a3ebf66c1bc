#pragma once

#include <event2/buffer.h>
#include <jansson.h>

#include "anvil/platform.h"

/* JSON of docs/PLATFORM.md, with the bounds that both sides keep. */

#define ANVIL_PLATFORM_MAX_KEY_BYTES 256
#define ANVIL_PLATFORM_MAX_VALUE_BYTES (64u << 10)
#define ANVIL_PLATFORM_MAX_BODY_BYTES (8u << 20)

/**
 * anvil_platform_pack_commit - the body of a transaction
 * @out: the text is appended
 *
 * Return: FALSE with @error if a key or value is out of its bounds.
 */
gboolean anvil_platform_pack_commit (const anvil_row_t *conditions,
                                     guint n_conditions,
                                     const anvil_row_t *writes,
                                     guint n_writes,
                                     struct evbuffer *out,
                                     GError **error);

/** anvil_platform_unpack_committed - "committed" of a transaction's answer; FALSE if there is none
 */
gboolean anvil_platform_unpack_committed (struct evbuffer *body, gboolean *committed);

/** anvil_platform_rows_t - rows of an answer and the text they point into */
typedef struct
{
  json_t *json;
  anvil_row_t *rows;
  guint n_rows;
} anvil_platform_rows_t;

gboolean
anvil_platform_unpack_rows (struct evbuffer *body, anvil_platform_rows_t *rows, GError **error);
void anvil_platform_rows_clear (anvil_platform_rows_t *rows);

/** anvil_platform_vms_t - a list of VMs and the text it points into */
typedef struct
{
  json_t *json;
  anvil_vm_list_t list;
} anvil_platform_vms_t;

gboolean
anvil_platform_unpack_vms (struct evbuffer *body, anvil_platform_vms_t *vms, GError **error);
void anvil_platform_vms_clear (anvil_platform_vms_t *vms);
