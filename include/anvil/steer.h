#pragma once

#include "anvil/config.h"
#include "anvil/message.h"
#include "anvil/platform.h"

/*
 * The decision core of an entry.
 *
 * It has no sockets, threads, clock or global state. Events go in by the
 * functions below, each with the time of the caller's monotonic clock; actions
 * come out through the callbacks, from inside the call that caused them. The
 * same code runs in the daemon, under the fuzzer in virtual time, and in the
 * benchmark.
 */

/* How often anvil_steer_tick() wants to be called. */
#define ANVIL_TICK_INTERVAL (50 * ANVIL_MS)

typedef struct anvil_steer anvil_steer_t;

/**
 * anvil_refusal_reason_t - why a request isn't run; it has not reached an upstream
 * @ANVIL_REFUSAL_NOT_READY: no configuration
 * @ANVIL_REFUSAL_QUEUE_FULL: too many wait
 * @ANVIL_REFUSAL_DEADLINE: no slot came free in time
 * @ANVIL_REFUSAL_NO_UPSTREAM: no upstream of the right half takes work
 * @ANVIL_REFUSAL_RETRIES_EXHAUSTED: every try was turned away and the retry budget is spent
 * @ANVIL_REFUSAL_LEAVING: this entry shuts down
 * @ANVIL_REFUSAL_OTHER_GENERATION: the request was decided on a file that is no longer in force
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

/** anvil_refusal_reason_name - the reason as a word for headers and metrics */
const char *anvil_refusal_reason_name (anvil_refusal_reason_t why);

/**
 * anvil_attempt_result_t - how a dispatched attempt ended
 * @ANVIL_ATTEMPT_ANSWERED: the whole answer came
 * @ANVIL_ATTEMPT_NOT_RUN: no byte was sent, or the upstream said that it shed it
 * @ANVIL_ATTEMPT_DRAINING: the upstream said that it drains and did not run it
 * @ANVIL_ATTEMPT_UNKNOWN: it may have run
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
 * @id: chosen by the caller of this core, unique among those under way
 * @service: index of the service
 * @client_address: IPv4 of the caller, host order
 * @idempotent: whether it may be run again
 * @deadline: when its caller gives up, on the monotonic clock
 * @request_bits: size of the request with its body
 * @affinity: hash of the object asked for; 0 if nothing is gained by it
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
 * anvil_dispatch_t - run a request now
 * @attempt: counts the tries from 1
 * @generation: configuration that it was decided on
 * @upstream: index of the upstream in that configuration
 * @upstream_key: key of the upstream
 * @slot: number of the slot that it occupies
 * @address: IPv4 in host order
 * @port: TCP port
 * @deadline: when the upstream must have stopped, on the monotonic clock
 * @pace_bits_per_s: most that the body may use of a link, 0 within a region
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
 * @ANVIL_ROW_WRITTEN: it took effect
 * @ANVIL_ROW_CONFLICT: the row had another epoch
 * @ANVIL_ROW_UNKNOWN: it may have taken effect
 */
typedef enum
{
  ANVIL_ROW_WRITTEN,
  ANVIL_ROW_CONFLICT,
  ANVIL_ROW_UNKNOWN,
} anvil_row_result_t;

/**
 * anvil_steer_callbacks_t - what the core wants done
 * @send: pass a message to a peer; it may be lost, doubled or late
 * @read_rows: read all seat rows, then call anvil_steer_rows_read()
 * @write_row: write @next if the row's epoch is still @next->epoch - 1, then
 *   call anvil_steer_row_written()
 * @dispatch: run a request; answer by anvil_steer_attempt_finished()
 * @finish: a dispatched request isn't tried again; @result is that of the last attempt
 * @refuse: the request was not run; the core has forgotten it
 * @fetch_config: @generation is known to exist and @peer has it
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
                  anvil_refusal_reason_t why,
                  anvil_time_t retry_after);
  void (*fetch_config) (void *context, guint64 generation, anvil_node_t peer);
} anvil_steer_callbacks_t;

/**
 * anvil_steer_faults_t - mechanisms that tests switch off to see their oracle fail
 *
 * All FALSE in the daemon.
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
 * anvil_sharing_t - how limits are shared; the daemon uses loans
 * @ANVIL_SHARING_LOANS: shares by seat, loans between entries
 * @ANVIL_SHARING_STATIC: shares by seat only
 */
typedef enum
{
  ANVIL_SHARING_LOANS,
  ANVIL_SHARING_STATIC,
} anvil_sharing_t;

/**
 * anvil_steer_options_t - who this entry is
 * @node: its address for peers
 * @incarnation: greater than at any earlier start of this VM
 * @zone: name of its availability zone
 * @caller_port: port for callers
 * @admin_port: port for administration
 * @seed: of the random numbers
 * @sharing: how limits are shared
 * @faults: for tests
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

/** anvil_steer_new - a core without a configuration; @actions are copied */
anvil_steer_t *anvil_steer_new (const anvil_steer_options_t *options,
                                const anvil_steer_callbacks_t *actions,
                                void *context);
