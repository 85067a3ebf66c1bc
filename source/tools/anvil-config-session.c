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

/* What one call brought. */
typedef struct
{
  struct event_base *base;
  gboolean done;
  GPtrArray *texts;
  GString *body;
  GError *error;
} reply_t;

static void
end_call (reply_t *reply, const GError *error)
{
  reply->error = error != NULL ? g_error_copy (error) : NULL;
  reply->done = TRUE;
  event_base_loopbreak (reply->base);
}

static gboolean
await (reply_t *reply, GError **error)
{
  while (!reply->done)
    event_base_dispatch (reply->base);
  if (reply->error == NULL)
    return TRUE;
  g_propagate_error (error, reply->error);
  return FALSE;
}

static void
on_rows (void *context, const anvil_row_t *rows, guint n_rows, const GError *error)
{
  reply_t *reply = context;

  for (guint i = 0; error == NULL && i < n_rows; i++)
    g_ptr_array_add (reply->texts, anvil_str_dup (rows[i].value));
  end_call (reply, error);
}

/* Ends the list of texts and hands it over, or frees it after a failure. */
static char **
take_texts (reply_t *reply, gboolean keep)
{
  g_ptr_array_add (reply->texts, NULL);
  if (keep)
    return (char **) g_ptr_array_free (reply->texts, FALSE);
  g_strfreev ((char **) g_ptr_array_free (reply->texts, FALSE));
  return NULL;
}

char **
anvil_config_session_values (anvil_config_session_t *session, const char *prefix, GError **error)
{
  reply_t reply = { .base = session->base, .texts = g_ptr_array_new () };

  anvil_platform_read_rows (session->platform, prefix, on_rows, &reply);
  return take_texts (&reply, await (&reply, error));
}

char *
anvil_config_session_value (anvil_config_session_t *session, const char *key, GError **error)
{
  char **values = anvil_config_session_values (session, key, error);
  char *first = values != NULL ? g_strdup (values[0]) : NULL;

  g_strfreev (values);
  return first;
}

static void
on_object (void *context, anvil_str_t body, const GError *error)
{
  reply_t *reply = context;

  if (error == NULL)
    reply->body = g_string_new_len (body.data, (gssize) body.length);
  end_call (reply, error);
}

GString *
anvil_config_session_object (anvil_config_session_t *session, const char *name, GError **error)
{
  reply_t reply = { .base = session->base };

  anvil_platform_get_object (session->platform, name, on_object, &reply);
  return await (&reply, error) ? reply.body : NULL;
}

static void
on_vms (void *context, const anvil_vm_list_t *list, const GError *error)
{
  reply_t *reply = context;

  for (guint i = 0; error == NULL && i < list->n_vms; i++)
    {
      const anvil_vm_t *vm = &list->vms[i];

      if (vm->kind == ANVIL_VM_ENTRY)
        g_ptr_array_add (reply->texts, anvil_endpoint_format (vm->address, vm->admin_port));
    }
  end_call (reply, error);
}

char **
anvil_config_session_entries (anvil_config_session_t *session, GError **error)
{
  reply_t reply = { .base = session->base, .texts = g_ptr_array_new () };

  anvil_platform_list_vms (session->platform, on_vms, &reply);
  return take_texts (&reply, await (&reply, error));
}
