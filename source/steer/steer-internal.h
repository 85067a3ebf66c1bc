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
 * The parts of the decision core share this structure. Each file of the core
 * owns one group of its fields and the functions that change them.
 */

/* Requests at least this large are bulk: they use their own part of a link. */
#define ANVIL_BULK_BITS ((gint64) 4 * 1024 * 1024)
/* How much later than its deadline work may end at an upstream: the way there, and clocks. */
#define ANVIL_WORK_GUARD (150 * ANVIL_MS)
/* Part of a link's share that bulk requests may use, per cent. */
#define ANVIL_BULK_PERCENT 50

/** anvil_traffic_t - classes of traffic with separate parts of a link */
typedef enum
{
  ANVIL_TRAFFIC_INTERACTIVE,
  ANVIL_TRAFFIC_BULK,
  ANVIL_N_TRAFFIC,
} anvil_traffic_t;

/** anvil_seat_t - one seat at this entry; see steer-seat.c */
typedef struct
{
  anvil_seat_row_t row;
  anvil_time_t row_since;
  guint credit;
  gboolean holding;
  gboolean releasing;
  gboolean adopting;
  anvil_time_t duty_from;
  anvil_time_t clear_since;
  anvil_seat_lease_t right;
  anvil_grant_t given[ANVIL_MAX_WITNESSES];
} anvil_seat_state_t;

/** anvil_queue_t - waiting requests of one service and half, the earliest deadline first */
typedef struct
{
  GSequence *waiting;
  guint service;
  guint half;
  GArray *upstreams;
  gdouble *placement;
  anvil_time_t typical_latency;
} anvil_queue_t;

/** anvil_work_t - a request from its submission to its end */
typedef struct
{
  anvil_request_t request;
  anvil_queue_t *queue;
  GSequenceIter *place;
  anvil_time_t submitted_at;
  guint attempt;
  gboolean running;
  gboolean maybe_run;
  guint64 upstream;
  guint slot;
  guint64 loan_nonce;
  anvil_time_t dispatched_at;
  anvil_time_t until;
  guint64 avoid;
  gboolean cancelled;
  guint client_region;
  guint64 charged_back;
  guint64 charged_client;
  gint64 charged_bits;
} anvil_work_t;

/** anvil_loan_wish_t - a question for a loan that is under way */
typedef struct
{
  guint64 nonce;
  anvil_node_t peer;
  anvil_time_t asked_at;
  anvil_queue_t *queue;
  guint count;
  guint64 budget;
} anvil_loan_wish_t;

/** anvil_old_generation_t - a file that some entry may still act on */
typedef struct
{
  guint64 generation;
  anvil_config_t *config;
} anvil_old_generation_t;

/**
 * anvil_former_layout_t - seats of an older file by which some entry may still use them
 * @layout: the seats and their witnesses, NULL if this entry doesn't know them
 * @replaced_by: first generation at this entry that had others
 */
typedef struct
{
  anvil_seat_layout_t *layout;
  guint64 replaced_by;
} anvil_former_layout_t;

/* Entries that a look-up names at most. */
#define ANVIL_MAX_LOOKUP 16

/** anvil_lookup_t - the answer for callers of one region, made anew when it has aged */
typedef struct
{
  gboolean made;
  anvil_time_t made_at;
  guint n_choices;
  anvil_entry_choice_t choices[ANVIL_MAX_LOOKUP];
} anvil_lookup_t;

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
  guint64 heard_generation;
  anvil_time_t behind_since;
  /* The peer that was asked for a newer file last, and when it may be asked again. */
  anvil_node_t fetch_peer;
  anvil_time_t fetch_next;
  guint zone;
  guint region;
  GArray *zone_hashes;

  /* Look-ups: steer-lookup.c */
  GArray *lookups;

  /* Members: steer-gossip.c */
  anvil_member_table_t *members;
  anvil_drain_table_t *drains;
  anvil_time_t gossip_next;
  anvil_time_t heartbeat_next;
  gboolean leaving;
  anvil_time_t left_at;
  guint64 list_version;
  anvil_time_t list_at;
  gboolean listed;
  GHashTable *listed_nodes;
  GHashTable *listed_upstreams;

  /* Seats: steer-seat.c, steer-row.c */
  anvil_seat_layout_t *layout;
  anvil_seat_state_t *seats;
  GArray *former_layouts;
  GArray *former_rows;
  gboolean forgot_grants;
  anvil_time_t grants_next;
  anvil_time_t rows_next;
  anvil_time_t claims_next;
  anvil_time_t unseated_since;
  gboolean rows_known;
  gboolean row_write_pending;
  anvil_time_t row_write_at;
  guint row_rotation;

  /* Slots: steer-slot.c */
  GHashTable *upstreams;
  GArray *by_index;
  anvil_time_t settle_next;
  anvil_time_t settled_since;

  /* Rates: steer-rate.c */
  GHashTable *rates;
  GArray *link_rates;
  GArray *shift_rates;

  /* Requests: steer-request.c */
  GHashTable *works;
  GArray *queues;
  anvil_retry_budget_t retry_budget;
  anvil_time_t configured_at;

  /* Loans: steer-loan.c */
  GHashTable *wishes;
  anvil_loan_backoffs_t loan_pauses;
  guint n_borrowed;
  guint64 next_nonce;
};

