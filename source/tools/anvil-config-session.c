#include "tools/anvil-config-session.h"

#include "anvil/settings.h"

#define CALL_TIMEOUT (5 * ANVIL_SECOND)

gboolean
anvil_config_session_open (anvil_config_session_t *session, guint32 address, guint16 port)
{
  session->base = event_base_new ();
  session->platform = anvil_platform_open (session->base, address, port, CALL_TIMEOUT);
  return session->platform != NULL;
}

void
anvil_config_session_close (anvil_config_session_t *session)
{
  anvil_platform_close (session->platform);
  event_base_free (session->base);
}

/* A call to the platform and its result; @strings or @body holds what was read. */
typedef struct
{
  struct event_base *base;
  gboolean done;
  GPtrArray *strings;
  GString *body;
  GError *error;
} call_t;

static void
call_finish (call_t *call, const GError *error)
{
  call->error = error != NULL ? g_error_copy (error) : NULL;
  call->done = TRUE;
  event_base_loopbreak (call->base);
}

static gboolean
call_wait (call_t *call, GError **error)
{
  while (!call->done)
    event_base_dispatch (call->base);
  if (call->error == NULL)
    return TRUE;
  g_propagate_error (error, call->error);
  return FALSE;
}

static void
on_rows (void *context, const anvil_row_t *rows, guint n_rows, const GError *error)
{
  call_t *call = context;

  for (guint i = 0; error == NULL && i < n_rows; i++)
    g_ptr_array_add (call->strings, anvil_str_dup (rows[i].value));
  call_finish (call, error);
}

/* Returns the NULL-terminated list of strings; frees it and returns NULL if the call failed. */
static char **
call_take_strings (call_t *call, gboolean success)
{
  g_ptr_array_add (call->strings, NULL);
  if (success)
    return (char **) g_ptr_array_free (call->strings, FALSE);
  g_strfreev ((char **) g_ptr_array_free (call->strings, FALSE));
  return NULL;
}

char **
anvil_config_session_read_rows (anvil_config_session_t *session, const char *prefix, GError **error)
{
  call_t call = { .base = session->base, .strings = g_ptr_array_new () };

  anvil_platform_read_rows (session->platform, prefix, on_rows, &call);
  return call_take_strings (&call, call_wait (&call, error));
}

char *
anvil_config_session_read_row (anvil_config_session_t *session, const char *key, GError **error)
{
  char **values = anvil_config_session_read_rows (session, key, error);
  char *first = values != NULL ? g_strdup (values[0]) : NULL;

  g_strfreev (values);
  return first;
}

static void
on_object (void *context, anvil_str_t body, const GError *error)
{
  call_t *call = context;

  if (error == NULL)
    call->body = g_string_new_len (body.data, (gssize) body.length);
  call_finish (call, error);
}

GString *
anvil_config_session_get_object (anvil_config_session_t *session, const char *name, GError **error)
{
  call_t call = { .base = session->base };

  anvil_platform_get_object (session->platform, name, on_object, &call);
  return call_wait (&call, error) ? call.body : NULL;
}

static void
on_vms (void *context, const anvil_vm_list_t *list, const GError *error)
{
  call_t *call = context;

  for (guint i = 0; error == NULL && i < list->n_vms; i++)
    {
      const anvil_vm_t *vm = &list->vms[i];

      if (vm->kind == ANVIL_VM_ENTRY)
        g_ptr_array_add (call->strings, anvil_endpoint_format (vm->address, vm->admin_port));
    }
  call_finish (call, error);
}

char **
anvil_config_session_list_entries (anvil_config_session_t *session, GError **error)
{
  call_t call = { .base = session->base, .strings = g_ptr_array_new () };

  anvil_platform_list_vms (session->platform, on_vms, &call);
  return call_take_strings (&call, call_wait (&call, error));
}
