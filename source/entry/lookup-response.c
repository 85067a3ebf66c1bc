#include "lookup-response.h"

#include <arpa/inet.h>

#include <event2/keyvalq_struct.h>

#include "caller-request.h"
#include "caller-response.h"
#include "net/http-json.h"

/* Maximum number of entries in one response. */
#define MAX_ENTRIES 16

/* Finds the zone whose name has this hash. Entries report only the hash of their zone. */
static const char *
zone_name (const anvil_config_t *config, guint64 hash)
{
  for (guint i = 0; i < config->n_zones; i++)
    {
      if (anvil_str_hash (config->zones[i].name) == hash)
        return config->zones[i].name.data;
    }
  return "";
}

static json_t *
entry_json (const anvil_config_t *config, const anvil_entry_choice_t *choice)
{
  struct in_addr network = { .s_addr = htonl (anvil_node_address (choice->node)) };
  char address[INET_ADDRSTRLEN];

  inet_ntop (AF_INET, &network, address, sizeof address);
  return json_pack ("{s:s, s:i, s:s, s:i}", "address", address, "port", (int) choice->caller_port,
                    "zone", zone_name (config, choice->zone), "weight", (int) choice->weight);
}

/* The address in the parameter "client", or else that of the connection. */
static gboolean
parse_client (struct evhttp_request *http, const struct evkeyvalq *query, guint32 *client)
{
  const char *text = evhttp_find_header (query, "client");
  struct in_addr address;

  if (text == NULL)
    {
      *client = anvil_caller_request_client_address (http);
      return TRUE;
    }
  if (inet_pton (AF_INET, text, &address) != 1)
    return FALSE;
  *client = ntohl (address.s_addr);
  return TRUE;
}

static void
respond (struct evhttp_request *http, anvil_steer_t *steer, guint service, guint32 client)
{
  const anvil_config_t *config = anvil_steer_config (steer);
  anvil_entry_choice_t choices[MAX_ENTRIES];
  guint n_choices = anvil_steer_lookup (steer, anvil_clock_now (), service, client, choices,
                                        G_N_ELEMENTS (choices));
  json_t *entries = json_array ();
  char cache_control[48];

  if (n_choices == 0)
    {
      json_decref (entries);
      anvil_respond_refused (http, "no-entry", "no entry accepts requests now", ANVIL_SECOND);
      return;
    }
  for (guint i = 0; i < n_choices; i++)
    json_array_append_new (entries, entry_json (config, &choices[i]));
  g_snprintf (cache_control, sizeof cache_control, "max-age=%" G_GINT64_FORMAT,
              (gint64) (ANVIL_LOOKUP_TTL / ANVIL_SECOND));
  evhttp_add_header (evhttp_request_get_output_headers (http), "Cache-Control", cache_control);
  anvil_http_json_send (http, HTTP_OK,
                        json_pack ("{s:I, s:I, s:o}", "generation",
                                   (json_int_t) anvil_steer_generation (steer), "ttl_seconds",
                                   (json_int_t) (ANVIL_LOOKUP_TTL / ANVIL_SECOND), "entries",
                                   entries));
}

static void
validate_and_respond (struct evhttp_request *http,
                      anvil_steer_t *steer,
                      const struct evkeyvalq *query)
{
  const anvil_config_t *config = anvil_steer_config (steer);
  const char *name = evhttp_find_header (query, "service");
  guint32 client;
  guint service;

  if (name == NULL || !parse_client (http, query, &client))
    {
      anvil_respond_bad_request (
          http, HTTP_BADREQUEST,
          "expected /v1/entries?service=NAME&client=IP with an IPv4 address");
      return;
    }
  if (config == NULL)
    {
      anvil_respond_refused (http, anvil_refusal_reason_name (ANVIL_REFUSAL_NOT_READY),
                             "this entry has no configuration yet", ANVIL_SECOND);
      return;
    }
  service = anvil_config_lookup_service (config, anvil_str (name));
  if (service == ANVIL_NO_INDEX)
    service = anvil_config_lookup_host (config, anvil_str (name));
  if (service == ANVIL_NO_INDEX)
    {
      anvil_respond_bad_request (http, HTTP_NOTFOUND,
                                 "no service with this name or host is configured");
      return;
    }
  respond (http, steer, service, client);
}

void
anvil_lookup_respond (struct evhttp_request *http, anvil_steer_t *steer, anvil_metrics_t *metrics)
{
  const char *text = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (http));
  struct evkeyvalq query;

  anvil_metrics_add_counter (metrics, "anvil_lookups_total", NULL, 1);
  if (text == NULL || evhttp_parse_query_str (text, &query) != 0)
    {
      anvil_respond_bad_request (http, HTTP_BADREQUEST,
                                 "expected /v1/entries?service=NAME&client=IP");
      return;
    }
  validate_and_respond (http, steer, &query);
  evhttp_clear_headers (&query);
}
