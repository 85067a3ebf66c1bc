/* The configuration file: loading, error messages, differences. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "anvil/config.h"
#include "anvil/error.h"

#define LABKA "examples/labka.yaml"
#define HOLMGAARD "examples/holmgaard.yaml"

/* Number of randomly damaged files; limits the run time. */
#define N_MUTATIONS 3000
#define MUTATION_SEED 7

static char *
read_file (const char *name)
{
  char *text;

  ck_assert_msg (g_file_get_contents (name, &text, NULL, NULL), "%s can't be read", name);
  return text;
}

static anvil_config_t *
load_file (const char *name)
{
  char *text = read_file (name);
  GError *error = NULL;
  anvil_config_t *config = anvil_config_load (name, anvil_str (text), &error);

  ck_assert_msg (config != NULL, "%s", error != NULL ? error->message : "no reason");
  g_free (text);
  return config;
}

/* The example with the first occurrence of @find replaced. */
static char *
replace_in_example (const char *find, const char *replace)
{
  char *text = read_file (LABKA);
  char *found = strstr (text, find);
  char *edited;

  ck_assert_msg (found != NULL, "the example has no \"%s\"", find);
  *found = '\0';
  edited = g_strconcat (text, replace, found + strlen (find), NULL);
  g_free (text);
  return edited;
}

static anvil_config_t *
load_example_with (const char *find, const char *replace)
{
  char *text = replace_in_example (find, replace);
  GError *error = NULL;
  anvil_config_t *config = anvil_config_load (LABKA, anvil_str (text), &error);

  ck_assert_msg (config != NULL, "%s", error != NULL ? error->message : "no reason");
  g_free (text);
  return config;
}

static void
assert_rejected (anvil_str_t text, const char *expected)
{
  GError *error = NULL;
  anvil_config_t *config = anvil_config_load ("f", text, &error);

  ck_assert_msg (config == NULL, "accepted, expected: %s", expected);
  ck_assert_msg (g_error_matches (error, ANVIL_ERROR, ANVIL_ERROR_INVALID), "no reason for: %s",
                 expected);
  ck_assert_msg (g_str_has_prefix (error->message, expected), "got: %s\nexpected: %s",
                 error->message, expected);
  ck_assert_msg (strchr (error->message, '\n') == NULL, "more than a line: %s", error->message);
  g_error_free (error);
}

static guint
count_slots (const anvil_config_t *config, const char *service, guint *servers)
{
  guint index = anvil_config_lookup_service (config, anvil_str (service));
  guint slots = 0;

  *servers = 0;
  for (guint i = 0; i < config->n_upstreams; i++)
    {
      if (config->upstreams[i].service != index)
        continue;
      (*servers)++;
      slots += config->upstreams[i].slots;
      ck_assert_uint_eq (config->upstreams[i].max_connections, 330);
    }
  return slots;
}

START_TEST (test_examples_have_the_expected_sizes)
{
  static const struct
  {
    const char *file;
    const char *service;
    guint servers;
    guint slots;
  } cases[] = {
    { LABKA, "galeria", 14, 3 },    { LABKA, "rezervacie", 12, 3 },
    { LABKA, "nahravanie", 12, 3 }, { HOLMGAARD, "arkiv", 14, 4 },
    { HOLMGAARD, "attest", 12, 3 }, { HOLMGAARD, "billedmodtag", 12, 3 },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      anvil_config_t *config = load_file (cases[i].file);
      gboolean labka = strcmp (cases[i].file, LABKA) == 0;
      guint servers;

      ck_assert_uint_eq (count_slots (config, cases[i].service, &servers),
                         (guint64) cases[i].servers * cases[i].slots);
      ck_assert_uint_eq (servers, cases[i].servers);
      ck_assert_uint_eq (config->n_zones, 6);
      ck_assert_uint_eq (config->n_regions, 3);
      ck_assert_uint_eq (config->n_seats, 7);
      ck_assert_uint_eq (config->n_links, 6);
      ck_assert_int_eq (config->links[0].bits_per_s, labka ? 280000000 : 4000000000);
      ck_assert_int_eq (config->links[0].delay, (labka ? 35 : 20) * ANVIL_MS);
      anvil_config_drop (config);
    }
}
END_TEST

