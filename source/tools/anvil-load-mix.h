#pragma once

#include "anvil/config.h"

/**
 * load_kind_t - what the callers of a service do
 * @LOAD_BROWSE: GET of objects, few of them popular
 * @LOAD_TRANSACT: POST with an idempotency key
 * @LOAD_UPLOAD: POST of a large body, many at a time
 */
typedef enum
{
  LOAD_BROWSE,
  LOAD_TRANSACT,
  LOAD_UPLOAD,
} load_kind_t;

/** load_service_kind - kind of a service, by its sizes and whether it is idempotent */
load_kind_t load_service_kind (const anvil_service_t *service);

/** load_kind_weight - relative share of all requests that a service of a kind gets */
guint load_kind_weight (load_kind_t kind);

/**
 * load_request_spec_t - what one request sends
 * @kind: kind of its service
 * @object: number of the object that is asked for, 0 being the most popular
 * @body_bytes: length of the body, 0 without one
 */
typedef struct
{
  load_kind_t kind;
  guint object;
  gsize body_bytes;
} load_request_spec_t;

/** load_mix_t - draws requests of a service; fixed by its seed */
typedef struct load_mix load_mix_t;

load_mix_t *load_mix_new (const anvil_service_t *service, guint32 seed);
void load_mix_drop (load_mix_t *mix);
load_request_spec_t load_mix_next (load_mix_t *mix);
