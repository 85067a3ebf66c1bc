/* anvil-status: asks every entry over its administration address. */

#include <stdio.h>
#include <stdlib.h>

#include "anvil-status-view.h"
#include "anvil/platform.h"
#include "anvil/settings.h"
#include "tool-http.h"

#define EXIT_USAGE 2
#define EXIT_NOBODY 3

enum
{
  ITEM_PLATFORM,
  ITEM_ENTRIES,
  ITEM_TIMEOUT_MS,
  ITEM_INTERVAL_MS,
  ITEM_JSON,
  N_ITEMS,
};

static anvil_setting_t items[N_ITEMS] = {
  [ITEM_PLATFORM] = { .name = "platform",
                      .kind = ANVIL_SETTING_ENDPOINT,
                      .help = "Platform whose VM list names the entries" },
  [ITEM_ENTRIES] = { .name = "entries",
                     .kind = ANVIL_SETTING_TEXT,
                     .help = "Administration addresses instead, IP:PORT,IP:PORT" },
  [ITEM_TIMEOUT_MS] = { .name = "timeout-ms",
                        .kind = ANVIL_SETTING_INTEGER,
                        .help = "Longest wait for one answer",
                        .default_value = "2000",
                        .minimum = 1,
                        .maximum = 60000 },
  [ITEM_INTERVAL_MS] = { .name = "interval-ms",
                         .kind = ANVIL_SETTING_INTEGER,
                         .help = "Time over which the use of links is measured",
                         .default_value = "1000",
                         .minimum = 10,
                         .maximum = 60000 },
  [ITEM_JSON] = { .name = "json", .kind = ANVIL_SETTING_FLAG, .help = "Print the answers as JSON" },
};

static anvil_settings_t settings = {
  .program = "anvil-status",
  .usage = "\n\n"
           "Asks every entry for its status and adds them up. Give --entries, or --platform.\n"
           "Exit: 0 all ready, on one generation, every seat used once; 1 something is degraded;\n"
           "2 usage; 3 no entry answered.",
  .items = items,
  .n_items = N_ITEMS,
};

/* The questions under way. */
typedef struct
{
  struct event_base *base;
  GArray *entries;
  guint waiting;
} round_t;

typedef struct
{
  round_t *round;
  guint index;
} question_t;

static void
status_came (void *context, const tool_http_answer_t *answer)
{
  question_t *question = context;
  status_entry_t *entry
      = &g_array_index (question->round->entries, status_entry_t, question->index);

  if (answer->result == TOOL_HTTP_WHOLE && answer->status == HTTP_OK)
    {
      if (!status_entry_load (entry, answer->body))
        fprintf (stderr, "anvil-status: %s: the answer is not a status\n", entry->address);
    }
  if (--question->round->waiting == 0)
    event_base_loopexit (question->round->base, NULL);
  g_free (question);
}

static void
ask_all (struct event_base *base, GArray *entries)
{
  round_t round = { .base = base, .entries = entries, .waiting = entries->len };

  for (guint i = 0; i < entries->len; i++)
    {
      question_t *question = g_new0 (question_t, 1);
      tool_http_request_t request = {
        .method = EVHTTP_REQ_GET,
        .path = "/v1/status",
        .timeout = items[ITEM_TIMEOUT_MS].integer * ANVIL_MS,
      };

      question->round = &round;
      question->index = i;
      anvil_endpoint_parse (g_array_index (entries, status_entry_t, i).address, &request.address,
                            &request.port);
      tool_http_send (base, &request, status_came, question);
    }
  if (round.waiting > 0)
    event_base_dispatch (base);
}

static gboolean
list_given (GArray *entries)
{
  char **parts = g_strsplit (items[ITEM_ENTRIES].text, ",", 0);
  gboolean valid = TRUE;

  for (char **part = parts; *part != NULL && valid; part++)
    {
      status_entry_t entry = { .address = g_strdup (*part) };
      guint32 address;
      guint16 port;

      valid = anvil_endpoint_parse (*part, &address, &port);
      g_array_append_val (entries, entry);
    }
  g_strfreev (parts);
  if (!valid)
    fprintf (stderr, "anvil-status: --entries must be addresses and ports, such as "
                     "127.0.10.1:9000,127.0.10.2:9000\n");
  return valid;
}

