#pragma once

#include "anvil/config.h"

/* Maximum number of witnesses of a seat. */
#define ANVIL_MAX_WITNESSES 3

/**
 * anvil_seat_layout_t - witnesses and slot owners, computed from the seats of a configuration
 * @n_seats: number of seats
 * @region: region of each seat
 * @zone: zone of each seat
 * @n_witnesses: number of witnesses of each seat
 * @majority: number of witnesses whose grants make a lease
 * @witnesses: the seats that are the witnesses of each seat; the first is the seat itself
 * @by_region: seats of each region, as guint
 * @n_regions: number of regions
 *
 * The second witness is in another zone of the seat's region and the third in
 * another region, if there are such seats. A seat thus keeps a majority of its
 * witnesses when one VM, one zone or one region is lost.
 */
typedef struct
{
  guint n_seats;
  guint *region;
  guint *zone;
  guint n_witnesses;
  guint majority;
  guint (*witnesses)[ANVIL_MAX_WITNESSES];
  GArray **by_region;
  guint n_regions;
} anvil_seat_layout_t;

anvil_seat_layout_t *anvil_seat_layout_new (const anvil_config_t *config);
void anvil_seat_layout_drop (anvil_seat_layout_t *layout);

/** anvil_seat_layout_equal - whether two configurations have the same seats in the same regions
 * with the same witnesses */
gboolean anvil_seat_layout_equal (const anvil_seat_layout_t *a, const anvil_seat_layout_t *b);

/** anvil_seat_layout_witness_index - index of @witness among the witnesses of @seat, or
 * ANVIL_NO_INDEX
 */
guint
anvil_seat_layout_witness_index (const anvil_seat_layout_t *layout, guint seat, guint witness);

/**
 * anvil_seat_layout_slot_owner - the seat that owns a slot of an upstream
 * @region: region of the upstream
 * @key: key of the upstream
 * @slot: number of the slot
 *
 * Consecutive slots of an upstream belong to consecutive seats of its region,
 * beginning at a seat derived from the key. The upstreams of a region without
 * seats are shared by all seats.
 *
 * Return: a seat, or ANVIL_NO_INDEX if there are no seats.
 */
guint anvil_seat_layout_slot_owner (const anvil_seat_layout_t *layout,
                                    guint region,
                                    guint64 key,
                                    guint slot);