void anvil_steer_drop (anvil_steer_t *steer);

/** anvil_steer_configure - puts a newer generation in force; an older one or the same is ignored */
void anvil_steer_configure (anvil_steer_t *steer,
                            anvil_time_t now,
                            anvil_config_t *config,
                            guint64 generation);

/** anvil_steer_generation - generation in force, 0 before the first */
guint64 anvil_steer_generation (const anvil_steer_t *steer);

/** anvil_steer_config - configuration in force, borrowed, or NULL */
const anvil_config_t *anvil_steer_config (const anvil_steer_t *steer);

/** anvil_steer_tick - does what time asks for: heartbeats, grants, expiries, waiting requests */
void anvil_steer_tick (anvil_steer_t *steer, anvil_time_t now);

/** anvil_steer_receive - a message of a peer */
void anvil_steer_receive (anvil_steer_t *steer,
                          anvil_time_t now,
                          anvil_node_t from,
                          const anvil_message_t *message);

/** anvil_steer_rows_read - all seat rows as the table has them, after rows_read */
void anvil_steer_rows_read (anvil_steer_t *steer,
                            anvil_time_t now,
                            const anvil_seat_row_t *rows,
                            guint n_rows);

/** anvil_steer_row_written - outcome of row_write */
void anvil_steer_row_written (anvil_steer_t *steer,
                              anvil_time_t now,
                              const anvil_seat_row_t *next,
                              anvil_row_result_t result);

/** anvil_steer_update_vm_list - the platform's list; an older version than the last is ignored */
void
anvil_steer_update_vm_list (anvil_steer_t *steer, anvil_time_t now, const anvil_vm_list_t *list);

/** anvil_steer_submit - a request; exactly one of dispatch-and-finish or refuse follows */
void anvil_steer_submit (anvil_steer_t *steer, anvil_time_t now, const anvil_request_t *request);

/** anvil_steer_cancel - the caller left; TRUE if the request was waiting and is forgotten */
gboolean anvil_steer_cancel (anvil_steer_t *steer, anvil_time_t now, guint64 request);

/** anvil_steer_attempt_finished - how the attempt under way of a request ended; may dispatch it
 * again */
void anvil_steer_attempt_finished (anvil_steer_t *steer,
                                   anvil_time_t now,
                                   guint64 request,
                                   anvil_attempt_result_t result,
                                   gint64 response_bits);

/**
 * anvil_steer_health_report - load and health that an upstream reported
 * @upstream: its key
 * @asked_at: when the report was asked for, this entry's clock
 * @running: requests it says it runs
 * @healthy: whether it says it is healthy
 * @draining: whether it says it drains
 */
void anvil_steer_health_report (anvil_steer_t *steer,
                                anvil_time_t now,
                                guint64 upstream,
                                anvil_time_t asked_at,
                                guint running,
                                gboolean healthy,
                                gboolean draining);

/** anvil_steer_leave - begins a graceful shutdown: out of look-ups, seats released, work ends */
void anvil_steer_leave (anvil_steer_t *steer, anvil_time_t now);

/** anvil_steer_leave_complete - whether a shutdown that has begun may end: no work is left and the
 * seats are released */
gboolean anvil_steer_leave_complete (const anvil_steer_t *steer, anvil_time_t now);

/** anvil_steer_request_count - requests waiting or under way */
guint anvil_steer_request_count (const anvil_steer_t *steer);

/**
 * anvil_entry_choice_t - an entry that a look-up returns
 * @weight: relative share of requests that the caller should send there
 */
typedef struct
{
  anvil_node_t node;
  guint16 caller_port;
  guint64 zone;
  guint weight;
} anvil_entry_choice_t;

/* How long callers may keep the answer of a look-up. */
#define ANVIL_LOOKUP_TTL (5 * ANVIL_SECOND)

/**
 * anvil_steer_lookup - entries for a caller, best first
 * @client: IPv4 of the caller, host order
 * @choices: result
 * @max_choices: room in @choices
 *
 * Return: how many were written; 0 without a configuration.
 */
guint anvil_steer_lookup (anvil_steer_t *steer,
                          anvil_time_t now,
                          guint service,
                          guint32 client,
                          anvil_entry_choice_t *choices,
                          guint max_choices);

/**
 * anvil_seat_status_t - one seat as this entry sees it
 * @usable: this entry may use it now
 * @adopted: used for a holder that is away
 */
typedef struct
{
  anvil_seat_row_t row;
  gboolean usable;
  gboolean adopted;
} anvil_seat_status_t;

/**
 * anvil_upstream_status_t - one upstream as this entry sees it
 * @owned: slots of it that this entry may use by its seats
 * @borrowed: slots on loan from peers
 * @lent: slots on loan to peers
 * @in_flight: own requests under way there
 * @accepting: neither draining nor ejected
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
 * @share_bits_per_s: what this entry may use
 * @available_bits: what it may use at once
 * @used_bits: what it has charged since the start
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

/** anvil_steer_counters_t - what the core has done since its start */
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
