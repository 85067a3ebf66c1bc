#include "common-config.h"

#include <stdio.h>
#include <stdlib.h>

#define FIRST_CLIENT_BLOCK 0x01000000u
#define FIRST_UPSTREAM_ADDRESS 0x64000000u
#define BLOCK_ADDRESS_BITS 8
#define GROUP_ADDRESS_BITS 10

static void
add_address (GString *out, guint32 address)
{
  g_string_append_printf (out, "%u.%u.%u.%u", address >> 24, (address >> 16) & 255,
                          (address >> 8) & 255, address & 255);
}

static void
add_regions (const common_config_size_t *size, GString *out)
{
  g_string_append (out, "regions:\n");
  for (guint region = 0; region < size->n_regions; region++)
    {
      g_string_append_printf (out, "  - name: r%u\n    zones:\n", region);
      for (guint zone = region; zone < size->n_zones; zone += size->n_regions)
        g_string_append_printf (out, "      - z%u\n", zone);
      if (region >= size->n_blocks)
        continue;
      g_string_append (out, "    clients:\n");
      for (guint block = region; block < size->n_blocks; block += size->n_regions)
        {
          g_string_append (out, "      - ");
          add_address (out, FIRST_CLIENT_BLOCK + (block << BLOCK_ADDRESS_BITS));
          g_string_append (out, "/24\n");
        }
    }
}

static void
add_links (const common_config_size_t *size, GString *out)
{
  g_string_append (out, "links:\n");
  for (guint a = 0; a < size->n_regions; a++)
    {
      for (guint b = a + 1; b < size->n_regions; b++)
        g_string_append_printf (
            out, "  - between: [r%u, r%u]\n    mbit_per_s: 280\n    delay_ms: 35\n", a, b);
    }
}

static void
add_services (const common_config_size_t *size, GString *out)
{
  g_string_append (out, "services:\n");
  for (guint service = 0; service < size->n_services; service++)
    g_string_append_printf (out,
                            "  - name: s%u\n    owner: a\n    idempotent: true\n"
                            "    deadline_ms: 2000\n    queue: 200\n    request_kb: 1\n"
                            "    response_kb: 60\n    max_request_kb: 64\n    prefer: headroom\n",
                            service);
}

static void
add_upstreams (const common_config_size_t *size, GString *out)
{
  guint groups = size->n_services * size->n_zones;

  g_string_append (out, "upstreams:\n");
  for (guint group = 0; group < groups; group++)
    {
      guint n_group_upstreams
          = size->n_upstreams / groups + (group < size->n_upstreams % groups ? 1 : 0);

      if (n_group_upstreams == 0)
        continue;
      g_string_append_printf (out, "  - service: s%u\n    half: a\n    zone: z%u\n    address: ",
                              group % size->n_services, group / size->n_services);
      add_address (out, FIRST_UPSTREAM_ADDRESS + (group << GROUP_ADDRESS_BITS) + 1);
      g_string_append_printf (
          out, "\n    port: 8080\n    count: %u\n    slots: 3\n    connections: 330\n",
          n_group_upstreams);
    }
}

static void
add_seats (const common_config_size_t *size, GString *out)
{
  g_string_append (out, "seats:\n");
  for (guint zone = 0; zone < size->n_zones && zone < size->n_seats; zone++)
    g_string_append_printf (out, "  - zone: z%u\n    count: %u\n", zone,
                            size->n_seats / size->n_zones
                                + (zone < size->n_seats % size->n_zones ? 1 : 0));
}

GString *
common_config_generate (const common_config_size_t *size)
{
  GString *out = g_string_new ("deployment: capacity\nhalves:\n  - name: a\n");

  add_regions (size, out);
  add_links (size, out);
  add_services (size, out);
  add_upstreams (size, out);
  add_seats (size, out);
  return out;
}

anvil_config_t *
common_config_load (const common_config_size_t *size)
{
  GString *text = common_config_generate (size);
  GError *error = NULL;
  anvil_config_t *config = anvil_config_load (
      "generated", (anvil_str_t){ .data = text->str, .length = text->len }, &error);

  if (config == NULL)
    {
      fprintf (stderr, "%s\n", error->message);
      exit (EXIT_FAILURE);
    }
  g_string_free (text, TRUE);
  return config;
}