START_TEST (test_upstream_groups_are_expanded)
{
  anvil_config_t *config
      = load_example_with ("connections: 330", "connections: 330\n    drain: [2, 3]");
  guint index = anvil_config_lookup_upstream (config, anvil_str ("galeria-zapad-a-3"));

  ck_assert_uint_eq (index, 2);
  ck_assert_uint_eq (config->upstreams[index].address, 0x7f010103);
  ck_assert_uint_eq (config->upstreams[index].port, 8080);
  ck_assert (config->upstreams[index].draining);
  ck_assert (config->upstreams[1].draining);
  ck_assert (!config->upstreams[0].draining);
  ck_assert_uint_eq (anvil_config_lookup_upstream_key (config, config->upstreams[index].key),
                     index);
  ck_assert_uint_eq (anvil_config_upstream_region (config, index), 0);
  anvil_config_drop (config);
}
END_TEST

START_TEST (test_upstream_key_does_not_depend_on_the_name)
{
  anvil_config_t *before = load_example_with ("connections: 330", "connections: 330");
  anvil_config_t *after = load_example_with ("    zone: zapad-a\n    address: 127.1.1.1",
                                             "    zone: zapad-b\n    address: 127.1.1.1");
  guint old = anvil_config_lookup_upstream (before, anvil_str ("galeria-zapad-a-1"));
  guint renamed = anvil_config_lookup_upstream_key (after, before->upstreams[old].key);

  ck_assert_uint_eq (after->upstreams[renamed].address, before->upstreams[old].address);
  ck_assert (!anvil_str_equal (after->upstreams[renamed].name, before->upstreams[old].name));
  for (guint i = 0; i < before->n_upstreams; i++)
    ck_assert_uint_eq (anvil_config_lookup_upstream_key (before, before->upstreams[i].key), i);
  ck_assert_uint_eq (anvil_config_lookup_upstream_key (before, 1), ANVIL_NO_INDEX);
  anvil_config_drop (before);
  anvil_config_drop (after);
}
END_TEST

START_TEST (test_owner_gets_the_remaining_share)
{
  anvil_config_t *config = load_example_with ("      - half: sever\n        percent: 60\n", "");

  ck_assert_uint_eq (config->services[0].half_percents[0], 60);
  ck_assert_uint_eq (config->services[0].half_percents[1], 40);
  anvil_config_drop (config);
}
END_TEST

START_TEST (test_lookups)
{
  anvil_config_t *config = load_file (LABKA);
  guint link;

  ck_assert_uint_eq (anvil_config_lookup_zone (config, anvil_str ("stred-b")), 3);
  ck_assert_uint_eq (anvil_config_lookup_zone (config, anvil_str ("stred-c")), ANVIL_NO_INDEX);
  ck_assert_uint_eq (anvil_config_lookup_service (config, anvil_str ("nahravanie")), 2);
  ck_assert_uint_eq (anvil_config_lookup_host (config, anvil_str ("nahravanie")), 2);
  ck_assert_uint_eq (anvil_config_lookup_host (config, anvil_str ("Galeria.LABKA.example")), 0);
  ck_assert_uint_eq (anvil_config_lookup_host (config, anvil_str ("")), ANVIL_NO_INDEX);
  ck_assert_uint_eq (anvil_config_lookup_client_region (config, 0x7f0202ff), 1);
  ck_assert_uint_eq (anvil_config_lookup_client_region (config, 0x7f020400), ANVIL_NO_INDEX);
  ck_assert_uint_eq (anvil_config_lookup_link (config, 1, 1), ANVIL_NO_INDEX);
  link = anvil_config_lookup_link (config, 2, 0);
  ck_assert_uint_eq (config->links[link].from, 2);
  ck_assert_uint_eq (config->links[link].to, 0);
  anvil_config_drop (anvil_config_keep (config));
  ck_assert_uint_eq (config->regions[1].half, ANVIL_NO_INDEX);
  anvil_config_drop (config);
}
END_TEST

