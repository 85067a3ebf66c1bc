/* Configuration files of the fuzzed deployment. */

#include "world.h"

static anvil_config_t *configs[WORLD_N_CONFIGS];

static const char base_text[] = "deployment: fuzz\n"
                                "halves:\n"
                                "  - name: sever\n"
                                "  - name: juh\n"
                                "regions:\n"
                                "  - name: zapad\n"
                                "    half: sever\n"
                                "    zones: [zapad-a, zapad-b]\n"
                                "    clients: [127.2.1.0/25, 127.2.1.128/25]\n"
                                "  - name: stred\n"
                                "    zones: [stred-a]\n"
                                "    clients: [127.2.2.0/25, 127.2.2.128/25]\n"
                                "  - name: vychod\n"
                                "    half: juh\n"
                                "    zones: [vychod-a]\n"
                                "    clients: [127.2.3.0/25, 127.2.3.128/25]\n"
                                "links:\n"
                                "  - between: [zapad, stred]\n"
                                "    mbit_per_s: 20\n"
                                "    delay_ms: 35\n"
                                "  - between: [zapad, vychod]\n"
                                "    mbit_per_s: 20\n"
                                "    delay_ms: 35\n"
                                "  - between: [stred, vychod]\n"
                                "    mbit_per_s: 20\n"
                                "    delay_ms: 35\n";

static void
add_service (GString *text,
             const char *name,
             guint sever_percent,
             gboolean idempotent,
             guint deadline_ms,
             guint request_kb,
             guint response_kb)
{
  g_string_append_printf (text, "  - name: %s\n    owner: sever\n    shares:\n", name);
  g_string_append_printf (text, "      - half: sever\n        percent: %u\n", sever_percent);
  g_string_append_printf (text, "      - half: juh\n        percent: %u\n", 100 - sever_percent);
  g_string_append_printf (text, "    idempotent: %s\n    deadline_ms: %u\n    queue: 20\n",
                          idempotent ? "true" : "false", deadline_ms);
  g_string_append_printf (text,
                          "    request_kb: %u\n    response_kb: %u\n    max_request_kb: 4000\n"
                          "    prefer: latency\n",
                          request_kb, response_kb);
}

static void
add_upstream (GString *text,
              const char *service,
              const char *half,
              const char *zone,
              guint host,
              guint slots,
              gboolean draining)
{
  g_string_append_printf (text, "  - service: %s\n    half: %s\n    zone: %s\n", service, half,
                          zone);
  g_string_append_printf (text, "    address: 127.1.1.%u\n    port: 8080\n    count: 1\n", host);
  g_string_append_printf (text, "    slots: %u\n    connections: 330\n%s", slots,
                          draining ? "    draining: true\n" : "");
}

static void
add_seats (GString *text, gboolean fewer, gboolean moved)
{
  static const char *const zones[] = { "zapad-a", "zapad-b", "stred-a", "vychod-a", "stred-a" };
  static const char *const moved_zones[]
      = { "zapad-a", "zapad-b", "stred-a", "vychod-a", "vychod-a" };
  guint n = G_N_ELEMENTS (zones) - (fewer ? 1 : 0);

  g_string_append (text, "seats:\n");
  for (guint i = 0; i < n; i++)
    g_string_append_printf (text, "  - zone: %s\n", moved ? moved_zones[i] : zones[i]);
}

/* Each bit of @variant makes one change to the base file. */
static GString *
format_config (guint variant)
{
  GString *text = g_string_new (base_text);

  g_string_append (text, "services:\n");
  add_service (text, "galeria", variant & 1 ? 80 : 60, TRUE, 1000, 1, 60);
  add_service (text, "rezervacie", 100, FALSE, 1500, 2, 8);
  add_service (text, "nahravanie", 100, FALSE, 5000, 400, 1);
  g_string_append (text, "upstreams:\n");
  add_upstream (text, "galeria", "sever", "zapad-a", 1, variant & 4 ? 2 : 3, FALSE);
  add_upstream (text, "galeria", "sever", "stred-a", 2, 2, FALSE);
  add_upstream (text, "galeria", "juh", "vychod-a", 3, 3, FALSE);
  /* The name of an upstream contains its zone: another zone gives the same machine another name. */
  add_upstream (text, "rezervacie", "sever", variant & 8 ? "zapad-a" : "zapad-b", 4, 3, FALSE);
  add_upstream (text, "rezervacie", "sever", "stred-a", 5, 2, (variant & 2) != 0);
  add_upstream (text, "rezervacie", "juh", "vychod-a", 6, 3, FALSE);
  add_upstream (text, "nahravanie", "sever", "zapad-a", 7, 2, FALSE);
  add_upstream (text, "nahravanie", "sever", "stred-a", 8, 3, FALSE);
  add_upstream (text, "nahravanie", "juh", "vychod-a", 9, 3, FALSE);
  g_string_append (text, "shifts:\n  - name: rezervacie-to-juh\n    service: rezervacie\n"
                         "    from: sever\n    to: juh\n    percent: 50\n"
                         "    cap_requests_per_s: 10\n    ramp_s: 5\n");
  add_seats (text, (variant & 16) != 0, (variant & 32) != 0);
  return text;
}

anvil_config_t *
world_config (guint variant)
{
  guint index = variant % WORLD_N_CONFIGS;
  GError *error = NULL;
  GString *text;

  if (configs[index] != NULL)
    return configs[index];
  text = format_config (index);
  configs[index] = anvil_config_load (
      "fuzz.yaml", (anvil_str_t){ .data = text->str, .length = text->len }, &error);
  if (configs[index] == NULL)
    g_error ("%s", error->message);
  g_string_free (text, TRUE);
  return configs[index];
}

void
world_configs_drop (void)
{
  for (guint i = 0; i < WORLD_N_CONFIGS; i++)
    g_clear_pointer (&configs[i], anvil_config_drop);
}
