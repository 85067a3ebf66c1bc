#pragma once

#include "anvil/steer.h"
#include "steer/drain-table.h"
#include "steer/loan-backoff.h"
#include "steer/member-table.h"
#include "steer/rate-bucket.h"
#include "steer/retry-budget.h"
#include "steer/seat-grant.h"
#include "steer/seat-layout.h"
#include "steer/seat-lease.h"
#include "steer/upstream.h"

/*
 * State of the decision core, shared by its source files. Each file owns one group of the members
 * of struct anvil_steer and the functions that change them.
 */

/* Size from which a request is bulk traffic, in bits. */
#define ANVIL_BULK_BITS ((gint64) 4 * 1024 * 1024)
/* How much later than its deadline a request may end at an upstream: network delay, clock drift. */
#define ANVIL_REQUEST_END_MARGIN (150 * ANVIL_MS)
/* Part of a link's limit reserved for bulk traffic; interactive traffic has the rest. */
#define ANVIL_BULK_PERCENT 50

/** anvil_traffic_class_t - classes of traffic; each has a separate part of a link */
typedef enum
{
  ANVIL_TRAFFIC_INTERACTIVE,
  ANVIL_TRAFFIC_BULK,
  ANVIL_N_TRAFFIC_CLASSES,
} anvil_traffic_class_t;

/**
 * anvil_seat_state_t - what this entry knows of one seat
 * @row: latest row known
 * @row_changed_at: when @row was last replaced
 * @sends_left: number of gossip messages that still carry @row with priority
 * @held: whether this entry is the holder
 * @releasing: whether this entry is writing a row that releases the seat
 * @adopting: whether this entry uses the seat in place of a holder that doesn't respond
 * @witness_from: when this entry, as the holder, may start to grant other seats as a witness
 * @old_refused_since: since when witnesses of older layouts have refused older generations, or 0
 * @lease: this entry's lease on the seat
 * @grants: grants of the seat that this entry has made as each of its witnesses
 */
typedef struct
{
  anvil_seat_row_t row;
  anvil_time_t row_changed_at;
  guint sends_left;
  gboolean held;
  gboolean releasing;
  gboolean adopting;
  anvil_time_t witness_from;
  anvil_time_t old_refused_since;
  anvil_seat_lease_t lease;
  anvil_seat_grant_t grants[ANVIL_MAX_WITNESSES];
} anvil_seat_state_t;

/**
 * anvil_queue_t - waiting requests of one service and half
 * @waiting: anvil_request_state_t, the earliest deadline first
 * @service: index of the service
 * @half: index of the half
 * @upstreams: anvil_upstream_state_t of the service and half
 * @region_shares: for each home region of callers, the fraction that each region serves
 * @average_latency: moving average over all of these upstreams
 */
typedef struct
{
  GSequence *waiting;
  guint service;
  guint half;
  GArray *upstreams;
  gdouble *region_shares;
  anvil_time_t average_latency;
} anvil_queue_t;

/**
 * anvil_request_state_t - a request from its submission to its end
 * @queue: its queue; NULL if a new configuration has none for it
 * @queue_iter: position in the queue, NULL while it doesn't wait
 * @submitted_at: time of its submission
 * @attempts: attempts started
 * @in_flight: whether an attempt is running
 * @may_have_run: whether the outcome of an attempt is unknown
 * @upstream_key: upstream of the latest attempt
 * @slot: slot of the latest attempt
 * @dispatched_at: start of the latest attempt
 * @attempt_deadline: when the latest attempt must have ended
 * @avoid_upstream: upstream that the next attempt should avoid
 * @cancelled: whether it must not be retried
 * @client_region: region of the caller, or ANVIL_NO_INDEX
 * @response_link_key: bucket charged for the response between upstream and entry, 0 if none
 * @client_link_key: bucket charged for the response between entry and caller, 0 if none
 * @charged_response_bits: expected size of the response, as charged
 */
typedef struct
{
  anvil_request_t request;
  anvil_queue_t *queue;
  GSequenceIter *queue_iter;
  anvil_time_t submitted_at;
  guint attempts;
  gboolean in_flight;
  gboolean may_have_run;
  guint64 upstream_key;
  guint slot;
  guint64 loan_nonce;
  anvil_time_t dispatched_at;
  anvil_time_t attempt_deadline;
  guint64 avoid_upstream;
  gboolean cancelled;
  guint client_region;
  guint64 response_link_key;
  guint64 client_link_key;
  gint64 charged_response_bits;
} anvil_request_state_t;

