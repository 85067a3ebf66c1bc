#include "admin-status.h"

/* Maximum number of members that are listed. */
#define MAX_MEMBERS 1024

static json_t *
node_json (anvil_node_t node)
{
  char *text;
  json_t *json;

  if (node == ANVIL_NO_NODE)
    return json_string ("");
  text = anvil_endpoint_format (anvil_node_address (node), anvil_node_port (node));
  json = json_string (text);
  g_free (text);
  return json;
}

static json_t *
str_json (anvil_str_t text)
{
  return json_stringn (text.data != NULL ? text.data : "", text.length);
}

static json_t *
number_json (guint64 value)
{
  return json_integer ((json_int_t) value);
}

static json_t *
member_json (const anvil_member_t *member)
{
  static const char *const states[] = {
    [ANVIL_MEMBER_ALIVE] = "alive",
    [ANVIL_MEMBER_LEAVING] = "leaving",
    [ANVIL_MEMBER_DEAD] = "dead",
  };

  return json_pack ("{s:o, s:s, s:o, s:i, s:i, s:i}", "node", node_json (member->node), "state",
                    states[member->state], "generation", number_json (member->generation),
                    "caller_port", (int) member->caller_port, "admin_port",
                    (int) member->admin_port, "load", (int) member->load_permille);
}

static json_t *
members_json (const anvil_steer_t *steer)
{
  anvil_member_t *members = g_new (anvil_member_t, MAX_MEMBERS);
  guint n_members = anvil_steer_members (steer, members, MAX_MEMBERS);
  json_t *array = json_array ();

  for (guint i = 0; i < n_members; i++)
    json_array_append_new (array, member_json (&members[i]));
  g_free (members);
  return array;
}

static json_t *
seats_json (const anvil_steer_t *steer, anvil_time_t now)
{
  json_t *array = json_array ();
  anvil_seat_status_t status;

  for (guint seat = 0; anvil_steer_seat_status (steer, now, seat, &status); seat++)
    json_array_append_new (array, json_pack ("{s:i, s:o, s:o, s:b, s:b}", "seat", (int) seat,
                                             "holder", node_json (status.row.holder), "epoch",
                                             number_json (status.row.epoch), "usable",
                                             status.usable, "adopted", status.adopted));
  return array;
}

static json_t *
upstreams_json (const anvil_steer_t *steer, anvil_time_t now)
{
  const anvil_config_t *config = anvil_steer_config (steer);
  json_t *array = json_array ();
  anvil_upstream_status_t status;

  for (guint i = 0; anvil_steer_upstream_status (steer, now, i, &status); i++)
    {
      const anvil_upstream_t *upstream = &config->upstreams[i];

      json_array_append_new (
          array,
          json_pack ("{s:o, s:o, s:o, s:i, s:i, s:i, s:i, s:b}", "name", str_json (upstream->name),
                     "service", str_json (config->services[upstream->service].name), "half",
                     str_json (config->halves[upstream->half].name), "owned", (int) status.owned,
                     "borrowed", (int) status.borrowed, "lent", (int) status.lent, "in_flight",
                     (int) status.in_flight, "accepting", status.accepting));
    }
  return array;
}

static json_t *
links_json (const anvil_steer_t *steer, anvil_time_t now)
{
  const anvil_config_t *config = anvil_steer_config (steer);
  json_t *array = json_array ();
  anvil_link_status_t status;

  for (guint i = 0; anvil_steer_link_status (steer, now, i, &status); i++)
    {
      const anvil_link_t *link = &config->links[i];

      json_array_append_new (array,
                             json_pack ("{s:o, s:o, s:I, s:I, s:I}", "from",
                                        str_json (config->regions[link->from].name), "to",
                                        str_json (config->regions[link->to].name),
                                        "share_bits_per_s", (json_int_t) status.share_bits_per_s,
                                        "available_bits", (json_int_t) status.available_bits,
                                        "used_bits", (json_int_t) status.used_bits));
    }
  return array;
}

static json_t *
counters_json (const anvil_steer_t *steer)
{
  const anvil_steer_counters_t *counters = anvil_steer_counters (steer);
  const struct
  {
    const char *name;
    guint64 value;
  } all[] = {
    { "dispatched", counters->dispatched },   { "retried", counters->retried },
    { "refused", counters->refused },         { "waited", counters->waited },
    { "loans_asked", counters->loans_asked }, { "loans_given", counters->loans_given },
    { "loans_taken", counters->loans_taken }, { "adoptions", counters->adoptions },
    { "ejections", counters->ejections },     { "messages_sent", counters->messages_sent },
  };
  json_t *json = json_object ();

  for (gsize i = 0; i < G_N_ELEMENTS (all); i++)
    json_object_set_new (json, all[i].name, number_json (all[i].value));
  return json;
}

json_t *
anvil_admin_status (const anvil_steer_t *steer,
                    const anvil_entry_settings_t *settings,
                    anvil_time_t now,
                    gboolean shutting_down)
{
  gboolean ready = anvil_steer_generation (steer) > 0 && !shutting_down;
  json_t *json = json_object ();

  json_object_set_new (json, "node", node_json (settings->node));
  json_object_set_new (json, "zone", json_string (settings->zone));
  json_object_set_new (json, "incarnation", number_json (settings->incarnation));
  json_object_set_new (json, "generation", number_json (anvil_steer_generation (steer)));
  json_object_set_new (json, "ready", json_boolean (ready));
  json_object_set_new (json, "leaving", json_boolean (shutting_down));
  json_object_set_new (json, "busy", number_json (anvil_steer_request_count (steer)));
  json_object_set_new (json, "members", members_json (steer));
  json_object_set_new (json, "seats", seats_json (steer, now));
  json_object_set_new (json, "upstreams", upstreams_json (steer, now));
  json_object_set_new (json, "links", links_json (steer, now));
  json_object_set_new (json, "counters", counters_json (steer));
  return json;
}

json_t *
anvil_admin_drain (const anvil_steer_t *steer, anvil_time_t now, gboolean shutting_down)
{
  const anvil_config_t *config = anvil_steer_config (steer);
  json_t *upstreams = json_array ();
  anvil_upstream_status_t status;

  for (guint i = 0; anvil_steer_upstream_status (steer, now, i, &status); i++)
    json_array_append_new (
        upstreams, json_pack ("{s:o, s:b, s:i}", "name", str_json (config->upstreams[i].name),
                              "draining", status.draining, "in_flight", (int) status.in_flight));
  return json_pack ("{s:b, s:o}", "leaving", shutting_down, "upstreams", upstreams);
}