START_TEST (test_errors_name_line_field_and_expected_value)
{
  static const struct
  {
    const char *find;
    const char *replace;
    const char *message;
  } cases[] = {
    { "queue: 200", "quue: 200",
      "f:39: services[0].quue: unknown key, expected one of name, hosts" },
    { "deployment: labka", "deploy: labka",
      "f:2: deploy: unknown key, expected one of deployment" },
    { "    deadline_ms: 2000\n", "", "f:29: services[0].deadline_ms: missing, expected a value" },
    { "queue: 200", "queue: 200\n    queue: 2",
      "f:40: services[0].queue: given twice, expected once" },
    { "queue: 200", "queue: [2]", "f:39: services[0].queue: a list, expected a single value" },
    { "between: [zapad, stred]", "between: zapad",
      "f:19: links[0].between: a single value, expected a list" },
    { "between: [zapad, stred]", "between: [zapad]",
      "f:19: links[0].between: too few entries, expected at least 2" },
    { "between: [zapad, stred]", "between: [zapad, stred, vychod]",
      "f:19: links[0].between: too many entries, expected at most 2" },
    { "mbit_per_s: 280", "mbit_per_s: 280 Mbit",
      "f:20: links[0].mbit_per_s: \"280 Mbit\", expected a whole number from 1 to 10000000 "
      "(Mbit/s)" },
    { "deadline_ms: 2000", "deadline_ms: 600001",
      "f:38: services[0].deadline_ms: \"600001\", expected a whole number from 1 to 600000 (ms)" },
    { "deadline_ms: 2000", "deadline_ms: 010", "f:38: services[0].deadline_ms: \"010\", expected" },
    { "deadline_ms: 2000", "deadline_ms:", "f:38: services[0].deadline_ms: \"\", expected" },
    { "slots: 3", "slots: 65",
      "f:81: upstreams[0].slots: \"65\", expected a whole number from 1 to 64" },
    { "idempotent: true", "idempotent: maybe",
      "f:37: services[0].idempotent: \"maybe\", expected true" },
    { "prefer: headroom", "prefer: speed",
      "f:43: services[0].prefer: unknown preference, expected" },
    { "percent: 60", "percent: 61", "f:32: services[0].shares: sum is 101 per cent, expected 100" },
    { "percent: 60", "percent: 59", "f:32: services[0].shares: sum is 99 per cent, expected 100" },
    { "      - half: sever\n        percent: 60\n      - half: juh\n        percent: 40\n",
      "      - half: juh\n        percent: 101\n", "f:34: services[0].shares[0].percent: \"101\"" },
    { "zone: stred-b", "zone: stred-c", "f:101: upstreams[3].zone: no zone is named \"stred-c\"" },
    { "owner: sever", "owner: east", "f:31: services[0].owner: no half is named \"east\"" },
    { "name: rezervacie", "name: galeria",
      "f:44: services[1].name: service \"galeria\" is defined twice" },
    { "galeria.labka.example", "rezervacie",
      "f:44: services[1].name: host \"rezervacie\" is defined twice" },
    { "address: 127.1.4.1", "address: 127.1.1.2",
      "f:102: upstreams[3].address: address \"127.1.1.2:8080\" is defined twice" },
    { "address: 127.1.1.1", "address: 127.1.1",
      "f:78: upstreams[0].address: \"127.1.1\", expected an IPv4" },
    { "address: 127.1.1.1", "address: 223.255.255.254",
      "f:78: upstreams[0].address: 3 addresses from 223.255.255.254, expected unicast addresses "
      "only" },
    { "half: sever\n    zone: zapad-a", "half: juh\n    zone: zapad-a",
      "f:77: upstreams[0].zone: region \"zapad\" belongs to half \"sever\", expected" },
    { "connections: 330", "connections: 330\n    drain: [4]",
      "f:83: upstreams[0].drain[0]: 4, expected a number from 1 to 3" },
    { "  - between: [stred, vychod]\n    mbit_per_s: 280\n    delay_ms: 35\n", "",
      "f:18: links: no link between \"stred\" and \"vychod\", expected one for every two regions" },
    { "between: [stred, vychod]", "between: [stred, zapad]",
      "f:25: links[2].between: regions \"stred\" and \"zapad\" have a link already" },
    { "between: [zapad, stred]", "between: [stred, stred]",
      "f:19: links[0].between: region \"stred\" at both ends" },
    { "127.2.1.0/24", "127.2.1.1/24", "f:10: regions[0].clients[0]: host bits set beyond /24" },
    { "127.2.1.0/24", "127.2.1.0/33", "f:10: regions[0].clients[0]: \"33\", expected" },
    { "127.2.1.0/24", "127.2.1.0", "f:10: regions[0].clients[0]: no prefix length, expected" },
    { "127.2.2.0/24", "127.2.1.0/24",
      "f:13: regions[1].clients[0]: block \"127.2.1.0/24\" is defined twice" },
    { "    cap_mbit_per_s: 40\n", "", "f:220: shifts[0]: no cap, expected exactly one of" },
    { "cap_mbit_per_s: 40", "cap_mbit_per_s: 40\n    cap_requests_per_s: 3",
      "f:226: shifts[0].cap_requests_per_s: a second cap, expected exactly one of" },
    { "cap_mbit_per_s: 40", "cap_mbit_per_s: 0",
      "f:225: shifts[0].cap_mbit_per_s: \"0\", expected a whole number from 1 to" },
    { "percent: 20", "percent: 61", "f:224: shifts[0].percent: 61 per cent of \"galeria\"" },
    { "to: juh", "to: sever", "f:223: shifts[0].to: half \"sever\" is also the source" },
    { "count: 2\n  - zone: zapad-b", "count: 4097\n  - zone: zapad-b",
      "f:229: seats[0].count: \"4097\"" },
    { "deployment: labka", "deployment: &a labka", "f:2: file: anchor &a, expected none" },
    { "deployment: labka", "deployment: *a", "f:2: file: alias *a, expected none" },
    { "deployment: labka", "deployment: !!str labka", "f:2: file: tag tag:yaml.org,2002:str" },
    { "deployment: labka", "deployment: [[[[[[[[a]]]]]]]]", "f:2: file: nested too deeply" },
    { "deployment: labka", "deployment: \"a\\0b\"", "f:2: file: a zero byte in a value" },
    { "deployment: labka", "deployment: labka\n---\na: 1", "f:3: file: a second document" },
    { "    owner: sever", "   owner: sever", "f:31: file: " },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *text = replace_in_example (cases[i].find, cases[i].replace);

      assert_rejected (anvil_str (text), cases[i].message);
      g_free (text);
    }
}
END_TEST

