#pragma once

#include <http_parser.h>

#include <event2/bufferevent.h>

#include "relay/relay-upstream.h"

/* Parts of exchanges with upstreams: relay-upstream.c keeps connections and sends, relay-answer.c
 * reads and judges answers. */

typedef struct link link_t;

struct anvil_relay_upstream_pool
{
  struct event_base *base;
  const anvil_header_names_t *wire;
  guint32 local;
  /* GQueue of unused link_t by upstream, the one used last first. */
  GHashTable *kept;
  struct event *sweep;
  anvil_relay_upstream_pool_counters_t counters;
};

/**
 * link - one connection to an upstream
 * @run: under way on it, or NULL while it is kept
 * @keep: how long it may stay unused
 * @used_at: when its last answer ended
 * @closing: the upstream ends it after its answer
 */
struct link
{
  anvil_relay_upstream_pool_t *pool;
  guint64 upstream;
  guint32 address;
  guint16 port;
  struct bufferevent *stream;
  anvil_relay_attempt_t *run;
  gboolean reused;
  anvil_time_t keep;
  anvil_time_t used_at;
  gboolean closing;
};

/**
 * anvil_relay_attempt - one request and its answer
 * @length: bytes of the request
 * @ended: the parser has seen the end of an answer
 * @strays: answers of other requests so far
 */
struct anvil_relay_attempt
{
  link_t *link;
  anvil_relay_attempt_cb_t done;
  void *context;
  char *id;
  char *upstream_id;
  gboolean head;
  gsize length;
  anvil_time_t started_at;
  http_parser parser;
  GString *field;
  GString *value;
  gboolean in_value;
  GString *headers;
  struct evbuffer *body;
  char *answer_id;
  char *answer_upstream;
  gboolean signature;
  gboolean not_run;
  gboolean encoded;
  gboolean ended;
  guint strays;
};

/* Parses bytes of an answer, or its end where there are none; how many were taken. Stops behind
 * each whole answer. */
size_t run_parse (anvil_relay_attempt_t *run, const char *bytes, size_t length);

/* The answer that was read is for this request, or says that another upstream has the address. */
gboolean run_is_ours (const anvil_relay_attempt_t *run);

/* Judges a whole answer with the right id. */
anvil_relay_attempt_outcome_t run_judge (const anvil_relay_attempt_t *run);