typedef struct
{
  struct event_base *base;
  GArray *entries;
  gboolean listed;
} listing_t;

static void
vms_came (void *context, const anvil_vm_list_t *list, const GError *error)
{
  listing_t *listing = context;

  event_base_loopexit (listing->base, NULL);
  if (error != NULL)
    {
      fprintf (stderr, "anvil-status: VM list: %s\n", error->message);
      return;
    }
  listing->listed = TRUE;
  for (guint i = 0; i < list->n_vms; i++)
    {
      const anvil_vm_t *vm = &list->vms[i];
      status_entry_t entry = { 0 };

      if (vm->kind != ANVIL_VM_ENTRY)
        continue;
      entry.address = anvil_endpoint_format (vm->address, vm->admin_port);
      g_array_append_val (listing->entries, entry);
    }
}

static gboolean
list_vms (struct event_base *base, GArray *entries)
{
  listing_t listing = { .base = base, .entries = entries };
  anvil_platform_t *platform
      = anvil_platform_open (base, items[ITEM_PLATFORM].address, items[ITEM_PLATFORM].port,
                             items[ITEM_TIMEOUT_MS].integer * ANVIL_MS);

  anvil_platform_list_vms (platform, vms_came, &listing);
  event_base_dispatch (base);
  anvil_platform_close (platform);
  return listing.listed;
}

/* The same entries, asked anew. */
static GArray *
ask_again (struct event_base *base, const GArray *entries)
{
  GArray *again = g_array_new (FALSE, TRUE, sizeof (status_entry_t));

  g_array_set_clear_func (again, status_entry_clear);
  for (guint i = 0; i < entries->len; i++)
    {
      status_entry_t entry
          = { .address = g_strdup (g_array_index (entries, status_entry_t, i).address) };

      g_array_append_val (again, entry);
    }
  ask_all (base, again);
  return again;
}

static void
print_json (const GArray *entries)
{
  json_t *json = status_view_json (entries);

  json_dumpf (json, stdout, JSON_INDENT (2));
  putchar ('\n');
  json_decref (json);
}

static void
print_text (const GArray *entries, const GArray *before, anvil_time_t interval)
{
  GString *text = g_string_new (NULL);

  status_view_text (entries, before, interval, text);
  fputs (text->str, stdout);
  g_string_free (text, TRUE);
}

static status_verdict_t
show (struct event_base *base, GArray *entries)
{
  anvil_time_t start = anvil_clock_now ();
  status_verdict_t verdict;
  GArray *later;

  ask_all (base, entries);
  if (items[ITEM_JSON].integer != 0)
    {
      print_json (entries);
      return status_view_judge (entries);
    }
  g_usleep ((gulong) (items[ITEM_INTERVAL_MS].integer * ANVIL_MS));
  later = ask_again (base, entries);
  print_text (later, entries, anvil_clock_now () - start);
  verdict = status_view_judge (later);
  g_array_unref (later);
  return verdict;
}

static int
run_program (void)
{
  struct event_base *base;
  GArray *entries;
  int status = EXIT_USAGE;

  if ((items[ITEM_ENTRIES].text == NULL) == (items[ITEM_PLATFORM].text == NULL))
    {
      fprintf (stderr, "anvil-status: give either --platform or --entries\n");
      return EXIT_USAGE;
    }
  base = event_base_new ();
  entries = g_array_new (FALSE, TRUE, sizeof (status_entry_t));
  g_array_set_clear_func (entries, status_entry_clear);
  if (items[ITEM_ENTRIES].text != NULL)
    {
      if (!list_given (entries))
        goto out;
    }
  else if (!list_vms (base, entries))
    {
      status = EXIT_NOBODY;
      goto out;
    }
  status = (int) show (base, entries);

out:
  g_array_unref (entries);
  event_base_free (base);
  return status;
}

int
main (int argc, char **argv)
{
  int status;

  switch (anvil_settings_load (&settings, argc, (const char **) argv))
    {
    case ANVIL_SETTINGS_EXIT:
      status = EXIT_SUCCESS;
      break;
    case ANVIL_SETTINGS_INVALID:
      status = EXIT_USAGE;
      break;
    default:
      status = run_program ();
    }
  anvil_settings_clear (&settings);
  return status;
}
