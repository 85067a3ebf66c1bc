#pragma once

#include "fake-net.h"
#include "oracle.h"

/* Steps of one history; longer runs start a new one with the next seed. */
#define WORLD_STEPS 400

/**
 * world_op_t - one step: an operation or fault and its arguments, any bytes will do
 */
typedef struct
{
  guint8 code;
  guint8 a;
  guint8 b;
  guint8 c;
} world_op_t;

/** world_t - a small deployment under the eyes of the oracles */
typedef struct
{
  fake_net_t *net;
  oracle_t *oracle;
} world_t;

/** world_new - five seats, six entries, three services with few slots and thin links */
world_t *world_new (guint32 seed, const anvil_steer_faults_t *faults);
void world_drop (world_t *world);

/** world_step - does one operation; FALSE once an oracle has failed */
gboolean world_step (world_t *world, const world_op_t *op);

/** world_recover - ends all faults and checks that everything works again; FALSE on a failure */
gboolean world_recover (world_t *world);

/** world_op - an operation by the first word of its name, such as "freeze"; for directed histories
 */
world_op_t world_op (const char *name, guint8 a, guint8 b, guint8 c);

/** world_op_format - the operation as a person reads it, "freeze entry=2"; freed with g_free() */
char *world_op_format (const world_op_t *op);

/* Further files that operators submit. */
#define WORLD_N_CONFIGS 64

/** world_config - one of the files, borrowed; file 0 is the base file */
anvil_config_t *world_config (guint variant);

/** world_configs_drop - frees the files that were loaded */
void world_configs_drop (void);
