#include "anvil/message.h"
#include "config/config-check.h"

/* Slots are tied to the address and port, since a later file may use the name for another VM. */
static guint64
hash_endpoint (guint32 address, guint16 port)
{
  const guint64 endpoint = ((guint64) address << 16) | port;

  return anvil_str_hash (
      (anvil_str_t){ .data = (const char *) &endpoint, .length = sizeof endpoint });
}

static const config_range_t port_range = { 1, 65535, "TCP port" };
static const config_range_t count_range = { 1, CONFIG_MAX_UPSTREAMS_PER_GROUP, "servers" };
static const config_range_t slots_range = { 1, ANVIL_MAX_SLOTS, "slots" };
static const config_range_t connections_range = { 1, 65535, "connections" };
static const config_range_t number_range = { 1, G_MAXUINT32, "server number" };

/* Start of the multicast and reserved addresses, which no server can have. */
#define FIRST_MULTICAST_ADDRESS 0xe0000000u

/*
 * A group of servers with consecutive addresses and numbers.
 * @common: the members that all servers share; its address is that of the first one
 * @first: number of the first server; the numbers run on through all groups of a service in a zone
 */
typedef struct
{
  const file_upstream_group_t *raw;
  anvil_upstream_t common;
  guint first;
  guint count;
} group_t;

static gboolean
check_region_owner (config_check_t *check, const group_t *group)
{
  const anvil_config_t *config = check->config;
  const anvil_region_t *region = &config->regions[config->zones[group->common.zone].region];

  if (region->half == ANVIL_NO_INDEX || region->half == group->common.half)
    return TRUE;
  return anvil_config_report_error (
      check, "zone",
      "region \"%s\" belongs to half \"%s\", expected a region of half \"%s\" "
      "or a shared one",
      region->name.data, config->halves[region->half].name.data,
      config->halves[group->common.half].name.data);
}

static gboolean
parse_addresses (config_check_t *check, group_t *group)
{
  guint32 address;

  if (!anvil_config_parse_address (check, "address", group->raw->address, &address))
    return FALSE;
  if (address == 0 || (guint64) address + group->count > FIRST_MULTICAST_ADDRESS)
    return anvil_config_report_error (check, "address",
                                      "%u addresses from %s, expected unicast addresses only",
                                      group->count, group->raw->address);
  group->common.address = address;
  return TRUE;
}

static gboolean
parse_group (config_check_t *check, group_t *group)
{
  const file_upstream_group_t *raw = group->raw;
  anvil_upstream_t *common = &group->common;
  gint64 count = 1;
  gint64 port;
  gint64 slots;
  gint64 connections;

  if (!anvil_config_resolve_service (check, "service", raw->service, &common->service)
      || !anvil_config_resolve_half (check, "half", raw->half, &common->half)
      || !anvil_config_resolve_zone (check, "zone", raw->zone, &common->zone)
      || !check_region_owner (check, group))
    return FALSE;
  if (!anvil_config_parse_number (check, "port", raw->port, &port_range, &port)
      || !anvil_config_parse_number (check, "slots", raw->slots, &slots_range, &slots)
      || !anvil_config_parse_number (check, "connections", raw->connections, &connections_range,
                                     &connections))
    return FALSE;
  if (raw->count != NULL
      && !anvil_config_parse_number (check, "count", raw->count, &count_range, &count))
    return FALSE;
  if (raw->draining != NULL
      && !anvil_config_parse_bool (check, "draining", raw->draining, &common->draining))
    return FALSE;
  common->port = (guint16) port;
  common->slots = (guint) slots;
  common->max_connections = (guint) connections;
  group->count = (guint) count;
  return parse_addresses (check, group);
}

static gboolean
check_unique_endpoint (config_check_t *check, guint32 address, guint16 port)
{
  char name[sizeof "255.255.255.255:65535"];

  g_snprintf (name, sizeof name, "%u.%u.%u.%u:%u", address >> 24, address >> 16 & 255,
              address >> 8 & 255, address & 255, port);
  return anvil_config_check_unique (check, "address", "address", name);
}