/* steer-config.c */
void anvil_steer_learn_generation (anvil_steer_t *steer,
                                   anvil_time_t now,
                                   guint64 generation,
                                   anvil_node_t peer);
gboolean anvil_steer_stale (const anvil_steer_t *steer, anvil_time_t now);
void anvil_steer_settle (anvil_steer_t *steer, anvil_time_t now);
guint anvil_steer_region_of_zone_hash (const anvil_steer_t *steer, guint64 zone);
guint anvil_steer_region_of_member (const anvil_steer_t *steer, anvil_node_t node);

/* steer-lookup.c */
void anvil_steer_lookups_configure (anvil_steer_t *steer);

/* steer-gossip.c */
void anvil_steer_gossip_tick (anvil_steer_t *steer, anvil_time_t now);
void anvil_steer_receive_gossip (anvil_steer_t *steer,
                                 anvil_time_t now,
                                 anvil_node_t from,
                                 const anvil_gossip_t *gossip);
void anvil_steer_apply_list (anvil_steer_t *steer, anvil_time_t now);
void anvil_steer_update_self (anvil_steer_t *steer, anvil_time_t now);
void anvil_steer_send (anvil_steer_t *steer, anvil_node_t to, const anvil_message_t *message);

/* steer-seat.c */
void anvil_steer_seats_reset (anvil_steer_t *steer, anvil_time_t now);
void anvil_steer_grants_tick (anvil_steer_t *steer, anvil_time_t now);
void anvil_steer_receive_grant_ask (anvil_steer_t *steer,
                                    anvil_time_t now,
                                    anvil_node_t from,
                                    const anvil_grant_request_t *ask);
void anvil_steer_receive_grant_answer (anvil_steer_t *steer,
                                       anvil_time_t now,
                                       const anvil_grant_response_t *answer);
void anvil_steer_receive_grant_release (anvil_steer_t *steer,
                                        anvil_time_t now,
                                        anvil_node_t from,
                                        const anvil_grant_release_t *release);
void anvil_steer_release_right (anvil_steer_t *steer, anvil_time_t now, guint seat);
void anvil_steer_give_up_seat (anvil_steer_t *steer, anvil_time_t now, guint seat);
gboolean anvil_steer_seat_usable (const anvil_steer_t *steer, anvil_time_t now, guint seat);
gboolean anvil_steer_wants_seat (const anvil_steer_t *steer, guint seat);

/* steer-former.c */
void anvil_former_layout_clear (gpointer data);
void anvil_steer_former_keep (anvil_steer_t *steer, anvil_seat_layout_t *layout);
void anvil_steer_former_row (anvil_steer_t *steer, const anvil_seat_row_t *row);
gboolean anvil_steer_former_ended (anvil_steer_t *steer, anvil_time_t now, guint seat);
gboolean anvil_steer_former_settled (const anvil_steer_t *steer);
void anvil_steer_former_forget (anvil_steer_t *steer);

/* steer-row.c */
void anvil_steer_rows_tick (anvil_steer_t *steer, anvil_time_t now);
void anvil_steer_merge_row (anvil_steer_t *steer, anvil_time_t now, const anvil_seat_row_t *row);
void anvil_steer_gossip_rows (anvil_steer_t *steer, anvil_gossip_t *gossip);
void anvil_steer_release_seats (anvil_steer_t *steer, anvil_time_t now);

/* steer-slot.c */
void anvil_steer_slots_configure (anvil_steer_t *steer, anvil_time_t now);
void anvil_steer_slots_assign (anvil_steer_t *steer, anvil_time_t now);
void anvil_steer_slots_taken_over (anvil_steer_t *steer, anvil_time_t now, guint seat);
anvil_upstream_state_t *anvil_steer_upstream_state (const anvil_steer_t *steer, guint64 key);
gboolean
anvil_steer_slot_own_free (const anvil_steer_t *steer, anvil_time_t now, const anvil_slot_t *slot);
gboolean
anvil_steer_slot_free (const anvil_steer_t *steer, anvil_time_t now, const anvil_slot_t *slot);
gboolean anvil_steer_accepting (const anvil_steer_t *steer,
                                anvil_time_t now,
                                const anvil_upstream_state_t *upstream);
