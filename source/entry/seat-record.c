#include "seat-record.h"

#include <string.h>

#include <jansson.h>

#include "anvil/error.h"
#include "anvil/settings.h"

#define KEY_PREFIX "seat/"

static gboolean
parse_key (anvil_str_t text, guint16 *seat)
{
  gsize prefix_length = strlen (KEY_PREFIX);
  char *number;
  guint64 value;
  gboolean valid;

  if (text.length <= prefix_length || memcmp (text.data, KEY_PREFIX, prefix_length) != 0)
    return FALSE;
  number = g_strndup (text.data + prefix_length, text.length - prefix_length);
  valid = g_ascii_string_to_unsigned (number, 10, 0, G_MAXUINT16, &value, NULL);
  g_free (number);
  *seat = (guint16) value;
  return valid;
}

static gboolean
parse_value (json_t *json, anvil_seat_row_t *seat)
{
  const char *holder;
  json_int_t incarnation;
  json_int_t list_version;
  guint32 address;
  guint16 port;

  if (json_unpack (json, "{s:s, s:I, s:I}", "holder", &holder, "incarnation", &incarnation,
                   "list_version", &list_version)
      != 0)
    return FALSE;
  seat->incarnation = (guint64) incarnation;
  seat->list_version = (guint64) list_version;
  seat->holder = ANVIL_NO_NODE;
  if (*holder == '\0')
    return TRUE;
  if (!anvil_endpoint_parse (holder, &address, &port))
    return FALSE;
  seat->holder = anvil_node (address, port);
  return TRUE;
}

gboolean
anvil_seat_record_parse (const anvil_row_t *row, anvil_seat_row_t *seat, GError **error)
{
  json_t *json = json_loadb (row->value.data, row->value.length, JSON_REJECT_DUPLICATES, NULL);
  gboolean valid = json != NULL && parse_key (row->key, &seat->seat) && parse_value (json, seat);

  seat->epoch = row->version;
  json_decref (json);
  if (!valid)
    g_set_error (
        error, ANVIL_ERROR, ANVIL_ERROR_INVALID,
        "row \"%.*s\": expected key seat/N and {\"holder\", \"incarnation\", \"list_version\"}",
        ANVIL_STR_ARGS (row->key));
  return valid;
}

char *
anvil_seat_record_key (guint16 seat)
{
  return g_strdup_printf (KEY_PREFIX "%u", seat);
}

char *
anvil_seat_record_value (const anvil_seat_row_t *seat)
{
  char *holder = seat->holder != ANVIL_NO_NODE ? anvil_endpoint_format (
                     anvil_node_address (seat->holder), anvil_node_port (seat->holder))
                                               : g_strdup ("");
  json_t *json
      = json_pack ("{s:s, s:I, s:I}", "holder", holder, "incarnation",
                   (json_int_t) seat->incarnation, "list_version", (json_int_t) seat->list_version);
  char *text = json_dumps (json, JSON_COMPACT);

  json_decref (json);
  g_free (holder);
  return text;
}
