#pragma once

#include "anvil/config.h"

/* Most witnesses of a seat. */
#define ANVIL_MAX_WITNESSES 3

/**
 * anvil_seat_layout_t - what follows from the seats of a file alone
 * @n_seats: seats
 * @region: region of each seat
 * @zone: zone of each seat
 * @n_witnesses: witnesses of each seat
 * @majority: how many of them make a right
 * @witnesses: the seats that are witnesses of each seat; the first is the seat itself
 * @by_region: seats of each region, as guint
 * @n_regions: regions
 *
 * The second witness is in another zone of the seat's region and the third in
 * another region, where there are such seats. A seat thus keeps a majority when
 * it loses one VM, one zone or one region.
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

/** anvil_seat_layout_equal - whether two files have the same seats in the same places */
gboolean anvil_seat_layout_equal (const anvil_seat_layout_t *a, const anvil_seat_layout_t *b);

/** anvil_seat_layout_witness_index - which witness of @seat the seat @witness is, or ANVIL_NO_INDEX
 */
guint
anvil_seat_layout_witness_index (const anvil_seat_layout_t *layout, guint seat, guint witness);

/**
 * anvil_seat_layout_slot_owner - seat that owns a slot of an upstream
 * @region: region of the upstream
 * @key: key of the upstream
 * @slot: number of the slot
 *
 * Consecutive slots of an upstream go to consecutive seats of its region,
 * beginning at a place that the key gives; all seats share the upstreams of a
 * region that has none. Return: a seat, or ANVIL_NO_INDEX without seats.
 */
guint anvil_seat_layout_slot_owner (const anvil_seat_layout_t *layout,
                                    guint region,
                                    guint64 key,
                                    guint slot);
