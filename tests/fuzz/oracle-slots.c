#include "oracle-internal.h"

typedef struct
{
  guint64 attempt;
  guint entry;
  guint slot;
  anvil_time_t until;
} work_t;

struct oracle_slots
{
  const anvil_config_t *config;
  GArray **work;
};

oracle_slots_t *
oracle_slots_new (const anvil_config_t *config)
{
  oracle_slots_t *slots = g_new0 (oracle_slots_t, 1);

  slots->config = config;
  slots->work = g_new0 (GArray *, config->n_upstreams);
  for (guint i = 0; i < config->n_upstreams; i++)
    slots->work[i] = g_array_new (FALSE, FALSE, sizeof (work_t));
  return slots;
}

void
oracle_slots_drop (oracle_slots_t *slots)
{
  for (guint i = 0; i < slots->config->n_upstreams; i++)
    g_array_free (slots->work[i], TRUE);
  g_free (slots->work);
  g_free (slots);
}

static void
remove_ended (GArray *work, anvil_time_t now, guint64 attempt)
{
  for (guint i = work->len; i > 0; i--)
    {
      const work_t *item = &g_array_index (work, work_t, i - 1);

      if (item->until <= now || item->attempt == attempt)
        g_array_remove_index_fast (work, i - 1);
    }
}

static void
check_dispatch (const oracle_slots_t *slots, oracle_failure_t *verdict, const fake_record_t *record)
{
  const GArray *work = slots->work[record->upstream];
  guint limit = slots->config->upstreams[record->upstream].slots;

  if (work->len >= limit)
    oracle_fail (verdict, "slots", "entry %u runs %u at upstream %u of %u slots", record->entry,
                 work->len + 1, record->upstream, limit);
  for (guint i = 0; i < work->len; i++)
    if (g_array_index (work, work_t, i).slot == record->slot)
      oracle_fail (verdict, "slot", "entries %u and %u use slot %u of upstream %u", record->entry,
                   g_array_index (work, work_t, i).entry, record->slot, record->upstream);
}

void
oracle_slots_record (oracle_slots_t *slots, oracle_failure_t *verdict, const fake_record_t *record)
{
  work_t item = { .attempt = record->attempt,
                  .entry = record->entry,
                  .slot = record->slot,
                  .until = record->deadline };

  if (record->kind == FAKE_WORK_ENDED)
    remove_ended (slots->work[record->upstream], record->at, record->attempt);
  if (record->kind != FAKE_DISPATCHED)
    return;
  remove_ended (slots->work[record->upstream], record->at, 0);
  check_dispatch (slots, verdict, record);
  g_array_append_val (slots->work[record->upstream], item);
}