static gboolean
add_upstream (config_check_t *check, const group_t *group, guint offset, GArray *upstreams)
{
  const anvil_config_t *config = check->config;
  anvil_upstream_t upstream = group->common;
  char *name = g_strdup_printf ("%s-%s-%u", config->services[upstream.service].name.data,
                                config->zones[upstream.zone].name.data, group->first + offset);
  gboolean added;

  upstream.address += offset;
  upstream.name = anvil_config_copy_text (check, name);
  upstream.key = hash_endpoint (upstream.address, upstream.port);
  if (upstream.name.length >= ANVIL_MAX_NAME_BYTES)
    added = anvil_config_report_error (check, NULL,
                                       "server name \"%s\" is too long, expected at most %d bytes",
                                       name, ANVIL_MAX_NAME_BYTES - 1);
  else
    added = anvil_config_check_unique (check, NULL, "server", name)
            && check_unique_endpoint (check, upstream.address, upstream.port);
  g_free (name);
  if (added)
    g_array_append_val (upstreams, upstream);
  return added;
}

/* Marks the servers listed under "drain", which gives the numbers in their names. */
static gboolean
mark_draining (config_check_t *check, const group_t *group, GArray *upstreams)
{
  guint base = upstreams->len - group->count;

  for (guint i = 0; i < group->raw->n_drain; i++)
    {
      char field[sizeof "drain[4294967295]"];
      gint64 number;

      g_snprintf (field, sizeof field, "drain[%u]", i);
      if (!anvil_config_parse_number (check, field, group->raw->drain[i], &number_range, &number))
        return FALSE;
      if (number < group->first || number >= (gint64) group->first + group->count)
        return anvil_config_report_error (check, field,
                                          "%" G_GINT64_FORMAT ", expected a number from %u to %u",
                                          number, group->first, group->first + group->count - 1);
      g_array_index (upstreams, anvil_upstream_t, base + number - group->first).draining = TRUE;
    }
  return TRUE;
}

static gboolean
build_group (config_check_t *check, guint index, guint *last_numbers, GArray *upstreams)
{
  group_t group = { .raw = &check->raw->upstreams[index] };
  guint *last;

  anvil_config_set_item (check, "upstreams[%u]", index);
  if (!parse_group (check, &group))
    return FALSE;
  if (upstreams->len + group.count > CONFIG_MAX_UPSTREAMS)
    return anvil_config_report_error (check, "count", "%u servers in total, expected at most %d",
                                      upstreams->len + group.count, CONFIG_MAX_UPSTREAMS);

  last = &last_numbers[group.common.service * check->config->n_zones + group.common.zone];
  group.first = *last + 1;
  *last += group.count;
  for (guint i = 0; i < group.count; i++)
    {
      if (!add_upstream (check, &group, i, upstreams))
        return FALSE;
    }
  return mark_draining (check, &group, upstreams);
}

static gboolean
has_accepting_upstream (const anvil_config_t *config, guint service, guint half)
{
  for (guint i = 0; i < config->n_upstreams; i++)
    {
      const anvil_upstream_t *upstream = &config->upstreams[i];

      if (upstream->service == service && upstream->half == half && !upstream->draining)
        return TRUE;
    }
  return FALSE;
}

/* A half with a share of a service needs an upstream that accepts requests. */
static gboolean
check_shares (config_check_t *check)
{
  const anvil_config_t *config = check->config;

  for (guint i = 0; i < config->n_services; i++)
    {
      const anvil_service_t *service = &config->services[i];

      anvil_config_set_item (check, "services[%u]", i);
      for (guint half = 0; half < config->n_halves; half++)
        {
          if (service->half_percents[half] > 0 && !has_accepting_upstream (config, i, half))
            return anvil_config_report_error (
                check, "shares",
                "half \"%s\" has %u per cent of \"%s\" but no upstream that "
                "accepts requests, expected one",
                config->halves[half].name.data, service->half_percents[half], service->name.data);
        }
    }
  return TRUE;
}

gboolean
anvil_config_build_upstreams (config_check_t *check)
{
  GArray *upstreams = g_array_new (FALSE, FALSE, sizeof (anvil_upstream_t));
  guint *last_numbers = g_new0 (guint, (gsize) check->config->n_services * check->config->n_zones);
  gboolean built = TRUE;

  for (guint i = 0; built && i < check->raw->n_upstreams; i++)
    built = build_group (check, i, last_numbers, upstreams);
  g_free (last_numbers);
  check->config->n_upstreams = upstreams->len;
  check->config->upstreams = (anvil_upstream_t *) (gpointer) g_array_free (upstreams, FALSE);
  return built && check_shares (check);
}
