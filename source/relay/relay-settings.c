#include "relay/relay-settings.h"

void
anvil_relay_settings_clear (anvil_relay_settings_t *settings)
{
  g_clear_pointer (&settings->vm, g_free);
  g_clear_pointer (&settings->zone, g_free);
  g_clear_pointer (&settings->region_by_zone, g_hash_table_unref);
}

const char *
anvil_relay_settings_region (const anvil_relay_settings_t *settings, const char *zone)
{
  return zone != NULL ? g_hash_table_lookup (settings->region_by_zone, zone) : NULL;
}
