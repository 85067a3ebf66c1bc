/* Random histories of the store and of entries that read it, with drills, against an oracle.
 *
 * Entries read the whole table or its changes, receive updates from peers, restart, and get
 * responses late, of an earlier era, or without one, as relay-watch.c applies them. The oracle
 * knows every row that an entry was told and orders them by process and sequence. */

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "anvil/registry.h"
#include "relay/update-log.h"
#include "steer/evacuated-zones.h"
#include "steer/store-era.h"

#define N_SEEDS 80
#define N_STEPS 1500
#define STEP (100 * ANVIL_MS)
#define N_UPSTREAMS 6
#define N_ZONES 3
#define N_ENTRIES 4
#define N_ROWS (N_UPSTREAMS + N_ZONES)
/* Writers notice a loss and write again within this time, less than ANVIL_STORE_RETURN_TIME. */
#define REWRITE_TIME (4 * ANVIL_SECOND)
#define MAX_COPY_AGE 30
/* At the end: without faults, until nothing is deferred any more. */
#define QUIET_STEPS 250

/** row_t - a row; those of upstreams come before those of zones; @missing: it isn't in the table
 * that was read, instead of having been removed */
typedef struct
{
  gboolean exists;
  gboolean missing;
  gint64 born;
  guint64 sequence;
  gboolean draining;
  guint64 version;
} row_t;

/** table_t - the store at one time */
typedef struct
{
  guint64 era;
  guint64 version;
  row_t rows[N_ROWS];
} table_t;

/**
 * oracle_t - the newest that an entry was told of an upstream
 * @fresh: told since the return
 * @listed: its row was in the store since the return
 * @pending: its row is gone, which is no departure yet
 * @gone_at: when it is one; 0 if the time in which rows come back has to pass
 */
typedef struct
{
  gboolean known;
  row_t newest;
  gboolean fresh;
  gboolean listed;
  gboolean pending;
  anvil_time_t gone_at;
} oracle_t;

typedef struct
{
  store_era_t era;
  anvil_registry_t *registry;
  anvil_update_log_t *log;
  evacuated_zones_t *zones;
  gboolean has_read;
  gboolean needs_full_read;
  /* The rows of the copy were not all read since the return. */
  gboolean reading_copy;
  anvil_store_position_t zones_position;
  oracle_t oracle[N_UPSTREAMS];
  /* Zones that must be evacuated: known at the return, and not seen since. */
  gboolean zone_due[N_ZONES];
  /* A response that is under way. */
  gboolean late;
  table_t late_table;
} entry_t;

static GRand *random_source;
static anvil_time_t now;
static table_t store;
/* The last states, newest last: copies are made of them. */
static table_t past[MAX_COPY_AGE];
static guint n_past;
/* What the writers want the rows to be. */
static row_t wanted[N_ROWS];
static entry_t entries[N_ENTRIES];
static gboolean faults;
static anvil_time_t returned_at;

static guint
draw (guint n)
{
  return (guint) g_rand_int_range (random_source, 0, (gint32) n);
}

static char *
row_key (guint index)
{
  return g_strdup_printf ("%c%u", index < N_UPSTREAMS ? 'u' : 'z', index);
}

static void
on_changed (void *unused_context,
            anvil_time_t unused_now,
            const anvil_registered_upstream_t *unused_upstream,
            anvil_registry_change_t unused_change)
{
}

static void
on_zone_changed (void *unused_context, const char *unused_zone, gboolean unused_evacuated)
{
}

static void
start_entry (entry_t *entry)
{
  static const anvil_registry_callbacks_t callbacks = { .changed = on_changed };

  anvil_registry_drop (entry->registry);
  anvil_update_log_drop (entry->log);
  evacuated_zones_drop (entry->zones);
  *entry = (entry_t){ .registry = anvil_registry_new (&callbacks, NULL),
                      .log = anvil_update_log_new (),
                      .zones = evacuated_zones_new (on_zone_changed, NULL),
                      .needs_full_read = TRUE };
}

static gboolean
is_later (const row_t *a, const row_t *b)
{
  return a->born != b->born ? a->born > b->born : a->sequence > b->sequence;
}

