/* anvil-status: reads the status of every entry over its administration address. */

#include <stdio.h>
#include <stdlib.h>

#include "anvil-status-view.h"
#include "anvil/platform.h"
#include "anvil/settings.h"
#include "tool-http.h"

#define EXIT_USAGE 2
#define EXIT_NO_RESPONSE 3

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
                      .help = "Address of the platform, whose VM list names the entries" },
  [ITEM_ENTRIES] = { .name = "entries",
                     .kind = ANVIL_SETTING_TEXT,
                     .help = "Administration addresses of the entries, IP:PORT,IP:PORT" },
  [ITEM_TIMEOUT_MS] = { .name = "timeout-ms",
                        .kind = ANVIL_SETTING_INTEGER,
                        .help = "Time-out of a request",
                        .default_value = "2000",
                        .minimum = 1,
                        .maximum = 60000 },
  [ITEM_INTERVAL_MS] = { .name = "interval-ms",
                         .kind = ANVIL_SETTING_INTEGER,
                         .help = "Time between the two reads that give the use of the links",
                         .default_value = "1000",
                         .minimum = 10,
                         .maximum = 60000 },
  [ITEM_JSON] = { .name = "json", .kind = ANVIL_SETTING_FLAG, .help = "Print JSON" },
};

static anvil_settings_t settings = {
  .program = "anvil-status",
  .usage = "\n\n"
           "Reads the status of every entry and sums it up. Give either --entries or --platform.\n"
           "Exit code: 0 all entries are ready, on one generation, and every seat has one user;\n"
           "1 one of these does not hold; 2 usage error; 3 no entry responded.",
  .items = items,
  .n_items = N_ITEMS,
};

/* One status request to each entry. */
typedef struct
{
  struct event_base *base;
  GArray *entries;
  guint n_pending;
} poll_t;

typedef struct
{
  poll_t *poll;
  guint index;
} request_context_t;

static void
on_status (void *context, const tool_http_response_t *response)
{
  request_context_t *request_context = context;
  status_entry_t *entry
      = &g_array_index (request_context->poll->entries, status_entry_t, request_context->index);

  if (response->result == TOOL_HTTP_COMPLETE && response->status == HTTP_OK)
    {
      if (!status_entry_parse (entry, response->body))
        fprintf (stderr, "anvil-status: %s: the response is not a status\n", entry->address);
    }
  if (--request_context->poll->n_pending == 0)
    event_base_loopexit (request_context->poll->base, NULL);
  g_free (request_context);
}

static void
poll_entries (struct event_base *base, GArray *entries)
{
  poll_t poll = { .base = base, .entries = entries, .n_pending = entries->len };

  for (guint i = 0; i < entries->len; i++)
    {
      request_context_t *request_context = g_new0 (request_context_t, 1);
      tool_http_request_t request = {
        .method = EVHTTP_REQ_GET,
        .path = "/v1/status",
        .timeout = items[ITEM_TIMEOUT_MS].integer * ANVIL_MS,
      };

      request_context->poll = &poll;
      request_context->index = i;
      anvil_endpoint_parse (g_array_index (entries, status_entry_t, i).address, &request.address,
                            &request.port);
      tool_http_send (base, &request, on_status, request_context);
    }
  if (poll.n_pending > 0)
    event_base_dispatch (base);
}

static gboolean
parse_entries (GArray *entries)
{
  char **addresses = g_strsplit (items[ITEM_ENTRIES].text, ",", 0);
  gboolean valid = TRUE;

  for (char **address_text = addresses; *address_text != NULL && valid; address_text++)
    {
      status_entry_t entry = { .address = g_strdup (*address_text) };
      guint32 address;
      guint16 port;

      valid = anvil_endpoint_parse (*address_text, &address, &port);
      g_array_append_val (entries, entry);
    }
  g_strfreev (addresses);
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
on_vms (void *context, const anvil_vm_list_t *list, const GError *error)
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
list_platform_entries (struct event_base *base, GArray *entries)
{
  listing_t listing = { .base = base, .entries = entries };
  anvil_platform_t *platform
      = anvil_platform_open (base, items[ITEM_PLATFORM].address, items[ITEM_PLATFORM].port,
                             items[ITEM_TIMEOUT_MS].integer * ANVIL_MS);

  anvil_platform_list_vms (platform, on_vms, &listing);
  event_base_dispatch (base);
  anvil_platform_close (platform);
  return listing.listed;
}

/* Reads the status of the same entries again. */
static GArray *
poll_again (struct event_base *base, const GArray *entries)
{
  GArray *again = g_array_new (FALSE, TRUE, sizeof (status_entry_t));

  g_array_set_clear_func (again, status_entry_clear);
  for (guint i = 0; i < entries->len; i++)
    {
      status_entry_t entry
          = { .address = g_strdup (g_array_index (entries, status_entry_t, i).address) };

      g_array_append_val (again, entry);
    }
  poll_entries (base, again);
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
print_status (struct event_base *base, GArray *entries)
{
  anvil_time_t start = anvil_clock_now ();
  status_verdict_t verdict;
  GArray *later;

  poll_entries (base, entries);
  if (items[ITEM_JSON].integer != 0)
    {
      print_json (entries);
      return status_view_verdict (entries);
    }
  g_usleep ((gulong) (items[ITEM_INTERVAL_MS].integer * ANVIL_MS));
  later = poll_again (base, entries);
  print_text (later, entries, anvil_clock_now () - start);
  verdict = status_view_verdict (later);
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
      if (!parse_entries (entries))
        goto out;
    }
  else if (!list_platform_entries (base, entries))
    {
      status = EXIT_NO_RESPONSE;
      goto out;
    }
  status = (int) print_status (base, entries);

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
