#pragma once

#include "anvil/config.h"
#include "anvil/message.h"
#include "anvil/platform.h"

/*
 * The decision core of an entry: which requests it runs, when, and on which upstream.
 *
 * It has no sockets, threads, clock or global state. Events are passed to the functions below with
 * the current time of a monotonic clock. The core acts by calling the callbacks, always from
 * within one of these functions. The same code runs in the daemon, in the fuzzer on virtual time
 * and in the benchmarks.
 *
 * An upstream has a fixed number of slots, one for each request that it runs at a time. Each slot
 * belongs to one of the configured seats, and each seat has a share of every rate limit that
 * applies to it. An entry becomes the holder of a seat by writing the seat's row in the platform's
 * table. It may use the seat's slots and shares only while it has a lease on the seat: unexpired
 * grants by a majority of the seat's witnesses. The witnesses are up to three seats, the seat
 * itself and others in other zones and regions; the holder of each makes its grants. If a holder
 * doesn't respond, another witness adopts its seat, that is, gets a lease in its place. Entries
 * also lend each other slots and units of rate limits.
 */

/* Interval at which anvil_steer_tick() has to be called. */
#define ANVIL_TICK_INTERVAL (50 * ANVIL_MS)

typedef struct anvil_steer anvil_steer_t;

/**
 * anvil_refusal_reason_t - why a request is refused; no upstream has run any part of it
 * @ANVIL_REFUSAL_NOT_READY: this entry has no configuration yet
 * @ANVIL_REFUSAL_QUEUE_FULL: the queue of its service and half is full
 * @ANVIL_REFUSAL_DEADLINE: no slot became free before its deadline
 * @ANVIL_REFUSAL_NO_UPSTREAM: its service and half have no upstream that isn't draining
 * @ANVIL_REFUSAL_RETRIES_EXHAUSTED: every attempt was rejected, and no further one is allowed
 * @ANVIL_REFUSAL_LEAVING: this entry is shutting down
 * @ANVIL_REFUSAL_OTHER_GENERATION: its service or upstream is not in the configuration in force
 */
typedef enum
{
  ANVIL_REFUSAL_NOT_READY,
  ANVIL_REFUSAL_QUEUE_FULL,
  ANVIL_REFUSAL_DEADLINE,
  ANVIL_REFUSAL_NO_UPSTREAM,
  ANVIL_REFUSAL_RETRIES_EXHAUSTED,
  ANVIL_REFUSAL_LEAVING,
  ANVIL_REFUSAL_OTHER_GENERATION,
} anvil_refusal_reason_t;

/** anvil_refusal_reason_name - the reason as written in headers and metrics */
const char *anvil_refusal_reason_name (anvil_refusal_reason_t reason);

/**
 * anvil_attempt_result_t - how a dispatched attempt ended
 * @ANVIL_ATTEMPT_ANSWERED: the response was received completely
 * @ANVIL_ATTEMPT_NOT_RUN: no byte was sent, or the upstream reported that it shed the request
 * @ANVIL_ATTEMPT_DRAINING: the upstream reported that it is draining and did not run the request
 * @ANVIL_ATTEMPT_UNKNOWN: the upstream may have run the request
 */
typedef enum
{
  ANVIL_ATTEMPT_ANSWERED,
  ANVIL_ATTEMPT_NOT_RUN,
  ANVIL_ATTEMPT_DRAINING,
  ANVIL_ATTEMPT_UNKNOWN,
} anvil_attempt_result_t;

/**
 * anvil_request_t - a request that waits for a decision
 * @id: chosen by the user of this interface, not 0, unique among unfinished requests
 * @service: index of the service
 * @client_address: IPv4 address of the caller, host order
 * @idempotent: whether it may be run more than once
 * @deadline: when its caller stops waiting, on the monotonic clock
 * @request_bits: size of the request with its body
 * @affinity: hash of the requested object, 0 if it has none; not used by the core
 */
typedef struct
{
  guint64 id;
  guint service;
  guint32 client_address;
  gboolean idempotent;
  anvil_time_t deadline;
  gint64 request_bits;
  guint64 affinity;
} anvil_request_t;

