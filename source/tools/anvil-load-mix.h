#pragma once

#include "anvil/config.h"

/**
 * load_kind_t - kind of requests that a service gets
 * @LOAD_BROWSE: GET of objects, of which few are popular
 * @LOAD_TRANSACT: POST with an idempotency key
 * @LOAD_UPLOAD: POST of a large body with an idempotency key; more of them during the burst
 */
typedef enum
{
  LOAD_BROWSE,
  LOAD_TRANSACT,
  LOAD_UPLOAD,
} load_kind_t;

/** load_service_kind - chosen by the size of requests and whether the service is idempotent */
load_kind_t load_service_kind (const anvil_service_t *service);

/** load_kind_weight - relative share of all requests that go to a service of this kind */
guint load_kind_weight (load_kind_t kind);

/**
 * load_request_spec_t - content of a request
 * @object: number of the requested object, 0 is the most popular one
 * @body_bytes: length of the body, 0 for none
 */
typedef struct
{
  load_kind_t kind;
  guint object;
  gsize body_bytes;
} load_request_spec_t;

/** load_mix_t - generator of a service's requests, determined by its seed */
typedef struct load_mix load_mix_t;

load_mix_t *load_mix_new (const anvil_service_t *service, guint32 seed);
void load_mix_drop (load_mix_t *mix);
load_request_spec_t load_mix_next (load_mix_t *mix);