static gboolean
is_returning (const entry_t *entry)
{
  return store_era_returning (&entry->era, now);
}

/* A row that may be lost is no departure. One that was in the store since the return isn't lost,
 * but its upstream gets a moment to write it again. */
static void
tell_oracle_of_removal (entry_t *entry, oracle_t *oracle, gboolean missing)
{
  const anvil_time_t settled_at = entry->era.risen_at + ANVIL_REGISTRY_REMOVAL_GRACE;

  oracle->listed |= !missing;
  if (!oracle->known)
    return;
  if (!is_returning (entry) || oracle->fresh || (oracle->listed && now >= settled_at))
    {
      oracle->newest.exists = FALSE;
      return;
    }
  oracle->pending = TRUE;
  if (oracle->listed)
    oracle->gone_at = settled_at;
}

/* The oracle's rules: the newest report counts, whatever arrives later; a row that is gone has
 * left, unless it may be lost; and only a later report brings it back then. */
static void
tell_oracle (entry_t *entry, guint index, const row_t *row)
{
  oracle_t *oracle = &entry->oracle[index];

  if (!row->exists)
    {
      tell_oracle_of_removal (entry, oracle, row->missing);
      return;
    }
  oracle->listed = TRUE;
  oracle->pending = FALSE;
  oracle->gone_at = 0;
  /* What the copy has of a process that has left is never newer than its removal. */
  if (oracle->known && !oracle->newest.exists && entry->reading_copy && is_returning (entry)
      && row->born == oracle->newest.born)
    {
      oracle->newest.sequence = MAX (oracle->newest.sequence, row->sequence);
      return;
    }
  if (!oracle->known || is_later (row, &oracle->newest)
      || (!oracle->newest.exists && !is_returning (entry)))
    {
      oracle->newest = *row;
      oracle->fresh = TRUE;
    }
  else if (oracle->newest.exists && row->born == oracle->newest.born
           && row->sequence == oracle->newest.sequence)
    oracle->fresh = TRUE;
  oracle->known = TRUE;
}

/* Applies a row as relay-watch.c does; TRUE if it changed the registry. */
static gboolean
apply_row (entry_t *entry, guint index, const row_t *row)
{
  char *key = row_key (index);
  const anvil_upstream_report_t report = { .id = anvil_str (key),
                                           .service = anvil_str ("photos"),
                                           .zone = anvil_str ("west-a"),
                                           .slots = 1,
                                           .draining = row->draining,
                                           .started_at = row->born,
                                           .sequence = row->sequence };
  gboolean changed;

  if (row->exists)
    changed = anvil_registry_apply (entry->registry, now, &report);
  else if (row->missing)
    changed = anvil_registry_row_missing (entry->registry, now, report.id);
  else
    changed = anvil_registry_remove (entry->registry, now, report.id);
  tell_oracle (entry, index, row);
  g_free (key);
  return changed;
}

static void
log_row (entry_t *entry, guint index, const row_t *row)
{
  char *key = row_key (index);
  char *value = g_strdup_printf ("%" G_GINT64_FORMAT " %" G_GUINT64_FORMAT " %d", row->born,
                                 row->sequence, row->draining);
  const anvil_store_row_t packed = { .key = anvil_str (key),
                                     .value = anvil_str (value),
                                     .removed = !row->exists,
                                     .missing = row->missing };

  anvil_update_log_add (entry->log, &packed);
  g_free (value);
  g_free (key);
}

static void
on_peer_row (void *context, const anvil_store_row_t *packed)
{
  row_t row = { .exists = !packed->removed, .missing = packed->missing };
  char *value = anvil_str_dup (packed->value);

  if (row.exists)
    ck_assert_int_eq (sscanf (value, "%" G_GINT64_FORMAT " %" G_GUINT64_FORMAT " %" G_GINT32_FORMAT,
                              &row.born, &row.sequence, &row.draining),
                      3);
  apply_row (context, (guint) (packed->key.data[1] - '0'), &row);
  g_free (value);
}

