#include "config/config-check.h"

static const config_range_t count_range = { 1, CONFIG_MAX_SEATS, "seats" };

static gboolean
build_group (config_check_t *check, guint index, GArray *seats)
{
  const file_seat_group_t *raw = &check->raw->seats[index];
  anvil_seat_t seat;
  gint64 count = 1;

  anvil_config_set_item (check, "seats[%u]", index);
  if (!anvil_config_resolve_zone (check, "zone", raw->zone, &seat.zone))
    return FALSE;
  if (raw->count != NULL
      && !anvil_config_parse_number (check, "count", raw->count, &count_range, &count))
    return FALSE;
  if (seats->len + count > CONFIG_MAX_SEATS)
    return anvil_config_report_error (check, "count",
                                      "%" G_GINT64_FORMAT " seats in total, expected at most %d",
                                      seats->len + count, CONFIG_MAX_SEATS);
  for (gint64 i = 0; i < count; i++)
    g_array_append_val (seats, seat);
  return TRUE;
}

gboolean
anvil_config_build_seats (config_check_t *check)
{
  GArray *seats = g_array_new (FALSE, FALSE, sizeof (anvil_seat_t));
  gboolean built = TRUE;

  for (guint i = 0; built && i < check->raw->n_seats; i++)
    built = build_group (check, i, seats);
  check->config->n_seats = seats->len;
  check->config->seats = (anvil_seat_t *) (gpointer) g_array_free (seats, FALSE);
  return built;
}
