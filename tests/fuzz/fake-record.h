#pragma once

#include "anvil/steer.h"

/**
 * fake_record_kind_t - kinds of event in the history of a simulation
 * @FAKE_STARTED: a process of an entry started
 * @FAKE_STOPPED: the process died or was replaced
 * @FAKE_SHUTDOWN_STARTED: it started a graceful shutdown
 * @FAKE_SHUTDOWN_FINISHED: it completed a graceful shutdown
 * @FAKE_SUBMITTED: an entry received a request
 * @FAKE_DISPATCHED: the entry sent the request to an upstream
 * @FAKE_LINK_CHARGED: the dispatch uses bits of a directed link
 * @FAKE_WORK_ENDED: the upstream ran or rejected the attempt, see ran
 * @FAKE_ATTEMPT_RESULT: the entry received the result of the attempt
 * @FAKE_FINISHED: the entry sent a result to the caller
 * @FAKE_REFUSED: the entry told the caller that the request was not run
 * @FAKE_IN_FORCE: the entry put a generation in force
 * @FAKE_DRAIN_OBSERVED: the entry learned of a drain by VM list, load report or attempt result
 * @FAKE_DRAIN_DENIED: VM list or load report, possibly out of date, shows no drain
 */
typedef enum
{
  FAKE_STARTED,
  FAKE_STOPPED,
  FAKE_SHUTDOWN_STARTED,
  FAKE_SHUTDOWN_FINISHED,
  FAKE_SUBMITTED,
  FAKE_DISPATCHED,
  FAKE_LINK_CHARGED,
  FAKE_WORK_ENDED,
  FAKE_ATTEMPT_RESULT,
  FAKE_FINISHED,
  FAKE_REFUSED,
  FAKE_IN_FORCE,
  FAKE_DRAIN_OBSERVED,
  FAKE_DRAIN_DENIED,
} fake_record_kind_t;

/**
 * fake_record_t - one event; fields that its kind doesn't need are 0
 * @at: virtual time
 * @entry: index of the entry
 * @request: id of the request, unique in the simulation
 * @attempt: id of the attempt, unique in the simulation
 * @upstream: index of the upstream in the base file
 * @deadline: virtual time at which the request times out, or the upstream stops the attempt
 * @ran: the upstream ran the attempt
 * @link: index of the directed link in the base file
 * @from_vm_list: the source is the platform's VM list, not the upstream
 */
typedef struct
{
  fake_record_kind_t kind;
  anvil_time_t at;
  guint entry;
  guint64 request;
  guint64 attempt;
  guint service;
  guint32 client;
  gboolean idempotent;
  guint upstream;
  guint slot;
  anvil_time_t deadline;
  gboolean ran;
  anvil_attempt_result_t result;
  anvil_refusal_reason_t refusal;
  guint64 generation;
  guint link;
  gboolean from_vm_list;
  gint64 bits;
} fake_record_t;

typedef void (*fake_record_cb_t) (void *context, const fake_record_t *record);