/**
 * anvil_dispatch_t - where and how to run one attempt of a request
 * @attempt: number of the attempt, from 1
 * @generation: generation of the configuration in force
 * @upstream: index of the upstream in that configuration
 * @upstream_key: key of the upstream
 * @slot: number of the upstream's slot that the attempt occupies
 * @address: IPv4 address of the upstream, host order
 * @port: TCP port of the upstream
 * @deadline: when the upstream must have finished, on the monotonic clock
 * @pace_bits_per_s: maximum rate at which the body is sent over a link between regions, 0 if it
 *   crosses none
 */
typedef struct
{
  guint attempt;
  guint64 generation;
  guint upstream;
  guint64 upstream_key;
  guint slot;
  guint32 address;
  guint16 port;
  anvil_time_t deadline;
  gint64 pace_bits_per_s;
} anvil_dispatch_t;

/**
 * anvil_row_result_t - outcome of a conditional write of a seat's row
 * @ANVIL_ROW_WRITTEN: the row was written
 * @ANVIL_ROW_CONFLICT: the row had another epoch and was not changed
 * @ANVIL_ROW_UNKNOWN: the row may have been written
 */
typedef enum
{
  ANVIL_ROW_WRITTEN,
  ANVIL_ROW_CONFLICT,
  ANVIL_ROW_UNKNOWN,
} anvil_row_result_t;

/**
 * anvil_steer_callbacks_t - actions that the core requests
 * @send: sends a message to a peer; it may be lost, duplicated or delayed
 * @read_rows: reads all seat rows, then calls anvil_steer_rows_read()
 * @write_row: writes @next if the row's epoch is still @next->epoch - 1, then calls
 *   anvil_steer_row_written()
 * @dispatch: starts an attempt; anvil_steer_attempt_finished() is called when it has ended
 * @finish: ends a request that was dispatched; @result is that of the last attempt, or
 *   ANVIL_ATTEMPT_UNKNOWN if an earlier attempt may have run
 * @refuse: ends a request that no upstream has run; its caller may retry after @retry_after
 * @fetch_config: fetches the configuration @generation from @peer, which has it in force
 */
typedef struct
{
  void (*send) (void *context, anvil_node_t to, const anvil_message_t *message);
  void (*read_rows) (void *context);
  void (*write_row) (void *context, const anvil_seat_row_t *next);
  void (*dispatch) (void *context,
                    const anvil_request_t *request,
                    const anvil_dispatch_t *dispatch);
  void (*finish) (void *context, guint64 request, anvil_attempt_result_t result);
  void (*refuse) (void *context,
                  guint64 request,
                  anvil_refusal_reason_t reason,
                  anvil_time_t retry_after);
  void (*fetch_config) (void *context, guint64 generation, anvil_node_t peer);
} anvil_steer_callbacks_t;

/**
 * anvil_steer_faults_t - faults that tests inject to prove that their checks detect them
 *
 * Each TRUE member disables one safety mechanism. All are FALSE in the daemon.
 */
typedef struct
{
  gboolean ignore_term;
  gboolean ignore_wait_out;
  gboolean ignore_busy_after_takeover;
  gboolean ignore_loan_term;
  gboolean ignore_lent_slots;
  gboolean ignore_old_generation;
  gboolean count_from_answer;
  gboolean ignore_drain;
  gboolean ignore_link_budget;
  gboolean ignore_shift_cap;
  gboolean retry_after_unknown;
} anvil_steer_faults_t;

/**
 * anvil_sharing_t - how entries share slots and rate limits
 * @ANVIL_SHARING_LOANS: a fixed share per seat, and loans between entries; used by the daemon
 * @ANVIL_SHARING_STATIC: a fixed share per seat only; used as a baseline by benchmarks
 */
typedef enum
{
  ANVIL_SHARING_LOANS,
  ANVIL_SHARING_STATIC,
} anvil_sharing_t;

/**
 * anvil_steer_options_t - identity of this entry, and settings of its core
 * @node: its address for peers
 * @incarnation: greater than at any earlier start of an entry on this VM
 * @zone: name of its availability zone
 * @caller_port: port for callers
 * @admin_port: port for administration
 * @seed: seed of the random number generator
 * @sharing: how limits are shared
 * @faults: faults injected by tests
 */
