#include "anvil/config.h"

guint
anvil_config_diff (const anvil_config_t *before, const anvil_config_t *after, GString *out)
{
  return 0;
}
