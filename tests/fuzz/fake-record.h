#pragma once

#include "anvil/steer.h"

/**
 * fake_record_kind_t - kinds of event in the history of a run
 * @FAKE_STARTED: a process of an entry began
 * @FAKE_STOPPED: it died or was replaced
 * @FAKE_SHUTDOWN_STARTED: it began a graceful shutdown
 * @FAKE_SHUTDOWN_FINISHED: it ended a graceful shutdown
 * @FAKE_SUBMITTED: a request came to an entry
 * @FAKE_DISPATCHED: the entry sent it to an upstream
 * @FAKE_LINK_CHARGED: bits that the dispatch puts on a directed link
 * @FAKE_WORK_ENDED: the upstream did or turned away the work; @ran tells which
 * @FAKE_ATTEMPT_RESULT: the entry learnt how the attempt ended
 * @FAKE_FINISHED: the entry told the caller a result
 * @FAKE_REFUSED: the entry told the caller that the request was not run
 * @FAKE_IN_FORCE: the entry put a generation in force
 * @FAKE_DRAIN_OBSERVED: the entry was told by list, report or answer that an upstream drains
 * @FAKE_DRAIN_DENIED: the upstream's report, which may mislead, says that it doesn't
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
 * @entry: place of the entry
 * @request: number of the request, unique in the run
 * @attempt: number of the attempt, unique in the run
 * @upstream: its place in the base file
 * @deadline: when the upstream stops the work at the latest, virtual time
 * @link: directed link, an index of the base file
 * @from_vm_list: the platform's list told, not the upstream
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