typedef struct
{
  anvil_node_t node;
  guint64 incarnation;
  anvil_str_t zone;
  guint16 caller_port;
  guint16 admin_port;
  guint32 seed;
  anvil_sharing_t sharing;
  anvil_steer_faults_t faults;
} anvil_steer_options_t;

/** anvil_steer_new - creates a core without a configuration; @callbacks are copied */
anvil_steer_t *anvil_steer_new (const anvil_steer_options_t *options,
                                const anvil_steer_callbacks_t *callbacks,
                                void *context);
void anvil_steer_drop (anvil_steer_t *steer);

/** anvil_steer_configure - puts a newer generation in force; ignores the same or an older one */
void anvil_steer_configure (anvil_steer_t *steer,
                            anvil_time_t now,
                            anvil_config_t *config,
                            guint64 generation);

/** anvil_steer_generation - generation in force, 0 if there is none */
guint64 anvil_steer_generation (const anvil_steer_t *steer);

/** anvil_steer_config - configuration in force, borrowed, or NULL */
const anvil_config_t *anvil_steer_config (const anvil_steer_t *steer);

/** anvil_steer_tick - runs periodic work: heartbeats, lease renewal, expiry, queued requests */
void anvil_steer_tick (anvil_steer_t *steer, anvil_time_t now);

/** anvil_steer_receive - handles a message of a peer */
void anvil_steer_receive (anvil_steer_t *steer,
                          anvil_time_t now,
                          anvil_node_t from,
                          const anvil_message_t *message);

/** anvil_steer_rows_read - handles the result of the read_rows callback: all rows of the table */
void anvil_steer_rows_read (anvil_steer_t *steer,
                            anvil_time_t now,
                            const anvil_seat_row_t *rows,
                            guint n_rows);

/** anvil_steer_row_written - handles the result of the write_row callback */
void anvil_steer_row_written (anvil_steer_t *steer,
                              anvil_time_t now,
                              const anvil_seat_row_t *next,
                              anvil_row_result_t result);

/** anvil_steer_update_vm_list - takes over the platform's VM list; ignores an older version */
void
anvil_steer_update_vm_list (anvil_steer_t *steer, anvil_time_t now, const anvil_vm_list_t *list);

/** anvil_steer_submit - adds a request; unless it is cancelled, either finish or refuse is called
 * for it once */
void anvil_steer_submit (anvil_steer_t *steer, anvil_time_t now, const anvil_request_t *request);

/** anvil_steer_cancel - handles a caller that has disconnected; TRUE if the request was waiting and
 * has been removed, FALSE if its attempt still has to finish */
gboolean anvil_steer_cancel (anvil_steer_t *steer, anvil_time_t now, guint64 request);

/** anvil_steer_attempt_finished - handles the end of a request's attempt; may dispatch the request
 * again */
void anvil_steer_attempt_finished (anvil_steer_t *steer,
                                   anvil_time_t now,
                                   guint64 request,
                                   anvil_attempt_result_t result,
                                   gint64 response_bits);

/**
 * anvil_steer_health_report - handles an upstream's response to a health check
 * @upstream: key of the upstream
 * @requested_at: when the check was sent, this entry's clock
 * @running: requests that the upstream reports as running; not used
 * @healthy: whether it reports itself healthy
 * @draining: whether it reports that it is draining
 */
void anvil_steer_health_report (anvil_steer_t *steer,
                                anvil_time_t now,
                                guint64 upstream,
                                anvil_time_t requested_at,
                                guint running,
                                gboolean healthy,
                                gboolean draining);

/** anvil_steer_leave - starts a graceful shutdown: leaves look-ups, finishes its requests, releases
 * its seats */
void anvil_steer_leave (anvil_steer_t *steer, anvil_time_t now);

/** anvil_steer_leave_complete - whether the shutdown has finished all requests and released all
 * seats, or waited long enough for the release */
gboolean anvil_steer_leave_complete (const anvil_steer_t *steer, anvil_time_t now);

