#include "oracle-internal.h"

typedef struct
{
  guint64 attempt;
  guint entry;
  guint slot;
  anvil_time_t deadline;
} active_attempt_t;

struct oracle_slots
{
  const anvil_config_t *config;
  GArray **active;
};

oracle_slots_t *
oracle_slots_new (const anvil_config_t *config)
{
  oracle_slots_t *slots = g_new0 (oracle_slots_t, 1);

  slots->config = config;
  slots->active = g_new0 (GArray *, config->n_upstreams);
  for (guint i = 0; i < config->n_upstreams; i++)
    slots->active[i] = g_array_new (FALSE, FALSE, sizeof (active_attempt_t));
  return slots;
}

void
oracle_slots_drop (oracle_slots_t *slots)
{
  for (guint i = 0; i < slots->config->n_upstreams; i++)
    g_array_free (slots->active[i], TRUE);
  g_free (slots->active);
  g_free (slots);
}

static void
remove_finished (GArray *active, anvil_time_t now, guint64 attempt)
{
  for (guint i = active->len; i > 0; i--)
    {
      const active_attempt_t *item = &g_array_index (active, active_attempt_t, i - 1);

      if (item->deadline <= now || item->attempt == attempt)
        g_array_remove_index_fast (active, i - 1);
    }
}

static void
check_dispatch (const oracle_slots_t *slots, oracle_failure_t *failure, const fake_record_t *record)
{
  const GArray *active = slots->active[record->upstream];
  guint limit = slots->config->upstreams[record->upstream].slots;

  if (active->len >= limit)
    oracle_fail (failure, "slots", "entry %u runs %u at upstream %u of %u slots", record->entry,
                 active->len + 1, record->upstream, limit);
  for (guint i = 0; i < active->len; i++)
    if (g_array_index (active, active_attempt_t, i).slot == record->slot)
      oracle_fail (failure, "slot", "entries %u and %u use slot %u of upstream %u", record->entry,
                   g_array_index (active, active_attempt_t, i).entry, record->slot,
                   record->upstream);
}

void
oracle_slots_record (oracle_slots_t *slots, oracle_failure_t *failure, const fake_record_t *record)
{
  active_attempt_t item = { .attempt = record->attempt,
                            .entry = record->entry,
                            .slot = record->slot,
                            .deadline = record->deadline };

  if (record->kind == FAKE_WORK_ENDED)
    remove_finished (slots->active[record->upstream], record->at, record->attempt);
  if (record->kind != FAKE_DISPATCHED)
    return;
  remove_finished (slots->active[record->upstream], record->at, 0);
  check_dispatch (slots, failure, record);
  g_array_append_val (slots->active[record->upstream], item);
}
