#pragma once

#include <glib.h>

/**
 * status_upstream_t - one upstream over all entries
 * @owned: slots that entries may use by their seats
 * @borrowed: slots on loan between entries
 * @in_flight: requests under way there
 * @accepting: entries that send it work
 * @not_accepting: entries that don't
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
 * status_link_t - one directed link over all entries
 * @share_bits_per_s: what the entries may use together
 * @available_bits: what they may use at once
 * @used_bits: what they charged since their starts
 */
typedef struct
{
  char *name;
  gint64 share_bits_per_s;
  gint64 available_bits;
  gint64 used_bits;
} status_link_t;

/**
 * status_seat_t - one seat
 * @holder: node that holds it, as the entry with the highest epoch knows
 * @epoch: its fencing token
 * @users: entries that may use it now; more than one is a broken promise
 * @adopted: whether it is used for a holder that is away
 */
typedef struct
{
  gint64 seat;
  char *holder;
  gint64 epoch;
  guint users;
  gboolean adopted;
} status_seat_t;

/** status_sum_t - what all entries say together, each array in the order of the first answer */
typedef struct
{
  GArray *upstreams;
  GArray *links;
  GArray *seats;
} status_sum_t;

/** status_sum_new - adds up an array of status_entry_t */
status_sum_t *status_sum_new (const GArray *entries);
void status_sum_drop (status_sum_t *sum);
