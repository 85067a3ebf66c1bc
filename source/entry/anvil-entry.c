/* anvil-entry: the daemon of an entry VM. */

#include <stdio.h>
#include <stdlib.h>

#include "anvil/settings.h"

int
main (int argc, char **argv)
{
  anvil_setting_t items[] = {
    { .name = "listen",
      .kind = ANVIL_SETTING_ENDPOINT,
      .help = "Address for callers",
      .required = TRUE },
  };
  anvil_settings_t settings
      = { .program = "anvil-entry", .items = items, .n_items = G_N_ELEMENTS (items) };
  anvil_settings_outcome_t outcome = anvil_settings_load (&settings, argc, (const char **) argv);

  anvil_settings_clear (&settings);
  return outcome == ANVIL_SETTINGS_BAD ? 2 : EXIT_SUCCESS;
}
