#pragma once

#include <stdio.h>

#include <event2/event.h>
#include <event2/http.h>

#include "anvil/settings.h"
#include "net/http-pool.h"

/* Order of the settings. */
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
  /* Counts of runs by request id. */
  GHashTable *run_counts;
  GHashTable *warm_objects;
  /* Where runs are noted, or NULL. */
  FILE *event_log;
} upstream_t;

typedef struct
{
  upstream_t *upstream;
  struct evhttp_request *request;
  struct event *timer;
  char *fault;
  guint work_ms;
} registrant_job_t;

const char *registrant_request_header (struct evhttp_request *request, const char *name);

/* Answers a run in the way that its request asked for, with @text where a body goes. */
void registrant_send_faulty_response (const registrant_job_t *work, const char *text);

/* Notes an event of a request; one write a line, so that a killed process leaves whole lines. */
void registrant_log_event (upstream_t *upstream, const char *word, const char *id);

/* Writes its row to the store, or removes it. */
void registrant_write_row (upstream_t *upstream, gboolean remove);
