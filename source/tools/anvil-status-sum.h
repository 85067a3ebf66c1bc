#pragma once

#include <glib.h>

/**
 * status_upstream_t - an upstream, summed over all entries
 * @owned: slots that entries own through their seats
 * @borrowed: slots that entries borrowed from each other
 * @in_flight: requests that the upstream has not finished yet
 * @accepting: number of entries that send it requests
 * @not_accepting: number of entries that don't
 */
typedef struct
{
  char *name;
  char *service;
  char *half;
  gint64 owned;
  gint64 borrowed;
  gint64 in_flight;
  guint accepting;
  guint not_accepting;
} status_upstream_t;

/**
 * status_link_t - a link in one direction, summed over all entries
 * @name: "FROM->TO"
 * @share_bits_per_s: the entries' shares of its rate
 * @available_bits: bits that the entries may send at once
 * @used_bits: bits charged since the entries started
 */
typedef struct
{
  char *name;
  gint64 share_bits_per_s;
  gint64 available_bits;
  gint64 used_bits;
} status_link_t;

/**
 * status_seat_t - a seat, as seen by all entries
 * @holder: node that holds it, as reported by the entry with the highest epoch
 * @epoch: fencing token of the holder
 * @users: number of entries that may use it now; more than one is a fault
 * @adopted: whether an entry uses it in place of a holder that is unavailable
 */
typedef struct
{
  gint64 seat;
  char *holder;
  gint64 epoch;
  guint users;
  gboolean adopted;
} status_seat_t;

/** status_sum_t - sums over all entries, each array in the order of the entries' responses */
typedef struct
{
  GArray *upstreams;
  GArray *links;
  GArray *seats;
} status_sum_t;

/** status_sum_new - sums up an array of status_entry_t; entries without a status are skipped */
status_sum_t *status_sum_new (const GArray *entries);
void status_sum_drop (status_sum_t *sum);