/**
 * anvil_pending_loan_t - a loan request that hasn't been answered
 * @nonce: identifies the loan in messages
 * @peer: the lender
 * @requested_at: when it was sent
 * @queue: queue that needs slots, NULL if it asks for rate units
 * @slot_count: requested slots
 * @budget_key: key of the rate budget, 0 if it asks for slots
 */
typedef struct
{
  guint64 nonce;
  anvil_node_t peer;
  anvil_time_t requested_at;
  anvil_queue_t *queue;
  guint slot_count;
  guint64 budget_key;
} anvil_pending_loan_t;

/** anvil_old_generation_t - an older configuration that some entry may still have in force */
typedef struct
{
  guint64 generation;
  anvil_config_t *config;
} anvil_old_generation_t;

/**
 * anvil_old_layout_t - an older seat layout under which some entry may still have a lease
 * @layout: the seats and their witnesses, NULL if this entry doesn't know them
 * @replaced_by_generation: first generation seen by this entry that has another layout
 */
typedef struct
{
  anvil_seat_layout_t *layout;
  guint64 replaced_by_generation;
} anvil_old_layout_t;

/* Maximum number of entries in the result of a look-up. */
#define ANVIL_MAX_LOOKUP_CHOICES 16

/** anvil_cached_lookup_t - cached look-up result for one region of callers */
typedef struct
{
  gboolean valid;
  anvil_time_t computed_at;
  guint n_choices;
  anvil_entry_choice_t choices[ANVIL_MAX_LOOKUP_CHOICES];
} anvil_cached_lookup_t;

struct anvil_steer
{
  anvil_steer_options_t options;
  char *zone_name;
  anvil_steer_callbacks_t callbacks;
  void *context;
  GRand *random;
  anvil_steer_counters_t counters;

  /* Configuration: steer-config.c */
  anvil_config_t *config;
  guint64 generation;
  GArray *old_generations;
  guint64 latest_generation;
  anvil_time_t outdated_since;
  /* The peer that a newer configuration was last requested from, and when to repeat the request. */
  anvil_node_t fetch_peer;
  anvil_time_t next_fetch_at;
  guint zone;
  guint region;
  GArray *zone_hashes;

  /* Look-ups: steer-lookup.c */
  GArray *lookups;

  /* Members: steer-gossip.c */
  anvil_member_table_t *members;
  anvil_drain_table_t *drains;
  anvil_time_t next_gossip_at;
  anvil_time_t next_heartbeat_at;
  gboolean leaving;
  anvil_time_t leave_started_at;
  guint64 list_version;
  anvil_time_t list_received_at;
  gboolean self_listed;
  GHashTable *listed_nodes;
  GHashTable *listed_upstreams;

  /* Seats: steer-seat.c, steer-row.c */
  anvil_seat_layout_t *layout;
  anvil_seat_state_t *seats;
  GArray *old_layouts;
  GArray *old_layout_rows;
  gboolean grants_lost;
  anvil_time_t next_grants_at;
  anvil_time_t next_rows_read_at;
  anvil_time_t next_claim_at;
  anvil_time_t unseated_since;
  gboolean rows_known;
  gboolean row_write_pending;
  anvil_time_t row_write_started_at;
  guint row_gossip_offset;

  /* Slots: steer-slot.c. Upstreams by key, and those of the configuration by index. */
  GHashTable *upstreams;
  GArray *upstreams_by_index;
  anvil_time_t next_retire_check_at;
  anvil_time_t old_refused_since;

  /* Rate budgets, by key, by link and traffic class, and by shift: steer-rate.c */
  GHashTable *buckets;
  GArray *link_buckets;
  GArray *shift_buckets;

  /* Requests: steer-request.c */
  GHashTable *requests;
  GArray *queues;
  anvil_retry_budget_t retry_budget;
  anvil_time_t configured_at;

  /* Loans: steer-loan.c */
  GHashTable *pending_loans;
  anvil_loan_backoffs_t loan_backoffs;
  guint n_borrowed;
  guint64 next_nonce;
};

/* steer-config.c */
void anvil_steer_observe_generation (anvil_steer_t *steer,
                                     anvil_time_t now,
                                     guint64 generation,
                                     anvil_node_t peer);
gboolean anvil_steer_config_outdated (const anvil_steer_t *steer, anvil_time_t now);
void anvil_steer_retire_old_generations (anvil_steer_t *steer, anvil_time_t now);
guint anvil_steer_region_of_zone_hash (const anvil_steer_t *steer, guint64 zone);
guint anvil_steer_region_of_member (const anvil_steer_t *steer, anvil_node_t node);