gboolean anvil_steer_seat_lent (const anvil_steer_t *steer, anvil_time_t now, guint seat);
guint
anvil_steer_count_free (const anvil_steer_t *steer, anvil_time_t now, const anvil_queue_t *queue);
anvil_time_t anvil_steer_longest_work (const anvil_steer_t *steer,
                                       const anvil_upstream_state_t *upstream);
void anvil_steer_upstream_failed (anvil_steer_t *steer,
                                  anvil_time_t now,
                                  anvil_upstream_state_t *upstream);

/* steer-rate.c */
void anvil_steer_rates_configure (anvil_steer_t *steer, anvil_time_t now);
anvil_rate_bucket_t *anvil_steer_link_rate (
    anvil_steer_t *steer, anvil_time_t now, guint from, guint to, anvil_traffic_t traffic);
anvil_rate_bucket_t *anvil_steer_shift_rate (anvil_steer_t *steer, anvil_time_t now, guint shift);
anvil_time_t anvil_steer_shift_since (const anvil_steer_t *steer, guint shift);
anvil_rate_bucket_t *anvil_steer_rate (anvil_steer_t *steer, anvil_time_t now, guint64 key);
gint64 anvil_steer_rate_share (const anvil_steer_t *steer,
                               anvil_time_t now,
                               const anvil_rate_bucket_t *rate);

/* steer-half.c */
guint
anvil_steer_choose_half (anvil_steer_t *steer, anvil_time_t now, const anvil_request_t *request);

guint anvil_steer_expected_half (const anvil_steer_t *steer,
                                 anvil_time_t now,
                                 guint service,
                                 guint32 client);

/* steer-placement.c */
void anvil_steer_placement_configure (anvil_steer_t *steer, anvil_queue_t *queue);
guint anvil_steer_place_client (const anvil_steer_t *steer,
                                const anvil_queue_t *queue,
                                guint home,
                                guint32 client);

/* steer-choice.c */
anvil_traffic_t anvil_traffic_of (gint64 request_bits);
typedef struct
{
  anvil_upstream_state_t *upstream;
  guint slot;
  anvil_rate_bucket_t *out;
  anvil_rate_bucket_t *back;
  anvil_rate_bucket_t *client;
  gint64 back_bits;
  anvil_rate_bucket_t *short_of;
  gint64 short_units;
} anvil_choice_t;
gboolean anvil_steer_choose (anvil_steer_t *steer,
                             anvil_time_t now,
                             const anvil_work_t *work,
                             anvil_choice_t *choice);

/* steer-request.c */
void anvil_steer_requests_configure (anvil_steer_t *steer,
                                     anvil_time_t now,
                                     const anvil_config_t *before);
void anvil_steer_requests_tick (anvil_steer_t *steer, anvil_time_t now);
void anvil_steer_pump (anvil_steer_t *steer, anvil_time_t now, anvil_queue_t *queue);
void anvil_steer_pump_all (anvil_steer_t *steer, anvil_time_t now);
anvil_queue_t *anvil_steer_queue (const anvil_steer_t *steer, guint service, guint half);
void anvil_queue_free (gpointer data);

/* steer-loan-ask.c, steer-loan-give.c, steer-loan.c */

/* An answer that takes longer is no longer waited for. */
#define ANVIL_WISH_TIMEOUT (300 * ANVIL_MS)

guint64 anvil_queue_key (const anvil_queue_t *queue);
void anvil_steer_want_slots (anvil_steer_t *steer, anvil_time_t now, anvil_queue_t *queue);
void anvil_steer_want_rate (anvil_steer_t *steer,
                            anvil_time_t now,
                            const anvil_rate_bucket_t *rate,
                            gint64 units);
void anvil_steer_receive_loan_ask (anvil_steer_t *steer,
                                   anvil_time_t now,
                                   anvil_node_t from,
                                   const anvil_loan_request_t *ask);
void anvil_steer_receive_loan_answer (anvil_steer_t *steer,
                                      anvil_time_t now,
                                      anvil_node_t from,
                                      const anvil_loan_response_t *answer);
void anvil_steer_receive_loan_return (anvil_steer_t *steer,
                                      anvil_time_t now,
                                      anvil_node_t from,
                                      const anvil_loan_return_t *back);
void anvil_steer_loan_idle (anvil_steer_t *steer,
                            anvil_time_t now,
                            anvil_upstream_state_t *upstream,
                            guint slot);
void anvil_steer_loans_tick (anvil_steer_t *steer, anvil_time_t now);
