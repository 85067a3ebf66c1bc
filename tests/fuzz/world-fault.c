#include "world-fault.h"

#include <stddef.h>

#define FAULT(field, oracle, directed)                                                             \
  {                                                                                                \
#field, oracle, offsetof(anvil_steer_faults_t, field), directed                                \
  }

const world_fault_t world_faults[] = {
  FAULT (ignore_term, "seat", FALSE),
  FAULT (ignore_wait_out, "seat", TRUE),
  FAULT (ignore_busy_after_takeover, "slots", FALSE),
  FAULT (ignore_loan_term, "slot", FALSE),
  FAULT (ignore_lent_slots, "slots", FALSE),
  FAULT (ignore_old_generation, "stale", FALSE),
  FAULT (count_from_answer, "seat", FALSE),
  FAULT (ignore_drain, "drain", FALSE),
  FAULT (ignore_link_budget, "link", FALSE),
  FAULT (ignore_shift_cap, "shift", FALSE),
  FAULT (retry_after_unknown, "once", FALSE),
  { NULL, NULL, 0, FALSE },
};

gboolean
world_fault_set (anvil_steer_faults_t *faults, const char *name)
{
  for (guint i = 0; world_faults[i].name != NULL; i++)
    if (g_str_equal (world_faults[i].name, name))
      {
        *(gboolean *) ((char *) faults + world_faults[i].offset) = TRUE;
        return TRUE;
      }
  return FALSE;
}