/* steer-lookup.c */
void anvil_steer_lookups_reset (anvil_steer_t *steer);

/* steer-gossip.c */
void anvil_steer_gossip_tick (anvil_steer_t *steer, anvil_time_t now);
void anvil_steer_receive_gossip (anvil_steer_t *steer,
                                 anvil_time_t now,
                                 anvil_node_t from,
                                 const anvil_gossip_t *gossip);
void anvil_steer_apply_vm_list (anvil_steer_t *steer, anvil_time_t now);
void anvil_steer_update_own_member (anvil_steer_t *steer, anvil_time_t now);
void anvil_steer_send (anvil_steer_t *steer, anvil_node_t to, const anvil_message_t *message);

/* steer-seat.c */
void anvil_steer_seats_reset (anvil_steer_t *steer, anvil_time_t now);
void anvil_steer_grants_tick (anvil_steer_t *steer, anvil_time_t now);
void anvil_steer_receive_grant_request (anvil_steer_t *steer,
                                        anvil_time_t now,
                                        anvil_node_t from,
                                        const anvil_grant_request_t *request);
void anvil_steer_receive_grant_response (anvil_steer_t *steer,
                                         anvil_time_t now,
                                         const anvil_grant_response_t *response);
void anvil_steer_receive_grant_release (anvil_steer_t *steer,
                                        anvil_time_t now,
                                        anvil_node_t from,
                                        const anvil_grant_release_t *release);
void anvil_steer_release_lease (anvil_steer_t *steer, anvil_time_t now, guint seat);
void anvil_steer_stop_adopting (anvil_steer_t *steer, anvil_time_t now, guint seat);
gboolean anvil_steer_seat_usable (const anvil_steer_t *steer, anvil_time_t now, guint seat);
gboolean anvil_steer_renews_seat (const anvil_steer_t *steer, guint seat);

/* steer-old-layout.c */
void anvil_old_layout_drop (gpointer data);
void anvil_steer_old_layouts_add (anvil_steer_t *steer, anvil_seat_layout_t *layout);
void anvil_steer_old_layouts_update_row (anvil_steer_t *steer, const anvil_seat_row_t *row);
gboolean anvil_steer_old_leases_expired (anvil_steer_t *steer, anvil_time_t now, guint seat);
gboolean anvil_steer_old_layouts_refused (const anvil_steer_t *steer);
void anvil_steer_old_layouts_clear (anvil_steer_t *steer);

/* steer-row.c */
void anvil_steer_rows_tick (anvil_steer_t *steer, anvil_time_t now);
void anvil_steer_merge_row (anvil_steer_t *steer, anvil_time_t now, const anvil_seat_row_t *row);
void anvil_steer_fill_gossip_rows (anvil_steer_t *steer, anvil_gossip_t *gossip);
void anvil_steer_release_seats (anvil_steer_t *steer, anvil_time_t now);

/* steer-slot.c */
void anvil_steer_slots_configure (anvil_steer_t *steer, anvil_time_t now);
void anvil_steer_slots_assign (anvil_steer_t *steer, anvil_time_t now);
void anvil_steer_block_taken_over_slots (anvil_steer_t *steer, anvil_time_t now, guint seat);
anvil_upstream_state_t *anvil_steer_upstream_state (const anvil_steer_t *steer, guint64 key);
gboolean anvil_steer_owned_slot_free (const anvil_steer_t *steer,
                                      anvil_time_t now,
                                      const anvil_slot_t *slot);
gboolean
anvil_steer_slot_free (const anvil_steer_t *steer, anvil_time_t now, const anvil_slot_t *slot);
gboolean anvil_steer_upstream_accepting (const anvil_steer_t *steer,
                                         anvil_time_t now,
                                         const anvil_upstream_state_t *upstream);
gboolean anvil_steer_seat_has_loans (const anvil_steer_t *steer, anvil_time_t now, guint seat);
guint anvil_steer_count_free_slots (const anvil_steer_t *steer,
                                    anvil_time_t now,
                                    const anvil_queue_t *queue);
anvil_time_t anvil_steer_max_request_time (const anvil_steer_t *steer,
                                           const anvil_upstream_state_t *upstream);
void anvil_steer_upstream_failed (anvil_steer_t *steer,
                                  anvil_time_t now,
                                  anvil_upstream_state_t *upstream);

/* steer-rate.c */
void anvil_steer_rates_configure (anvil_steer_t *steer, anvil_time_t now);
anvil_rate_bucket_t *anvil_steer_link_bucket (
    anvil_steer_t *steer, anvil_time_t now, guint from, guint to, anvil_traffic_class_t traffic);