/** anvil_steer_request_count - number of requests waiting or running */
guint anvil_steer_request_count (const anvil_steer_t *steer);

/**
 * anvil_entry_choice_t - an entry in the result of a look-up
 * @node: its address for peers; callers use the same host
 * @caller_port: its port for callers
 * @zone: hash of its zone's name
 * @weight: relative share of requests that the caller should send there, 0 for a fallback
 */
typedef struct
{
  anvil_node_t node;
  guint16 caller_port;
  guint64 zone;
  guint weight;
} anvil_entry_choice_t;

/* How long callers may cache the result of a look-up. */
#define ANVIL_LOOKUP_TTL (5 * ANVIL_SECOND)

/**
 * anvil_steer_lookup - finds entries for a caller, best first
 * @service: index of the service
 * @client_address: IPv4 address of the caller, host order
 * @choices: result
 * @max_choices: capacity of @choices
 *
 * Return: number of choices; 0 without a configuration.
 */
guint anvil_steer_lookup (anvil_steer_t *steer,
                          anvil_time_t now,
                          guint service,
                          guint32 client_address,
                          anvil_entry_choice_t *choices,
                          guint max_choices);

/**
 * anvil_seat_status_t - one seat as this entry sees it
 * @row: latest row known
 * @usable: whether this entry has a valid lease on it
 * @adopted: whether this entry, as a witness, uses it in place of a holder that doesn't respond
 */
typedef struct
{
  anvil_seat_row_t row;
  gboolean usable;
  gboolean adopted;
} anvil_seat_status_t;

/**
 * anvil_upstream_status_t - one upstream as this entry sees it
 * @owned: slots assigned to seats that this entry may use
 * @borrowed: slots borrowed from peers
 * @lent: slots lent to peers
 * @in_flight: requests of this entry running there
 * @accepting: whether it takes requests now: not draining, ejected, backed off from or warming up
 *   with all its allowed slots in use
 * @draining: whether it drains, by the configuration or as learnt at run time
 * @ejected: whether it is ejected after repeated failures
 */
typedef struct
{
  guint owned;
  guint borrowed;
  guint lent;
  guint in_flight;
  gboolean accepting;
  gboolean draining;
  gboolean ejected;
} anvil_upstream_status_t;

/**
 * anvil_link_status_t - one directed link as this entry sees it
 * @share_bits_per_s: rate that this entry may use
 * @available_bits: tokens in its buckets now
 * @used_bits: total bits charged since the start
 */
typedef struct
{
  gint64 share_bits_per_s;
  gint64 available_bits;
  gint64 used_bits;
} anvil_link_status_t;

guint anvil_steer_members (const anvil_steer_t *steer, anvil_member_t *members, guint max_members);
gboolean anvil_steer_seat_status (const anvil_steer_t *steer,
                                  anvil_time_t now,
                                  guint seat,
                                  anvil_seat_status_t *status);
gboolean anvil_steer_upstream_status (const anvil_steer_t *steer,
                                      anvil_time_t now,
                                      guint upstream,
                                      anvil_upstream_status_t *status);
gboolean anvil_steer_link_status (const anvil_steer_t *steer,
                                  anvil_time_t now,
                                  guint link,
                                  anvil_link_status_t *status);

/**
 * anvil_steer_counters_t - totals since the start
 * @dispatched: attempts started
 * @retried: attempts after the first of a request
 * @refused: requests refused
 * @waited: attempts that did not start at the time their request was submitted
 * @loans_asked: loan requests sent
 * @loans_given: slots lent to peers
 * @loans_taken: slots borrowed from peers
 * @adoptions: leases gained on adopted seats
 * @ejections: upstreams ejected
 * @messages_sent: messages sent to peers
 */
typedef struct
{
  guint64 dispatched;
  guint64 retried;
  guint64 refused;
  guint64 waited;
  guint64 loans_asked;
  guint64 loans_given;
  guint64 loans_taken;
  guint64 adoptions;
  guint64 ejections;
  guint64 messages_sent;
} anvil_steer_counters_t;

const anvil_steer_counters_t *anvil_steer_counters (const anvil_steer_t *steer);
