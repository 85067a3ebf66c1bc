#pragma once

#include "fake-net.h"

/** fake_event_kind_t - what enters an entry */
typedef enum
{
  FAKE_EVENT_TICK,
  FAKE_EVENT_MESSAGE,
  FAKE_EVENT_ROWS_READ,
  FAKE_EVENT_ROW_WRITTEN,
  FAKE_EVENT_VM_LIST,
  FAKE_EVENT_CONFIG,
  FAKE_EVENT_REQUEST,
  FAKE_EVENT_ATTEMPT_RESULT,
  FAKE_EVENT_HEALTH_REPORT,
} fake_event_kind_t;

/**
 * fake_event_t - one event for an entry; lost if that process has ended, held while it is frozen
 */
typedef struct
{
  fake_net_t *net;
  guint entry;
  guint life;
  fake_event_kind_t kind;
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
} fake_event_t;

/** fake_event_new - an event for the process that runs at a place now */
fake_event_t *fake_event_new (fake_net_t *net, guint entry, fake_event_kind_t kind);

/** fake_event_schedule - delivers it at a virtual time; takes @call */
void fake_event_schedule (fake_event_t *call, anvil_time_t when);

/** fake_event_deliver - delivers it now, unless it is lost or held back */
void fake_event_deliver (fake_event_t *call);

/** fake_entry_poll - what the daemon asks the platform and the upstreams for, on each tick */
void fake_entry_poll (fake_net_t *net, guint entry);

/** fake_entry_callbacks - actions of a core; its context is a fake_entry_context_t */
extern const anvil_steer_callbacks_t fake_entry_callbacks;

typedef struct
{
  fake_net_t *net;
  guint entry;
} fake_entry_context_t;
