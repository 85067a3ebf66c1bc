#pragma once

#include "anvil/steer.h"
#include "steer/drain-table.h"
#include "steer/loan-pause.h"
#include "steer/member-table.h"
#include "steer/rate-budget.h"
#include "steer/retry-budget.h"
#include "steer/seat-grant.h"
#include "steer/seat-layout.h"
#include "steer/seat-right.h"
#include "steer/upstream.h"

/*
 * The parts of the decision core share this structure. Each file of the core
 * owns one group of its fields and the functions that change them.
 */

/* Requests at least this large are bulk: they use their own part of a link. */
#define ANVIL_BULK_BITS ((gint64) 4 * 1024 * 1024)
/* How much later than its deadline work may end at an upstream: the way there, and clocks. */
#define ANVIL_REQUEST_END_MARGIN (150 * ANVIL_MS)
/* Part of a link's share that bulk requests may use, per cent. */
#define ANVIL_BULK_PERCENT 50

/** anvil_traffic_class_t - classes of traffic with separate parts of a link */
typedef enum
{
  ANVIL_TRAFFIC_INTERACTIVE,
  ANVIL_TRAFFIC_BULK,
  ANVIL_N_TRAFFIC_CLASSES,
} anvil_traffic_class_t;

/** anvil_seat_t - one seat at this entry; see steer-seat.c */
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
  anvil_right_t lease;
  anvil_grant_t grants[ANVIL_WITNESSES];
} anvil_seat_state_t;

/** anvil_queue_t - waiting requests of one service and half, the earliest deadline first */
typedef struct
{
  GSequence *waiting;
  guint service;
  guint half;
  GArray *upstreams;
  gdouble *region_shares;
  anvil_time_t average_latency;
} anvil_queue_t;

/** anvil_tracked_request_t - a request from its submission to its end */
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
} anvil_tracked_request_t;

/** anvil_pending_loan_t - a question for a loan that is under way */
typedef struct
{
  guint64 nonce;
  anvil_node_t peer;
  anvil_time_t requested_at;
  anvil_queue_t *queue;
  guint slot_count;
  guint64 budget_key;
} anvil_pending_loan_t;

/** anvil_old_generation_t - a file that some entry may still act on */
typedef struct
{
  guint64 generation;
  anvil_config_t *config;
} anvil_old_generation_t;

/**
 * anvil_old_layout_t - seats of an older file by which some entry may still use them
 * @layout: the seats and their witnesses, NULL if this entry doesn't know them
 * @replaced_by_generation: first generation at this entry that had others
 */
typedef struct
{
  anvil_seat_layout_t *layout;
  guint64 replaced_by_generation;
} anvil_old_layout_t;

/* Entries that a look-up names at most. */
#define ANVIL_MAX_LOOKUP_CHOICES 16

/** anvil_cached_lookup_t - the answer for callers of one region, made anew when it has aged */
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
  anvil_steer_callbacks_t actions;
  void *context;
  GRand *random;
  anvil_steer_counters_t counters;

  /* Configuration: steer-config.c */
  anvil_config_t *config;
  guint64 generation;
  GArray *old_generations;
  guint64 latest_generation;
  anvil_time_t outdated_since;
  /* The peer that was asked for a newer file last, and when it may be asked again. */
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

  /* Slots: steer-slot.c */
  GHashTable *upstreams;
  GArray *upstreams_by_index;
  anvil_time_t next_retire_check_at;
  anvil_time_t old_refused_since;

  /* Rates: steer-rate.c */
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
  anvil_loan_pauses_t loan_backoffs;
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
                                        const anvil_grant_ask_t *ask);
void anvil_steer_receive_grant_answer (anvil_steer_t *steer,
                                       anvil_time_t now,
                                       const anvil_grant_answer_t *answer);
void anvil_steer_receive_grant_release (anvil_steer_t *steer,
                                        anvil_time_t now,
                                        anvil_node_t from,
                                        const anvil_grant_release_t *release);
void anvil_steer_release_lease (anvil_steer_t *steer, anvil_time_t now, guint seat);
void anvil_steer_stop_adopting (anvil_steer_t *steer, anvil_time_t now, guint seat);
gboolean anvil_steer_seat_usable (const anvil_steer_t *steer, anvil_time_t now, guint seat);
gboolean anvil_steer_renews_seat (const anvil_steer_t *steer, guint seat);

