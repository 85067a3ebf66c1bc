#pragma once

#include <event2/buffer.h>
#include <jansson.h>

#include "anvil/platform.h"

/* JSON of the platform's protocol, see docs/PLATFORM.md, and its limits. */

#define ANVIL_PLATFORM_MAX_KEY_BYTES 256
#define ANVIL_PLATFORM_MAX_VALUE_BYTES (64u << 10)
#define ANVIL_PLATFORM_MAX_BODY_BYTES (8u << 20)

/**
 * anvil_platform_pack_commit - formats the request body of a transaction
 * @out: the body is appended here
 *
 * Return: FALSE with @error if a key or value is too long or not UTF-8.
 */
gboolean anvil_platform_pack_commit (const anvil_row_t *conditions,
                                     guint n_conditions,
                                     const anvil_row_t *writes,
                                     guint n_writes,
                                     struct evbuffer *out,
                                     GError **error);

/** anvil_platform_unpack_committed - reads "committed" of a response; FALSE if there is none */
gboolean anvil_platform_unpack_committed (struct evbuffer *body, gboolean *committed);

/** anvil_platform_rows_t - rows of a response, which point into @json */
typedef struct
{
  json_t *json;
  anvil_row_t *rows;
  guint n_rows;
} anvil_platform_rows_t;

gboolean
anvil_platform_unpack_rows (struct evbuffer *body, anvil_platform_rows_t *rows, GError **error);
void anvil_platform_rows_clear (anvil_platform_rows_t *rows);

/** anvil_platform_vms_t - a list of VMs, which points into @json */
typedef struct
{
  json_t *json;
  anvil_vm_list_t list;
} anvil_platform_vms_t;

gboolean
anvil_platform_unpack_vms (struct evbuffer *body, anvil_platform_vms_t *vms, GError **error);
void anvil_platform_vms_clear (anvil_platform_vms_t *vms);
