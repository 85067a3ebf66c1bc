#include "steer/quota-use.h"

static void
advance (quota_use_t *use, gint64 slot)
{
  for (gint64 i = MAX (use->slot + 1, slot - ANVIL_QUOTA_USE_SLOTS + 1); i <= slot; i++)
    use->counts[i % ANVIL_QUOTA_USE_SLOTS] = 0;
  use->slot = MAX (use->slot, slot);
}

void
quota_use_record (quota_use_t *use, anvil_time_t now, anvil_time_t window)
{
  anvil_time_t length = window / (ANVIL_QUOTA_USE_SLOTS - 1) + 1;

  if (use->slot_length != length)
    *use = (quota_use_t){ .slot_length = length, .slot = now / length };
  advance (use, now / length);
  use->counts[use->slot % ANVIL_QUOTA_USE_SLOTS]++;
}

void
quota_use_remove (quota_use_t *use)
{
  for (guint i = 0; i < ANVIL_QUOTA_USE_SLOTS && (gint64) i <= use->slot; i++)
    {
      guint32 *count = &use->counts[(use->slot - i) % ANVIL_QUOTA_USE_SLOTS];

      if (*count == 0)
        continue;
      (*count)--;
      return;
    }
}

guint
quota_use_sum (const quota_use_t *use, anvil_time_t now, anvil_time_t time)
{
  gint64 first;
  guint sum = 0;

  if (use->slot_length == 0)
    return 0;
  first = MAX ((now - time) / use->slot_length, use->slot - ANVIL_QUOTA_USE_SLOTS + 1);
  for (gint64 i = MAX (first, 0); i <= use->slot; i++)
    sum += use->counts[i % ANVIL_QUOTA_USE_SLOTS];
  return sum;
}

void
quota_use_merge (quota_use_t *to, quota_use_t *from)
{
  gint64 slot = MAX (to->slot, from->slot);

  if (from->slot_length == 0)
    return;
  if (to->slot_length != from->slot_length)
    *to = (quota_use_t){ .slot_length = from->slot_length };
  advance (to, slot);
  advance (from, slot);
  for (guint i = 0; i < ANVIL_QUOTA_USE_SLOTS; i++)
    to->counts[i] += from->counts[i];
  *from = (quota_use_t){ 0 };
}