/* steer-former.c */
void anvil_old_layout_clear (gpointer data);
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
anvil_rate_t *anvil_steer_link_bucket (
    anvil_steer_t *steer, anvil_time_t now, guint from, guint to, anvil_traffic_class_t traffic);
anvil_rate_t *anvil_steer_shift_bucket (anvil_steer_t *steer, anvil_time_t now, guint shift);
anvil_time_t anvil_steer_shift_started_at (const anvil_steer_t *steer, guint shift);
anvil_rate_t *anvil_steer_bucket (anvil_steer_t *steer, anvil_time_t now, guint64 key);
gint64
anvil_steer_bucket_share (const anvil_steer_t *steer, anvil_time_t now, const anvil_rate_t *bucket);

/* steer-half.c */
guint
anvil_steer_choose_half (anvil_steer_t *steer, anvil_time_t now, const anvil_request_t *request);

guint anvil_steer_expected_half (const anvil_steer_t *steer,
                                 anvil_time_t now,
                                 guint service,
                                 guint32 client);

/* steer-placement.c */
void anvil_steer_compute_region_shares (anvil_steer_t *steer, anvil_queue_t *queue);
guint anvil_steer_choose_region (const anvil_steer_t *steer,
                                 const anvil_queue_t *queue,
                                 guint home,
                                 guint32 client);

/* steer-choice.c */
anvil_traffic_class_t anvil_traffic_class (gint64 request_bits);
typedef struct
{
  anvil_upstream_state_t *upstream;
  guint slot;
  anvil_rate_t *request_link;
  anvil_rate_t *response_link;
  anvil_rate_t *client_link;
  gint64 response_bits;
  anvil_rate_t *exhausted_bucket;
  gint64 required_units;
} anvil_slot_choice_t;
gboolean anvil_steer_choose_slot (anvil_steer_t *steer,
                                  anvil_time_t now,
                                  const anvil_tracked_request_t *tracked,
                                  anvil_slot_choice_t *choice);

/* steer-request.c */
void anvil_steer_requests_configure (anvil_steer_t *steer,
                                     anvil_time_t now,
                                     const anvil_config_t *before);
void anvil_steer_requests_tick (anvil_steer_t *steer, anvil_time_t now);
void anvil_steer_dispatch_waiting (anvil_steer_t *steer, anvil_time_t now, anvil_queue_t *queue);
void anvil_steer_dispatch_all_waiting (anvil_steer_t *steer, anvil_time_t now);
anvil_queue_t *anvil_steer_queue (const anvil_steer_t *steer, guint service, guint half);
void anvil_queue_free (gpointer data);

/* steer-loan-ask.c, steer-loan-give.c, steer-loan.c */

/* An answer that takes longer is no longer waited for. */
#define ANVIL_LOAN_REQUEST_TIMEOUT (300 * ANVIL_MS)

guint64 anvil_queue_key (const anvil_queue_t *queue);
void anvil_steer_request_slots (anvil_steer_t *steer, anvil_time_t now, anvil_queue_t *queue);
void anvil_steer_request_units (anvil_steer_t *steer,
                                anvil_time_t now,
                                const anvil_rate_t *bucket,
                                gint64 units);
void anvil_steer_receive_loan_request (anvil_steer_t *steer,
                                       anvil_time_t now,
                                       anvil_node_t from,
                                       const anvil_loan_ask_t *ask);
void anvil_steer_receive_loan_answer (anvil_steer_t *steer,
                                      anvil_time_t now,
                                      anvil_node_t from,
                                      const anvil_loan_answer_t *answer);
void anvil_steer_receive_loan_return (anvil_steer_t *steer,
                                      anvil_time_t now,
                                      anvil_node_t from,
                                      const anvil_loan_return_t *back);
void anvil_steer_return_slot_if_unneeded (anvil_steer_t *steer,
                                          anvil_time_t now,
                                          anvil_upstream_state_t *upstream,
                                          guint slot);
void anvil_steer_loans_tick (anvil_steer_t *steer, anvil_time_t now);