static void
log_missing (void *context, anvil_str_t id)
{
  const row_t row = { .missing = TRUE };

  log_row (context, (guint) (id.data[1] - '0'), &row);
  tell_oracle (context, (guint) (id.data[1] - '0'), &row);
}

static void
begin_era (entry_t *entry)
{
  anvil_registry_begin_era (entry->registry, now);
  evacuated_zones_begin_era (entry->zones, now);
  entry->needs_full_read = TRUE;
  entry->reading_copy = TRUE;
  for (guint i = 0; i < N_UPSTREAMS; i++)
    {
      entry->oracle[i].fresh = FALSE;
      entry->oracle[i].listed = FALSE;
      entry->oracle[i].gone_at = 0;
    }
  for (guint i = 0; i < N_ZONES; i++)
    {
      char *key = row_key (N_UPSTREAMS + i);

      entry->zone_due[i] = evacuated_zones_contain (entry->zones, key);
      g_free (key);
    }
}

static void
read_zones (entry_t *entry, const table_t *table)
{
  evacuated_zones_begin_list (entry->zones);
  for (guint i = 0; i < N_ZONES; i++)
    {
      char *key = row_key (N_UPSTREAMS + i);

      if (table->rows[N_UPSTREAMS + i].exists)
        {
          evacuated_zones_set_row (entry->zones, now, key, FALSE);
          entry->zone_due[i] = FALSE;
        }
      g_free (key);
    }
  evacuated_zones_end_list (entry->zones, now);
  evacuated_zones_settle (entry->zones, now);
}

static void
read_full (entry_t *entry, const table_t *table)
{
  const anvil_store_position_t position = { .era = table->era, .version = table->version };
  const anvil_store_position_t known = anvil_registry_version (entry->registry);

  anvil_registry_begin_snapshot (entry->registry);
  for (guint i = 0; i < N_UPSTREAMS; i++)
    {
      if (table->rows[i].exists && apply_row (entry, i, &table->rows[i]))
        log_row (entry, i, &table->rows[i]);
    }
  anvil_registry_foreach_missing (entry->registry, log_missing, entry);
  anvil_registry_end_snapshot (entry->registry, now);
  if (known.version > 0 && position.era > known.era
      && anvil_store_position_compare (anvil_update_log_version (entry->log), known) == 0)
    anvil_update_log_end_batch (entry->log, position);
  else
    anvil_update_log_reset (entry->log, position);
  entry->has_read = TRUE;
  entry->needs_full_read = FALSE;
  entry->reading_copy = FALSE;
}

static void
read_changes (entry_t *entry, const table_t *table)
{
  const guint64 known = anvil_registry_version (entry->registry).version;

  for (guint i = 0; i < N_UPSTREAMS; i++)
    {
      if (table->rows[i].version > known && apply_row (entry, i, &table->rows[i]))
        log_row (entry, i, &table->rows[i]);
    }
  anvil_update_log_end_batch (
      entry->log, (anvil_store_position_t){ .era = table->era, .version = table->version });
}

/* A response that bears an era, which may not be that of the table. */
static void
receive (entry_t *entry, const table_t *table, guint64 era)
{
  const anvil_store_position_t position = { .era = table->era, .version = table->version };
  const store_era_verdict_t verdict = store_era_hear (&entry->era, now, era);

  if (verdict == STORE_ERA_OUTDATED)
    return;
  if (verdict == STORE_ERA_RISEN)
    begin_era (entry);
  ck_assert_uint_ge (table->era, anvil_registry_version (entry->registry).era);
  if (anvil_store_position_later (anvil_registry_version (entry->registry), position))
    return;
  if (!entry->has_read || entry->needs_full_read
      || anvil_registry_version (entry->registry).era != table->era)
    read_full (entry, table);
  else
    read_changes (entry, table);
  read_zones (entry, table);
  entry->zones_position = position;
  anvil_registry_set_version (entry->registry, position);
}

static void
visit_zone (void *context, const char *zone)
{
  anvil_str_t **next = context;

  *(*next)++ = anvil_str (zone);
}

