#include "net/platform-client-codec.h"

#include <arpa/inet.h>
#include <string.h>

#include "anvil/error.h"
#include "anvil/message.h"
#include "net/http-json.h"

#define MAX_ROWS 100000
#define MAX_VMS 20000

static gboolean
check_row_limits (const anvil_row_t *row, GError **error)
{
  if (row->key.length == 0 || row->key.length > ANVIL_PLATFORM_MAX_KEY_BYTES)
    {
      g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID,
                   "row key has %" G_GSIZE_FORMAT " bytes, expected 1 to %d", row->key.length,
                   ANVIL_PLATFORM_MAX_KEY_BYTES);
      return FALSE;
    }
  if (row->value.length > ANVIL_PLATFORM_MAX_VALUE_BYTES)
    {
      g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID,
                   "row \"%.*s\" has %" G_GSIZE_FORMAT " bytes, expected at most %u",
                   ANVIL_STR_ARGS (row->key), row->value.length, ANVIL_PLATFORM_MAX_VALUE_BYTES);
      return FALSE;
    }
  return TRUE;
}

static json_t *
pack_condition (const anvil_row_t *row)
{
  return json_pack ("{s:s%,s:I}", "key", row->key.data, row->key.length, "version",
                    (json_int_t) row->version);
}

static json_t *
pack_write (const anvil_row_t *row)
{
  if (row->value.data == NULL)
    return json_pack ("{s:s%}", "key", row->key.data, row->key.length);
  return json_pack ("{s:s%,s:s%}", "key", row->key.data, row->key.length, "value", row->value.data,
                    row->value.length);
}

static gboolean
pack_rows (const anvil_row_t *rows,
           guint n_rows,
           json_t *(*pack) (const anvil_row_t *row),
           json_t *list,
           GError **error)
{
  for (guint i = 0; i < n_rows; i++)
    {
      json_t *item;

      if (!check_row_limits (&rows[i], error))
        return FALSE;
      item = pack (&rows[i]);
      if (item == NULL)
        {
          g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID, "row \"%.*s\" is not valid UTF-8",
                       ANVIL_STR_ARGS (rows[i].key));
          return FALSE;
        }
      json_array_append_new (list, item);
    }
  return TRUE;
}

gboolean
anvil_platform_pack_commit (const anvil_row_t *conditions,
                            guint n_conditions,
                            const anvil_row_t *writes,
                            guint n_writes,
                            struct evbuffer *out,
                            GError **error)
{
  json_t *condition_list = json_array ();
  json_t *write_list = json_array ();
  json_t *json = json_pack ("{s:o,s:o}", "conditions", condition_list, "writes", write_list);
  gboolean packed = pack_rows (conditions, n_conditions, pack_condition, condition_list, error)
                    && pack_rows (writes, n_writes, pack_write, write_list, error);

  if (packed)
    {
      char *text = json_dumps (json, JSON_COMPACT);

      evbuffer_add (out, text, strlen (text));
      free (text);
    }
  json_decref (json);
  return packed;
}

gboolean
anvil_platform_unpack_committed (struct evbuffer *body, gboolean *committed)
{
  json_t *json = anvil_http_json_parse (body, ANVIL_PLATFORM_MAX_BODY_BYTES, NULL);
  const json_t *value = json_object_get (json, "committed");
  gboolean valid = json_is_boolean (value);

  *committed = json_is_true (value);
  json_decref (json);
  return valid;
}

static anvil_str_t
get_string (const json_t *object, const char *name)
{
  const json_t *value = json_object_get (object, name);

  return (anvil_str_t){ .data = json_string_value (value), .length = json_string_length (value) };
}

static gboolean
unpack_row (const json_t *json, anvil_row_t *row, GError **error)
{
  const json_t *version = json_object_get (json, "version");

  row->key = get_string (json, "key");
  row->value = get_string (json, "value");
  row->version = (guint64) json_integer_value (version);
  if (row->value.data == NULL || !json_is_integer (version) || json_integer_value (version) < 1)
    {
      g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID,
                   "row \"%.*s\" has no value or no version above 0", ANVIL_STR_ARGS (row->key));
      return FALSE;
    }
  return check_row_limits (row, error);
}

/* Parses the body into @json and returns its array @name, which @json owns. */
static json_t *
parse_array (
    struct evbuffer *body, const char *name, gsize max_items, json_t **json, GError **error)
{
  json_t *list;

