#pragma once

#include <event2/event.h>
#include <glib.h>

/*
 * Callers of the soak: requests at a rate, to entries in turn, on kept and new
 * connections, and what they were told.
 */

/**
 * soak_outcome_t - what a caller was told
 * @SOAK_PENDING: nothing yet
 * @SOAK_ANSWERED: a success with a signature
 * @SOAK_REFUSED: it has not run and never will
 * @SOAK_UNKNOWN: it may have run
 * @SOAK_WRONG: an answer that can't be right; @detail says why
 */
typedef enum
{
  SOAK_PENDING,
  SOAK_ANSWERED,
  SOAK_REFUSED,
  SOAK_UNKNOWN,
  SOAK_WRONG,
} soak_outcome_t;

/** soak_request_t - one request; times are of the wall clock, microseconds */
typedef struct
{
  char *id;
  gboolean repeatable;
  guint entry;
  gint64 sent_at;
  gint64 ended_at;
  guint status;
  soak_outcome_t outcome;
  char *detail;
} soak_request_t;

typedef struct soak_callers soak_callers_t;

/** soak_callers_open - @ports are the entries' ports for callers; @faults is the share of requests
 * whose answer upstreams spoil */
soak_callers_t *soak_callers_open (struct event_base *base,
                                   const guint16 *ports,
                                   guint n_ports,
                                   GRand *random,
                                   gdouble per_second,
                                   gdouble faults);

/** soak_callers_stop - sends no more; answers that are due still count */
void soak_callers_stop (soak_callers_t *callers);

/** soak_callers_calm - from now on no answer is asked to be spoilt */
void soak_callers_calm (soak_callers_t *callers);
void soak_callers_close (soak_callers_t *callers);

/** soak_callers_requests - soak_request_t, in the order of sending; borrowed */
const GPtrArray *soak_callers_requests (const soak_callers_t *callers);