static void
hear_peer (entry_t *to, guint64 era)
{
  if (store_era_hear_from_peer (&to->era, now, era))
    begin_era (to);
}

/* The updates of a peer told all rows that the store has lost. */
static void
confirm_rows (entry_t *entry)
{
  anvil_registry_confirm_rows (entry->registry);
  entry->reading_copy = FALSE;
  for (guint i = 0; i < N_UPSTREAMS; i++)
    entry->oracle[i].listed |= !entry->oracle[i].pending;
}

static void
receive_from_peer (entry_t *to, entry_t *from)
{
  const anvil_store_position_t known = anvil_registry_version (to->registry);
  const anvil_store_position_t position = anvil_update_log_version (from->log);
  GByteArray *rows = g_byte_array_new ();
  anvil_str_t names[N_ZONES];
  anvil_str_t *next = names;

  hear_peer (to, from->era.era);
  if (to->has_read && from->has_read && position.era == to->era.era
      && !anvil_store_position_later (known, position)
      && anvil_update_log_since (from->log, known, rows))
    {
      ck_assert (anvil_updates_unpack ((anvil_str_t){ (const char *) rows->data, rows->len },
                                       on_peer_row, to));
      if (position.era > known.era)
        confirm_rows (to);
      anvil_registry_set_version (to->registry, position);
      anvil_update_log_reset (to->log, position);
      to->needs_full_read
          = anvil_registry_digest (to->registry) != anvil_registry_digest (from->registry);
      if (to->needs_full_read)
        {
          /* A call under way is abandoned. */
          to->late = FALSE;
          anvil_registry_set_version (to->registry, (anvil_store_position_t){ 0 });
        }
    }
  evacuated_zones_foreach (from->zones, visit_zone, &next);
  if (to->has_read && from->has_read
      && anvil_store_position_later (from->zones_position, to->zones_position))
    {
      evacuated_zones_set_from_peer (to->zones, now, names, (guint) (next - names));
      to->zones_position = from->zones_position;
    }
  g_byte_array_unref (rows);
}

static void
write_row (guint index)
{
  store.version++;
  store.rows[index] = wanted[index];
  store.rows[index].version = store.version;
}

static void
change_row (guint index)
{
  row_t *row = &wanted[index];

  if (index >= N_UPSTREAMS)
    row->exists = !row->exists;
  else if (!row->exists)
    *row = (row_t){ .exists = TRUE, .born = now, .sequence = 1 };
  else if (row->draining && draw (3) > 0)
    row->exists = FALSE;
  else
    {
      row->draining = draw (4) == 0;
      row->sequence++;
    }
  write_row (index);
}

/* Writers write again what the store has lost. */
static void
rewrite_rows (void)
{
  for (guint i = 0; i < N_ROWS; i++)
    {
      const gboolean differs
          = store.rows[i].exists != wanted[i].exists || is_later (&wanted[i], &store.rows[i]);

      if (!differs || (now - returned_at < REWRITE_TIME && draw (20) > 0))
        continue;
      if (i < N_UPSTREAMS && wanted[i].exists)
        wanted[i].sequence++;
      write_row (i);
    }
}

static void
start_drill (void)
{
  const table_t *copy = &past[draw (n_past)];
  const guint64 era = store.era + 1 + (draw (5) == 0 ? 3 : 0);

  store = *copy;
  store.era = era;
  n_past = 0;
  returned_at = now;
}

static void
remember (void)
{
  if (n_past == MAX_COPY_AGE)
    memmove (past, past + 1, sizeof past[0] * --n_past);
  past[n_past++] = store;
}

static void
step_entry (entry_t *entry)
{
  const guint64 odd_era = draw (2) == 0 ? 0 : store.era - 1;

  if (faults && draw (200) == 0)
    start_entry (entry);
  if (faults && !entry->late && draw (10) == 0)
    {
      entry->late = TRUE;
      entry->late_table = store;
    }
  else if (entry->late && draw (8) == 0)
    {
      entry->late = FALSE;
      receive (entry, &entry->late_table, entry->late_table.era);
    }
  else if (faults && entry->era.known && draw (15) == 0)
    {
      /* Not the store's: its rows would undo what is known. */
      const table_t odd = { .era = odd_era, .version = store.version + 1000 };

      if (store.era == entry->era.era)
        receive (entry, &odd, odd_era);
    }
  else if (draw (3) == 0)
    receive_from_peer (entry, &entries[draw (N_ENTRIES)]);
  else if (draw (4) > 0)
    receive (entry, &store, store.era);
  anvil_registry_tick (entry->registry, now);
}

