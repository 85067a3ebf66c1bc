#include "fake-platform.h"

typedef struct
{
  anvil_time_t published_at;
  anvil_vm_list_t list;
} list_version_t;

static void
list_version_free (gpointer data)
{
  list_version_t *version = data;

  g_free (version->list.vms);
  g_free (version);
}

static void
add_list_version (fake_platform_t *platform, anvil_time_t now)
{
  list_version_t *version = g_new0 (list_version_t, 1);

  version->published_at = now;
  version->list.version = platform->list_versions->len + 1;
  version->list.n_vms = platform->vms->len;
  version->list.vms
      = g_memdup2 (platform->vms->data, (gsize) platform->vms->len * sizeof (anvil_vm_t));
  g_ptr_array_add (platform->list_versions, version);
}

static guint
find_vm (const fake_platform_t *platform, anvil_str_t name)
{
  for (guint i = 0; i < platform->vms->len; i++)
    if (anvil_str_equal (g_array_index (platform->vms, anvil_vm_t, i).name, name))
      return i;
  return ANVIL_NO_INDEX;
}

fake_platform_t *
fake_platform_new (void)
{
  fake_platform_t *platform = g_new0 (fake_platform_t, 1);

  platform->files = g_array_new (FALSE, FALSE, sizeof (fake_file_t));
  platform->vms = g_array_new (FALSE, FALSE, sizeof (anvil_vm_t));
  platform->list_versions = g_ptr_array_new_with_free_func (list_version_free);
  for (guint i = 0; i < FAKE_MAX_SEATS; i++)
    platform->rows[i].seat = (guint16) i;
  return platform;
}

void
fake_platform_drop (fake_platform_t *platform)
{
  if (platform == NULL)
    return;
  for (guint i = 0; i < platform->files->len; i++)
    anvil_config_drop (g_array_index (platform->files, fake_file_t, i).config);
  g_array_free (platform->files, TRUE);
  g_array_free (platform->vms, TRUE);
  g_ptr_array_free (platform->list_versions, TRUE);
  g_free (platform);
}

anvil_row_result_t
fake_platform_write_row (fake_platform_t *platform, const anvil_seat_row_t *next)
{
  g_assert (next->seat < FAKE_MAX_SEATS);
  if (platform->rows[next->seat].epoch + 1 != next->epoch)
    return platform->lose_write_responses ? ANVIL_ROW_UNKNOWN : ANVIL_ROW_CONFLICT;
  platform->rows[next->seat] = *next;
  return platform->lose_write_responses ? ANVIL_ROW_UNKNOWN : ANVIL_ROW_WRITTEN;
}

guint64
fake_platform_submit (fake_platform_t *platform,
                      anvil_time_t now,
                      guint64 expected,
                      anvil_config_t *config)
{
  fake_file_t file = { .config = config, .accepted_at = now };

  if (platform->down || expected != platform->files->len)
    return 0;
  anvil_config_keep (config);
  g_array_append_val (platform->files, file);
  return platform->files->len;
}

guint64
fake_platform_newest_generation (const fake_platform_t *platform)
{
  return platform->files->len;
}

const fake_file_t *
fake_platform_file (const fake_platform_t *platform, guint64 generation)
{
  g_assert (generation > 0 && generation <= platform->files->len);
  return &g_array_index (platform->files, fake_file_t, generation - 1);
}

void
fake_platform_set_vm (fake_platform_t *platform, anvil_time_t now, const anvil_vm_t *vm)
{
  guint index = find_vm (platform, vm->name);

  if (index == ANVIL_NO_INDEX)
    g_array_append_vals (platform->vms, vm, 1);
  else
    g_array_index (platform->vms, anvil_vm_t, index) = *vm;
  add_list_version (platform, now);
}

void
fake_platform_remove_vm (fake_platform_t *platform, anvil_time_t now, anvil_str_t name)
{
  guint index = find_vm (platform, name);

  if (index == ANVIL_NO_INDEX)
    return;
  g_array_remove_index (platform->vms, index);
  add_list_version (platform, now);
}

const anvil_vm_list_t *
fake_platform_vm_list (const fake_platform_t *platform, anvil_time_t now)
{
  for (guint i = platform->list_versions->len; i > 0; i--)
    {
      const list_version_t *version = g_ptr_array_index (platform->list_versions, i - 1);

      if (version->published_at + platform->list_lag <= now || i == 1)
        return &version->list;
    }
  return NULL;
}