anvil_rate_bucket_t *anvil_steer_shift_bucket (anvil_steer_t *steer, anvil_time_t now, guint shift);
anvil_time_t anvil_steer_shift_started_at (const anvil_steer_t *steer, guint shift);
anvil_rate_bucket_t *anvil_steer_bucket (anvil_steer_t *steer, anvil_time_t now, guint64 key);
gint64 anvil_steer_bucket_share (const anvil_steer_t *steer,
                                 anvil_time_t now,
                                 const anvil_rate_bucket_t *bucket);

/* steer-half.c */
guint
anvil_steer_choose_half (anvil_steer_t *steer, anvil_time_t now, const anvil_request_t *request);

guint anvil_steer_expected_half (const anvil_steer_t *steer,
                                 anvil_time_t now,
                                 guint service,
                                 guint32 client_address);

/* steer-placement.c */
void anvil_steer_compute_region_shares (anvil_steer_t *steer, anvil_queue_t *queue);
guint anvil_steer_choose_region (const anvil_steer_t *steer,
                                 const anvil_queue_t *queue,
                                 guint home,
                                 guint32 client_address);

/* steer-choice.c */
anvil_traffic_class_t anvil_traffic_class (gint64 request_bits);

/**
 * anvil_slot_choice_t - slot chosen for a request, and the rate buckets that it will be charged to
 * @upstream: upstream of the slot, NULL if none was found
 * @slot: number of the slot
 * @request_link: link that the request crosses to the upstream, or NULL
 * @response_link: link that the response crosses back to this entry, or NULL
 * @client_link: link that the response crosses to the caller, or NULL
 * @response_bits: expected size of the response
 * @exhausted_bucket: a bucket without enough tokens that ruled out an upstream, or NULL
 * @required_units: units required of @exhausted_bucket
 */
typedef struct
{
  anvil_upstream_state_t *upstream;
  guint slot;
  anvil_rate_bucket_t *request_link;
  anvil_rate_bucket_t *response_link;
  anvil_rate_bucket_t *client_link;
  gint64 response_bits;
  anvil_rate_bucket_t *exhausted_bucket;
  gint64 required_units;
} anvil_slot_choice_t;
gboolean anvil_steer_choose_slot (anvil_steer_t *steer,
                                  anvil_time_t now,
                                  const anvil_request_state_t *state,
                                  anvil_slot_choice_t *choice);

/* steer-request.c */
void anvil_steer_requests_configure (anvil_steer_t *steer,
                                     anvil_time_t now,
                                     const anvil_config_t *old_config);
void anvil_steer_requests_tick (anvil_steer_t *steer, anvil_time_t now);
void anvil_steer_dispatch_waiting (anvil_steer_t *steer, anvil_time_t now, anvil_queue_t *queue);
void anvil_steer_dispatch_all_waiting (anvil_steer_t *steer, anvil_time_t now);
anvil_queue_t *anvil_steer_queue (const anvil_steer_t *steer, guint service, guint half);
void anvil_queue_drop (gpointer data);

/* steer-loan-ask.c, steer-loan-give.c, steer-loan.c */

/* Time after which an unanswered loan request is dropped. */
#define ANVIL_LOAN_REQUEST_TIMEOUT (300 * ANVIL_MS)

guint64 anvil_queue_key (const anvil_queue_t *queue);
void anvil_steer_request_slots (anvil_steer_t *steer, anvil_time_t now, anvil_queue_t *queue);
void anvil_steer_request_units (anvil_steer_t *steer,
                                anvil_time_t now,
                                const anvil_rate_bucket_t *bucket,
                                gint64 units);
void anvil_steer_receive_loan_request (anvil_steer_t *steer,
                                       anvil_time_t now,
                                       anvil_node_t from,
                                       const anvil_loan_request_t *request);
void anvil_steer_receive_loan_response (anvil_steer_t *steer,
                                        anvil_time_t now,
                                        anvil_node_t from,
                                        const anvil_loan_response_t *response);
void anvil_steer_receive_loan_return (anvil_steer_t *steer,
                                      anvil_time_t now,
                                      anvil_node_t from,
                                      const anvil_loan_return_t *loan_return);
void anvil_steer_return_slot_if_unneeded (anvil_steer_t *steer,
                                          anvil_time_t now,
                                          anvil_upstream_state_t *upstream,
                                          guint slot);
void anvil_steer_loans_tick (anvil_steer_t *steer, anvil_time_t now);