static void
check_upstream (entry_t *entry, guint index)
{
  char *key = row_key (index);
  oracle_t *oracle = &entry->oracle[index];
  const anvil_registered_upstream_t *upstream
      = anvil_registry_lookup (entry->registry, anvil_str_hash (anvil_str (key)));

  g_free (key);
  if (oracle->gone_at > 0 && now >= oracle->gone_at)
    {
      oracle->newest.exists = FALSE;
      oracle->pending = FALSE;
      oracle->gone_at = 0;
    }
  if (upstream != NULL)
    {
      ck_assert_msg (oracle->newest.exists, "u%u has left and is used", index);
      ck_assert (oracle->known);
      ck_assert_int_eq (upstream->started_at, oracle->newest.born);
      ck_assert_uint_eq (upstream->sequence, oracle->newest.sequence);
      ck_assert_int_eq (upstream->draining, oracle->newest.draining);
    }
  else if (oracle->known && is_returning (entry))
    ck_assert_msg (!oracle->newest.exists, "u%u is gone while rows come back", index);
  else
    /* It was missing when the time for that was over. */
    oracle->newest.exists = FALSE;
}

static void
check_entry (entry_t *entry)
{
  for (guint i = 0; i < N_UPSTREAMS; i++)
    check_upstream (entry, i);
  for (guint i = 0; i < N_ZONES; i++)
    {
      char *key = row_key (N_UPSTREAMS + i);

      if (entry->zone_due[i] && is_returning (entry))
        ck_assert_msg (evacuated_zones_contain (entry->zones, key), "the evacuation is undone");
      g_free (key);
    }
}

/* After the time in which rows come back, everybody knows what the store has. */
static void
check_settled (const entry_t *entry)
{
  for (guint i = 0; i < N_ROWS; i++)
    {
      char *key = row_key (i);
      const anvil_registered_upstream_t *upstream
          = anvil_registry_lookup (entry->registry, anvil_str_hash (anvil_str (key)));

      if (i >= N_UPSTREAMS)
        ck_assert_int_eq (evacuated_zones_contain (entry->zones, key), store.rows[i].exists);
      else
        {
          ck_assert_int_eq (upstream != NULL, store.rows[i].exists);
          if (upstream != NULL)
            ck_assert_int_eq (upstream->draining, store.rows[i].draining);
        }
      g_free (key);
    }
}

static void
step (void)
{
  now += STEP;
  if (faults && draw (4) == 0)
    change_row (draw (N_ROWS));
  rewrite_rows ();
  remember ();
  if (faults && draw (120) == 0)
    start_drill ();
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      step_entry (&entries[i]);
      check_entry (&entries[i]);
    }
}

START_TEST (test_histories_with_drills_keep_to_the_oracle)
{
  random_source = g_rand_new_with_seed ((guint32) _i + 1);
  now = 1000 * ANVIL_SECOND;
  faults = TRUE;
  store = (table_t){ .era = 2, .version = 1 };
  n_past = 0;
  memset (wanted, 0, sizeof wanted);
  for (guint i = 0; i < N_ENTRIES; i++)
    start_entry (&entries[i]);
  for (guint i = 0; i < N_STEPS; i++)
    step ();
  faults = FALSE;
  for (guint i = 0; i < QUIET_STEPS; i++)
    step ();
  for (guint i = 0; i < N_ENTRIES; i++)
    check_settled (&entries[i]);
  g_rand_free (random_source);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("drill-model");
  TCase *tests = tcase_create ("drill-model");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, test_histories_with_drills_keep_to_the_oracle, 0, N_SEEDS);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
