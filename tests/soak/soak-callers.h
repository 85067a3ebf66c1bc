#pragma once

#include <event2/event.h>
#include <glib.h>

/*
 * Callers of the soak test. They send requests at a fixed rate to randomly chosen entries, on
 * kept-alive and on new connections, and record the outcome of each.
 */

/**
 * soak_outcome_t - outcome of a request as its caller sees it
 * @SOAK_PENDING: no response yet
 * @SOAK_ANSWERED: a valid success response with a signature
 * @SOAK_REFUSED: the request has not run on an upstream and never will
 * @SOAK_UNKNOWN: the request may have run
 * @SOAK_INVALID: a success without a signature or with a wrong id or body; see @detail
 */
typedef enum
{
  SOAK_PENDING,
  SOAK_ANSWERED,
  SOAK_REFUSED,
  SOAK_UNKNOWN,
  SOAK_INVALID,
} soak_outcome_t;

/**
 * soak_request_t - a request; times are of the wall clock, in microseconds
 * @repeat: the request that the caller sent after this one was refused, under the same id to the
 * same entry, or NULL
 * @leaving_id: id of the upstream that said in the response that it leaves, or NULL
 */
typedef struct soak_request soak_request_t;
struct soak_request
{
  char *id;
  gboolean idempotent;
  guint entry;
  gint64 sent_at;
  gint64 ended_at;
  guint status;
  soak_outcome_t outcome;
  char *detail;
  const soak_request_t *repeat;
  char *leaving_id;
};

typedef struct soak_callers soak_callers_t;

/** soak_callers_open - @ports are the caller ports of the entries; @fault_ratio is the fraction of
 * requests that ask the upstream for a faulty response; @refusal_ratio is the fraction of those
 * that each upstream refuses once. If it isn't 0, refused requests are sent again under their id.
 */
soak_callers_t *soak_callers_open (struct event_base *base,
                                   const guint16 *ports,
                                   guint n_ports,
                                   GRand *random,
                                   gdouble per_second,
                                   gdouble fault_ratio,
                                   gdouble refusal_ratio,
                                   GRand *refusal_random);

/** soak_callers_stop - sends no more requests; outstanding responses are still recorded */
void soak_callers_stop (soak_callers_t *callers);

/** soak_callers_disable_faults - later requests ask for no faulty response, and none is repeated */
void soak_callers_disable_faults (soak_callers_t *callers);
void soak_callers_close (soak_callers_t *callers);

/** soak_callers_find - the request with @id that was sent last before @at, or NULL */
const soak_request_t *soak_callers_find (const soak_callers_t *callers, const char *id, gint64 at);

/** soak_callers_requests - all soak_request_t in the order of sending; owned by @callers */
const GPtrArray *soak_callers_requests (const soak_callers_t *callers);
