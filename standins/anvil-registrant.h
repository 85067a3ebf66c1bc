#pragma once

#include <stdio.h>

#include <event2/event.h>
#include <event2/http.h>

#include "anvil/settings.h"
#include "net/http-pool.h"

/* Indices of the settings. */
enum
{
  LISTEN,
  STORE,
  ID,
  SERVICE,
  ZONE,
  SLOTS,
  QUEUE,
  WORK_MS,
  WARM_MS,
  HEARTBEAT_MS,
  DRAIN_MS,
  ADVERTISE,
  RUNS,
  COLD_MS,
  N_SETTINGS,
};

typedef struct
{
  const anvil_setting_t *settings;
  struct event_base *base;
  anvil_http_pool_t *store_pool;
  char *endpoint;
  gint64 started_at;
  guint sequence;
  gboolean draining;
  gboolean drain_stored;
  guint running;
  /* registrant_job_t that wait for a slot. */
  GQueue waiting;
  /* Numbers of runs by request ID. */
  GHashTable *run_counts;
  /* Set of objects that were requested before; a request for one takes WARM_MS. */
  GHashTable *warm_objects;
  /* Numbers of connections by their bufferevent. */
  GHashTable *connections;
  guint n_connections;
  /* Numbers of the connections on which requests with the fault "refused-once" were refused, by
   * request ID. */
  GHashTable *refused_ids;
  /* Server-Limit and Server-Leaving headers of its responses, or NULL. */
  char *request_limit;
  char *leaving;
  /* Fourth figure of its Server-Load headers, or NULL. */
  char *speed;
  /* Retry-After header with which it refuses all requests, or NULL. */
  char *retry_after;
  /* File that events are logged to, or NULL. */
  FILE *event_log;
} upstream_t;

typedef struct
{
  upstream_t *upstream;
  struct evhttp_request *request;
  struct event *timer;
  /* Kind of faulty response, "" for none. */
  char *fault;
  /* Status of the response, unless the fault leaves it without one. */
  int status;
  /* Duration of the run, 0 for the default. */
  guint work_ms;
  gsize size;
} registrant_job_t;

const char *registrant_request_header (struct evhttp_request *request, const char *name);

/* Sends the faulty response that the request selected; @text is the body where there is one. */
void registrant_send_faulty_response (const registrant_job_t *job, const char *text);

/* Sends a response past evhttp, which leaves the connection as it is. */
void registrant_send_copy (struct evhttp_request *request, const char *text);

void registrant_send_copy_of_refusal (struct evhttp_request *request);

/* Logs an event. Each line is written at once, so that a killed process leaves no partial line. */
void registrant_log_event (upstream_t *upstream, const char *event, const char *id);

/* Writes the upstream's row to the store, or removes it. */
void registrant_write_row (upstream_t *upstream, gboolean remove);
