#include "anvil-platform-vms.h"

/* A version of the list and the time at which it was set. */
typedef struct
{
  anvil_time_t set_at;
  guint64 version;
  json_t *list;
} revision_t;

struct platform_vm_list
{
  /* revision_t, oldest first; the first is the published one. */
  GQueue revisions;
  guint64 version;
};

static void
revision_drop (gpointer data)
{
  revision_t *revision = data;

  json_decref (revision->list);
  g_free (revision);
}

static void
add_revision (platform_vm_list_t *vms, anvil_time_t now, json_t *list)
{
  revision_t *revision = g_new0 (revision_t, 1);

  revision->set_at = now;
  revision->version = ++vms->version;
  revision->list = json_incref (list);
  g_queue_push_tail (&vms->revisions, revision);
}

platform_vm_list_t *
platform_vm_list_new (void)
{
  platform_vm_list_t *vms = g_new0 (platform_vm_list_t, 1);
  json_t *empty = json_array ();

  add_revision (vms, 0, empty);
  json_decref (empty);
  return vms;
}

void
platform_vm_list_drop (platform_vm_list_t *vms)
{
  if (vms == NULL)
    return;
  g_queue_clear_full (&vms->revisions, revision_drop);
  g_free (vms);
}

void
platform_vm_list_set (platform_vm_list_t *vms, anvil_time_t now, json_t *list)
{
  add_revision (vms, now, list);
}

void
platform_vm_list_publish (platform_vm_list_t *vms, anvil_time_t now, anvil_time_t lag)
{
  const revision_t *next;

  while ((next = g_queue_peek_nth (&vms->revisions, 1)) != NULL && next->set_at + lag <= now)
    revision_drop (g_queue_pop_head (&vms->revisions));
}

json_t *
platform_vm_list_published (const platform_vm_list_t *vms)
{
  const revision_t *revision = g_queue_peek_head ((GQueue *) &vms->revisions);

  return json_pack ("{s:I,s:O}", "version", (json_int_t) revision->version, "vms", revision->list);
}