START_TEST (test_share_without_accepting_upstream_is_rejected)
{
  char *text = read_file (LABKA);
  char **parts = g_strsplit (text, "service: galeria\n    half: juh", -1);
  char *edited = g_strjoinv ("service: galeria\n    draining: true\n    half: juh", parts);

  assert_rejected (
      anvil_str (edited),
      "f:32: services[0].shares: half \"juh\" has 40 per cent of \"galeria\" but no upstream");
  g_strfreev (parts);
  g_free (edited);
  g_free (text);
}
END_TEST

static char *
repeat (const char *unit, gsize bytes)
{
  GString *text = g_string_sized_new (bytes + 16);

  while (text->len + strlen (unit) <= bytes)
    g_string_append (text, unit);
  return g_string_free (text, FALSE);
}

START_TEST (test_malformed_files_are_rejected)
{
  static const char *const units[]
      = { "[", "{", "- ", "? ", "a: ", "!", "\"", "&a [*a, ", "\n", "#", "a," };
  char *noise = g_malloc (10 << 20);
  GRand *random = g_rand_new_with_seed (1);

  for (gsize i = 0; i < 10 << 20; i++)
    noise[i] = (char) g_rand_int (random);
  assert_rejected ((anvil_str_t){ noise, 10 << 20 },
                   "f:1: file: 10485760 bytes, expected at most 4194304");
  assert_rejected ((anvil_str_t){ noise, 1 << 20 }, "f:1: file: byte 0x");
  assert_rejected (anvil_str (""), "f:1: file: empty, expected a YAML mapping");
  assert_rejected (anvil_str ("# nothing\n"), "f:1: file: empty, expected a YAML mapping");
  assert_rejected ((anvil_str_t){ "a: b\nc\0: d\n", 11 }, "f:2: file: byte 0x00 at offset 6");
  assert_rejected (anvil_str ("- a\n"), "f:1: file: a list, expected a mapping");
  assert_rejected (anvil_str ("{}"), "f:1: deployment: missing, expected a value");
  assert_rejected (anvil_str ("deployment: a\nhalves: []\n"),
                   "f:2: halves: too few entries, expected at least 1");
  for (gsize i = 0; i < G_N_ELEMENTS (units); i++)
    {
      char *text = repeat (units[i], ANVIL_CONFIG_MAX_BYTES);

      assert_rejected (anvil_str (text), "f:1: ");
      g_free (text);
    }
  g_rand_free (random);
  g_free (noise);
}
END_TEST