  *json = anvil_http_json_parse (body, ANVIL_PLATFORM_MAX_BODY_BYTES, error);
  if (*json == NULL)
    return NULL;
  list = json_object_get (*json, name);
  if (json_is_array (list) && json_array_size (list) <= max_items)
    return list;
  g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID,
               "response has no array \"%s\" of at most %" G_GSIZE_FORMAT " items", name,
               max_items);
  return NULL;
}

gboolean
anvil_platform_unpack_rows (struct evbuffer *body, anvil_platform_rows_t *rows, GError **error)
{
  json_t *list = parse_array (body, "rows", MAX_ROWS, &rows->json, error);
  size_t index;
  json_t *item;

  if (list == NULL)
    return FALSE;
  rows->rows = g_new0 (anvil_row_t, json_array_size (list) + 1);
  json_array_foreach (list, index, item)
  {
    if (!unpack_row (item, &rows->rows[index], error))
      return FALSE;
    rows->n_rows++;
  }
  return TRUE;
}

void
anvil_platform_rows_clear (anvil_platform_rows_t *rows)
{
  g_clear_pointer (&rows->rows, g_free);
  g_clear_pointer (&rows->json, json_decref);
}

static gboolean
unpack_port (const json_t *json, const char *name, guint16 *port)
{
  const json_t *value = json_object_get (json, name);
  json_int_t number = json_integer_value (value);

  if (value == NULL)
    return TRUE;
  *port = (guint16) number;
  return json_is_integer (value) && number >= 0 && number <= G_MAXUINT16;
}

static gboolean
unpack_address (const json_t *json, guint32 *address)
{
  const char *text = json_string_value (json_object_get (json, "address"));
  struct in_addr parsed;

  if (text == NULL || inet_pton (AF_INET, text, &parsed) != 1)
    return FALSE;
  *address = ntohl (parsed.s_addr);
  return TRUE;
}

static gboolean
unpack_kind (const json_t *json, anvil_vm_kind_t *kind)
{
  anvil_str_t text = get_string (json, "kind");

  *kind = anvil_str_equal (text, anvil_str ("entry")) ? ANVIL_VM_ENTRY : ANVIL_VM_UPSTREAM;
  return *kind == ANVIL_VM_ENTRY || anvil_str_equal (text, anvil_str ("upstream"));
}

static gboolean
unpack_state (const json_t *json, gboolean *leaving)
{
  anvil_str_t text = get_string (json, "state");

  *leaving = anvil_str_equal (text, anvil_str ("leaving"));
  return *leaving || anvil_str_equal (text, anvil_str ("live"));
}

static gboolean
unpack_vm (const json_t *json, anvil_vm_t *vm, GError **error)
{
  vm->name = get_string (json, "name");
  vm->zone = get_string (json, "zone");
  if (vm->name.length > 0 && vm->name.length <= ANVIL_MAX_NAME_BYTES && vm->zone.length > 0
      && vm->zone.length <= ANVIL_MAX_NAME_BYTES && unpack_kind (json, &vm->kind)
      && unpack_state (json, &vm->leaving) && unpack_address (json, &vm->address)
      && unpack_port (json, "peer_port", &vm->peer_port)
      && unpack_port (json, "caller_port", &vm->caller_port)
      && unpack_port (json, "admin_port", &vm->admin_port))
    return TRUE;
  g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID,
               "VM \"%.*s\" lacks a valid kind, state, zone, address or port",
               (int) MIN (vm->name.length, ANVIL_MAX_NAME_BYTES), vm->name.data);
  return FALSE;
}

gboolean
anvil_platform_unpack_vms (struct evbuffer *body, anvil_platform_vms_t *vms, GError **error)
{
  json_t *list = parse_array (body, "vms", MAX_VMS, &vms->json, error);
  const json_t *version = json_object_get (vms->json, "version");
  size_t index;
  json_t *item;

  if (list == NULL)
    return FALSE;
  if (!json_is_integer (version) || json_integer_value (version) < 0)
    {
      g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID, "list of VMs has no valid version");
      return FALSE;
    }
  vms->list.version = (guint64) json_integer_value (version);
  vms->list.vms = g_new0 (anvil_vm_t, json_array_size (list) + 1);
  json_array_foreach (list, index, item)
  {
    if (!unpack_vm (item, &vms->list.vms[index], error))
      return FALSE;
    vms->list.n_vms++;
  }
  return TRUE;
}

void
anvil_platform_vms_clear (anvil_platform_vms_t *vms)
{
  g_clear_pointer (&vms->list.vms, g_free);
  g_clear_pointer (&vms->json, json_decref);
}
