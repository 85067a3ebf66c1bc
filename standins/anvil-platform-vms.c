#include "anvil-platform-vms.h"

/* One true list and when it was set. */
typedef struct
{
  anvil_time_t set_at;
  guint64 version;
  json_t *list;
} state_t;

struct platform_vm_list
{
  GQueue states;
  guint64 version;
};

static void
state_free (gpointer data)
{
  state_t *state = data;

  json_decref (state->list);
  g_free (state);
}

static void
push (platform_vm_list_t *vms, anvil_time_t now, json_t *list)
{
  state_t *state = g_new0 (state_t, 1);

  state->set_at = now;
  state->version = ++vms->version;
  state->list = json_incref (list);
  g_queue_push_tail (&vms->states, state);
}

platform_vm_list_t *
platform_vm_list_new (void)
{
  platform_vm_list_t *vms = g_new0 (platform_vm_list_t, 1);
  json_t *empty = json_array ();

  push (vms, 0, empty);
  json_decref (empty);
  return vms;
}

void
platform_vm_list_drop (platform_vm_list_t *vms)
{
  if (vms == NULL)
    return;
  g_queue_clear_full (&vms->states, state_free);
  g_free (vms);
}

void
platform_vm_list_set (platform_vm_list_t *vms, anvil_time_t now, json_t *list)
{
  push (vms, now, list);
}

void
platform_vm_list_publish (platform_vm_list_t *vms, anvil_time_t now, anvil_time_t lag)
{
  const state_t *next;

  while ((next = g_queue_peek_nth (&vms->states, 1)) != NULL && next->set_at + lag <= now)
    state_free (g_queue_pop_head (&vms->states));
}

json_t *
platform_vm_list_published (const platform_vm_list_t *vms)
{
  const state_t *state = g_queue_peek_head ((GQueue *) &vms->states);

  return json_pack ("{s:I,s:O}", "version", (json_int_t) state->version, "vms", state->list);
}
