#pragma once

#include "fake-net.h"

/** fake_event_kind_t - kinds of input of an entry */
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
 * fake_event_t - one input of an entry
 *
 * Discarded if the process it was created for has ended, held back while that process is frozen.
 * @process_epoch: process that it is for, see fake_entry_t
 * @timed_out: the entry has stopped waiting for the result of this write
 */
typedef struct
{
  fake_net_t *net;
  guint entry;
  guint process_epoch;
  fake_event_kind_t kind;
  union
  {
    struct
    {
      anvil_node_t sender_node;
      guint sender_entry;
      anvil_message_t message;
    };
    anvil_seat_row_t rows[FAKE_MAX_SEATS];
    struct
    {
      anvil_seat_row_t row;
      anvil_row_result_t row_result;
      gboolean timed_out;
    };
    const anvil_vm_list_t *list;
    guint64 generation;
    anvil_request_t request;
    struct
    {
      guint64 request_id;
      guint64 attempt;
      guint attempt_upstream;
      anvil_attempt_result_t result;
      gint64 bits;
    };
    struct
    {
      guint upstream;
      anvil_time_t requested_at;
      guint running;
      gboolean healthy;
      gboolean draining;
    };
  };
} fake_event_t;

/** fake_event_new - creates an event for the current process of an entry */
fake_event_t *fake_event_new (fake_net_t *net, guint entry, fake_event_kind_t kind);

/** fake_event_schedule - delivers the event at virtual time @when; takes ownership of @event */
void fake_event_schedule (fake_event_t *event, anvil_time_t when);

/** fake_event_deliver - delivers, discards or holds back the event; does not take @event */
void fake_event_deliver (fake_event_t *event);

/** fake_entry_poll - polls the platform and upstreams like the daemon; called on each tick */
void fake_entry_poll (fake_net_t *net, guint entry);

/** fake_entry_callbacks - callbacks of a decision core; the context is a fake_entry_context_t */
extern const anvil_steer_callbacks_t fake_entry_callbacks;

typedef struct
{
  fake_net_t *net;
  guint entry;
} fake_entry_context_t;
