#pragma once

#include "fake-net.h"

/** fake_call_kind_t - what enters an entry */
typedef enum
{
  FAKE_CALL_TICK,
  FAKE_CALL_MESSAGE,
  FAKE_CALL_ROWS,
  FAKE_CALL_ROW_WRITTEN,
  FAKE_CALL_LIST,
  FAKE_CALL_FILE,
  FAKE_CALL_SUBMIT,
  FAKE_CALL_RESULT,
  FAKE_CALL_REPORT,
} fake_call_kind_t;

/**
 * fake_call_t - one event for an entry; lost if that process has ended, held while it is frozen
 */
typedef struct
{
  fake_net_t *net;
  guint entry;
  guint life;
  fake_call_kind_t kind;
  union
  {
    struct
    {
      anvil_node_t from;
      guint sender;
      anvil_message_t message;
    };
    anvil_seat_row_t rows[FAKE_MAX_SEATS];
    struct
    {
      anvil_seat_row_t row;
      anvil_row_result_t written;
      gboolean given_up;
    };
    const anvil_vm_list_t *list;
    guint64 generation;
    anvil_request_t request;
    struct
    {
      guint64 finished;
      guint64 attempt;
      guint finished_upstream;
      anvil_attempt_result_t result;
      gint64 bits;
    };
    struct
    {
      guint upstream;
      anvil_time_t asked_at;
      guint running;
      gboolean healthy;
      gboolean draining;
    };
  };
} fake_call_t;

/** fake_call_new - an event for the process that runs at a place now */
fake_call_t *fake_call_new (fake_net_t *net, guint entry, fake_call_kind_t kind);

/** fake_call_at - delivers it at a virtual time; takes @call */
void fake_call_at (fake_call_t *call, anvil_time_t when);

/** fake_call_deliver - delivers it now, unless it is lost or held back */
void fake_call_deliver (fake_call_t *call);

/** fake_entry_poll - what the daemon asks the platform and the upstreams for, on each tick */
void fake_entry_poll (fake_net_t *net, guint entry);

/** fake_entry_actions - actions of a core; its context is a fake_entry_context_t */
extern const anvil_steer_callbacks_t fake_entry_actions;

typedef struct
{
  fake_net_t *net;
  guint entry;
} fake_entry_context_t;