/* Damages a few bytes of the example; shares of files that still load must have the sum 100. */
START_TEST (test_damaged_files_load_consistently_or_are_rejected)
{
  GRand *random = g_rand_new_with_seed (MUTATION_SEED);
  char *text = read_file (LABKA);
  gsize length = strlen (text);
  guint n_rejected = 0;

  for (guint i = 0; i < N_MUTATIONS; i++)
    {
      char *damaged = g_strdup (text);
      GError *error = NULL;
      anvil_config_t *config;

      for (gint n = g_rand_int_range (random, 1, 4); n > 0; n--)
        damaged[g_rand_int_range (random, 0, (gint) length)]
            = (char) g_rand_int_range (random, 0, 128);
      config = anvil_config_load ("f", (anvil_str_t){ damaged, length }, &error);
      ck_assert ((config == NULL) == (error != NULL));
      if (error != NULL)
        {
          ck_assert_msg (g_str_has_prefix (error->message, "f:"), "%s", error->message);
          ck_assert_msg (strchr (error->message, '\n') == NULL, "%s", error->message);
          n_rejected++;
        }
      for (guint j = 0; config != NULL && j < config->n_services; j++)
        ck_assert_uint_eq (
            config->services[j].half_percents[0] + config->services[j].half_percents[1], 100);
      g_clear_error (&error);
      anvil_config_drop (config);
      g_free (damaged);
    }
  ck_assert_uint_gt (n_rejected, N_MUTATIONS / 2);
  g_free (text);
  g_rand_free (random);
}
END_TEST

START_TEST (test_diff)
{
  static const struct
  {
    const char *find;
    const char *replace;
    const char *lines;
  } cases[] = {
    { "deadline_ms: 2000", "deadline_ms: 1500", "galeria: deadline 2000 ms -> 1500 ms\n" },
    { "percent: 60\n      - half: juh\n        percent: 40",
      "percent: 70\n      - half: juh\n        percent: 30",
      "galeria: share of sever 60 % -> 70 %\ngaleria: share of juh 40 % -> 30 %\n" },
    { "count: 3", "count: 2", "galeria-zapad-a-3: upstream removed\n" },
    { "count: 2", "count: 3", "galeria-zapad-b-3: upstream added\n" },
    { "connections: 330", "connections: 330\n    drain: [1]",
      "galeria-zapad-a-1: draining false -> true\n" },
    { "mbit_per_s: 280", "mbit_per_s: 300",
      "link zapad to stred: limit 280 Mbit/s -> 300 Mbit/s\nlink stred to zapad: limit 280 Mbit/s "
      "-> 300 Mbit/s\n" },
    { "[127.2.1.0/24]", "[127.2.1.0/24, 127.2.9.0/24]", "127.2.9.0/24: region none -> zapad\n" },
    { "cap_mbit_per_s: 40", "cap_mbit_per_s: 50", "galeria-to-juh: cap 40 Mbit/s -> 50 Mbit/s\n" },
    { "  - zone: zapad-a\n    count: 2", "  - zone: zapad-a\n    count: 1\n  - zone: zapad-b",
      "seat 1: zone zapad-a -> zapad-b\n" },
    { "    half: juh\n    zones", "    zones", "vychod: half juh -> none\n" },
    { "hosts: [galeria.labka.example]", "hosts: [g.example]",
      "galeria: host g.example added\ngaleria: host galeria.labka.example removed\n" },
    { "deployment: labka", "deployment: labka", "" },
  };
  anvil_config_t *before = load_file (LABKA);

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      anvil_config_t *after = load_example_with (cases[i].find, cases[i].replace);
      GString *out = g_string_new (NULL);
      guint lines = 0;

      for (const char *c = cases[i].lines; *c != '\0'; c++)
        lines += *c == '\n';
      ck_assert_uint_eq (anvil_config_diff (before, after, out), lines);
      ck_assert_str_eq (out->str, cases[i].lines);
      g_string_free (out, TRUE);
      anvil_config_drop (after);
    }
  anvil_config_drop (before);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("config");
  TCase *tcase = tcase_create ("config");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 300);
  tcase_add_test (tcase, test_examples_have_the_expected_sizes);
  tcase_add_test (tcase, test_upstream_groups_are_expanded);
  tcase_add_test (tcase, test_upstream_key_does_not_depend_on_the_name);
  tcase_add_test (tcase, test_owner_gets_the_remaining_share);
  tcase_add_test (tcase, test_lookups);
  tcase_add_test (tcase, test_errors_name_line_field_and_expected_value);
  tcase_add_test (tcase, test_share_without_accepting_upstream_is_rejected);
  tcase_add_test (tcase, test_malformed_files_are_rejected);
  tcase_add_test (tcase, test_damaged_files_load_consistently_or_are_rejected);
  tcase_add_test (tcase, test_diff);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
