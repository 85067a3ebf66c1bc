#pragma once

#include "relay/relay-settings.h"

/*
 * What a change of the settings file reaches, before and when it takes effect.
 */

/**
 * anvil_relay_setting_change_t - a setting that differs
 * @name: of the setting, such as "max-shift"; for a zone "zone west-a"
 * @from: its old value as text, "-" for none; borrowed
 * @to: its new value
 * @reaches: what uses it
 * @at_reload: it takes effect at the reload; otherwise at the next start of the process
 */
typedef struct
{
  const char *name;
  const char *from;
  const char *to;
  const char *reaches;
  gboolean at_reload;
} anvil_relay_setting_change_t;

typedef void (*anvil_relay_setting_change_cb_t) (void *context,
                                                 const anvil_relay_setting_change_t *change);

/**
 * anvil_relay_settings_diff - visits the settings that differ, always in the same order
 * @from: settings in force
 * @to: settings of the new file
 *
 * Return: the number of differences.
 */
guint anvil_relay_settings_diff (const anvil_relay_settings_t *from,
                                 const anvil_relay_settings_t *to,
                                 anvil_relay_setting_change_cb_t visit,
                                 void *context);
