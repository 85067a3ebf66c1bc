#pragma once

#include "fake-net.h"
#include "oracle.h"

/* Number of steps of a history. Longer runs continue with a new history of the next seed. */
#define WORLD_STEPS 400

/** world_op_t - one step: an operation or fault and its arguments; all byte values are valid */
typedef struct
{
  guint8 code;
  guint8 a;
  guint8 b;
  guint8 c;
} world_op_t;

/** world_t - a small simulated deployment, checked by the oracles */
typedef struct
{
  fake_net_t *net;
  oracle_t *oracle;
} world_t;

/** world_new - creates five seats, six entries and three services with few slots and slow links */
world_t *world_new (guint32 seed, const anvil_steer_faults_t *faults);
void world_drop (world_t *world);

/** world_step - runs one operation and the checks; FALSE once an oracle has failed */
gboolean world_step (world_t *world, const world_op_t *op);

/** world_recover - ends all faults and checks the recovery; FALSE once an oracle has failed */
gboolean world_recover (world_t *world);

/** world_op - looks up an operation by the first word of its name, such as "freeze" */
world_op_t world_op (const char *name, guint8 a, guint8 b, guint8 c);

/** world_op_format - formats an operation, such as "freeze entry: 2 0 0"; free with g_free() */
char *world_op_format (const world_op_t *op);

/* Number of configuration files, one per combination of changes to the base file. */
#define WORLD_N_CONFIGS 64

/** world_config - parses and caches a file, borrowed; variant 0 is the base file */
anvil_config_t *world_config (guint variant);

/** world_configs_drop - frees the cached files */
void world_configs_drop (void);
