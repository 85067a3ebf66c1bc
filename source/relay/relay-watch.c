#include "relay/relay-watch.h"

#include <string.h>

#include "anvil/log.h"
#include "relay/config-in-force.h"
#include "relay/table-follower.h"
#include "steer/config-proof.h"
#include "steer/evacuated-zones.h"
#include "steer/read-span.h"

/* Changes of upstreams are polled: every heartbeat changes a row, so a long poll would be answered
 * at once. A drain must be known within the 2.5 s of the platform's contract even if one call is
 * lost. */
#define UPSTREAM_PERIOD (1000 * ANVIL_MS)
/* An entry whose read isn't complete by then counts as cut off from the store before what it knows
 * becomes unusable. */
#define UPSTREAM_MAX_AGE (ANVIL_RELAY_MAX_REGISTRY_AGE - 100 * ANVIL_MS)
/* How long the store may hold a call for changes of the operators' table, which are rare. */
#define MIN_OPERATOR_HOLD_TIME (200 * ANVIL_MS)
#define MAX_OPERATOR_HOLD_TIME (4 * ANVIL_SECOND)
/* A peer that has read the operators' table within this time still follows it: the longest time
 * for which the store holds a call, and the time-out of a lost one. */
#define MAX_OPERATORS_AGE (MAX_OPERATOR_HOLD_TIME + ANVIL_STORE_CALL_TIMEOUT)
/* Pause between calls that the store doesn't hold. */
#define OPERATOR_PERIOD (1 * ANVIL_SECOND)

struct anvil_relay_watch
{
  anvil_store_t *store;
  store_era_t era;
  const anvil_adapter_t *adapter;
  anvil_registry_t *registry;
  anvil_relay_watch_callbacks_t callbacks;
  void *context;
  anvil_table_follower_t *operator_follower;
  anvil_table_follower_t *upstream_follower;
  anvil_update_log_t *update_log;
  /* Reads of upstreams by this entry and by those that it received them from. */
  anvil_read_span_t reads;
  /* When a read of upstreams failed; 0 if the last one succeeded. */
  anvil_time_t store_lost_at;
  /* A read of the whole table has just finished. */
  gboolean full_read;
  /* Upstreams are received from a peer, not read from the store. */
  gboolean from_peer;
  /* When the peer read them, on this entry's clock. */
  anvil_time_t peer_read_at;
  anvil_config_in_force_t *config;
  /* A configuration was put in force by the response being reported. */
  gboolean config_read;
  anvil_operators_poll_t operators_poll;
  /* When a peer last told that it has read the operators' table lately. */
  anvil_time_t operators_told_at;
  anvil_time_t resync_time;
  anvil_time_t revoke_time;
  /* That the configuration in force is the newest. */
  anvil_config_proof_t proof;
  /* Newest version of the configuration that a peer named; 0 for none. */
  gint64 heard_config_version;
  anvil_time_t opened_at;
  /* Version of the store up to which the evacuated zones are known, from the store or a peer. */
  anvil_store_position_t operators_version;
  evacuated_zones_t *evacuated_zones;
};

static void
on_config_changed (void *context, anvil_routes_t *routes)
{
  anvil_relay_watch_t *watch = context;

  watch->callbacks.routes (watch->context, routes);
}

static void
apply_config_row (anvil_relay_watch_t *watch, const anvil_store_row_t *row)
{
  const anvil_table_follower_last_response_t response
      = anvil_table_follower_last_response (watch->operator_follower);

  if (anvil_config_in_force_apply_row (watch->config, row, &response))
    watch->config_read = TRUE;
}

static void
on_evacuation_changed (void *context, const char *zone, gboolean evacuated)
{
  anvil_relay_watch_t *watch = context;

  anvil_log (ANVIL_LOG_NOTICE, "config", "%s zone=%s",
             evacuated ? "zone is evacuated" : "zone is back in use", zone);
  /* Once its evacuation ends, the upstreams of a zone may be cold for this long. */
  anvil_registry_set_evacuated (watch->registry, anvil_clock_now (), anvil_str (zone), evacuated,
                                anvil_config_in_force_max_cold_time (watch->config));
}

/* Whether a peer has told of a newer state of the operators' table than the one being read. */
static gboolean
knows_newer_from_peer (const anvil_relay_watch_t *watch)
{
  return anvil_store_position_later (watch->operators_version,
                                     anvil_table_follower_version (watch->operator_follower));
}

static void
on_operator_row (void *context, const anvil_store_row_t *row)
{
  anvil_relay_watch_t *watch = context;
  const char *prefix = watch->adapter->evacuation_prefix;
  char *key = anvil_str_dup (row->key);

  if (strcmp (key, watch->adapter->config_key) == 0)
    apply_config_row (watch, row);
  else if (g_str_has_prefix (key, prefix) && !knows_newer_from_peer (watch))
    evacuated_zones_set_row (watch->evacuated_zones, anvil_clock_now (), key + strlen (prefix),
                             row->removed);
  g_free (key);
}

static void
on_operator_full_read_started (void *context)
{
  anvil_relay_watch_t *watch = context;

  evacuated_zones_begin_list (watch->evacuated_zones);
}

static void
on_operator_full_read_finished (void *context)
{
  anvil_relay_watch_t *watch = context;

  if (!knows_newer_from_peer (watch))
    evacuated_zones_end_list (watch->evacuated_zones, anvil_clock_now ());
}

/* Takes over the evacuated zones that a peer knows, if it has read them later. */
static void
apply_peer_evacuations (anvil_relay_watch_t *watch, const anvil_relay_message_t *message)
{
  if (!anvil_store_position_later (message->operators_version, watch->operators_version))
    return;
  watch->operators_version = message->operators_version;
  evacuated_zones_set_from_peer (watch->evacuated_zones, anvil_clock_now (), message->evacuated,
                                 message->n_evacuated);
}

/* Logs a removal that has not taken effect, since the row may come back. */
static void
log_deferred (const anvil_relay_watch_t *watch, anvil_time_t now, const anvil_store_row_t *row)
{
  const anvil_registered_upstream_t *upstream
      = anvil_registry_lookup (watch->registry, anvil_str_hash (row->key));

  if (upstream != NULL)
    anvil_log (ANVIL_LOG_INFO, "registry",
               "removal of an upstream is deferred upstream=%s row=%s from=%s "
               "for_ms=%" G_GINT64_FORMAT,
               upstream->id, row->missing ? "missing" : "removed",
               watch->from_peer ? "peer" : "store", (upstream->removal_at - now) / ANVIL_MS);
}

static gboolean
remove_upstream (anvil_relay_watch_t *watch, anvil_time_t now, const anvil_store_row_t *row)
{
  if (!(row->missing ? anvil_registry_row_missing (watch->registry, now, row->key)
                     : anvil_registry_remove (watch->registry, now, row->key)))
    return FALSE;
  log_deferred (watch, now, row);
  return TRUE;
}

/* Applies a row; returns TRUE if that changed the registry. */
static gboolean
apply_upstream (anvil_relay_watch_t *watch, const anvil_store_row_t *row)
{
  anvil_time_t now = anvil_clock_now ();
  anvil_upstream_report_t report;
  gpointer storage = NULL;
  GError *error = NULL;
  gboolean changed;

  if (row->removed)
    return remove_upstream (watch, now, row);
  if (watch->adapter->parse_upstream (row->key, row->value, &report, &storage, &error))
    {
      changed = anvil_registry_apply (watch->registry, now, &report);
      g_free (storage);
      return changed;
    }
  anvil_log (ANVIL_LOG_INFO, "registry", "row is not a valid upstream key=%.*s reason=\"%s\"",
             ANVIL_STR_ARGS (row->key), error->message);
  g_error_free (error);
  return anvil_registry_remove (watch->registry, now, row->key);
}

static void
on_upstream_row (void *context, const anvil_store_row_t *row)
{
  anvil_relay_watch_t *watch = context;

  if (apply_upstream (watch, row))
    anvil_update_log_add (watch->update_log, row);
}

static void
on_peer_row (void *context, const anvil_store_row_t *row)
{
  apply_upstream (context, row);
}

static void
on_upstream_full_read_started (void *context)
{
  anvil_relay_watch_t *watch = context;

  anvil_registry_begin_snapshot (watch->registry);
}

static void
log_removal (void *context, anvil_str_t id)
{
  anvil_relay_watch_t *watch = context;
  const anvil_store_row_t row = { .key = id, .removed = TRUE, .missing = TRUE };

  anvil_update_log_add (watch->update_log, &row);
}

static void
on_upstream_full_read_finished (void *context)
{
  anvil_relay_watch_t *watch = context;

  /* For peers that continue from the past era; see relay/update-log.h. */
  anvil_registry_foreach_missing (watch->registry, log_removal, watch);
  anvil_registry_end_snapshot (watch->registry, anvil_clock_now ());
  watch->full_read = TRUE;
}

/* Whether the read that has just finished tells what the change of the era changed: it is the first
 * one of its era, and the log is complete up to what was known before. */
static gboolean
leads_to_new_era (const anvil_relay_watch_t *watch, anvil_store_position_t version)
{
  const anvil_store_position_t known = anvil_registry_version (watch->registry);

  return known.version > 0 && version.era > known.era
         && anvil_store_position_compare (anvil_update_log_version (watch->update_log), known) == 0;
}

static void
on_upstream_read_up_to (void *context, anvil_store_position_t version)
{
  anvil_relay_watch_t *watch = context;
  anvil_time_t read_at = anvil_table_follower_read_at (watch->upstream_follower);

  /* A full read doesn't list the rows that were removed since the last one. */
  if (watch->full_read && !leads_to_new_era (watch, version))
    anvil_update_log_reset (watch->update_log, version);
  else
    anvil_update_log_end_batch (watch->update_log, version);
  watch->full_read = FALSE;
  watch->store_lost_at = 0;
  anvil_registry_set_version (watch->registry, version);
  anvil_read_span_add (&watch->reads, read_at, read_at);
  watch->callbacks.upstreams_read (watch->context);
}

/* Whether a configuration exists that is newer than the one in force. A read that doesn't find it
 * proves nothing: the store has come back from a copy that lacks it. */
static gboolean
lacks_known_config (const anvil_relay_watch_t *watch)
{
  return watch->heard_config_version > anvil_relay_watch_config_version (watch);
}

static void
on_operator_read_up_to (void *context, anvil_store_position_t version)
{
  anvil_relay_watch_t *watch = context;

  watch->config_read
      |= watch->operators_version.version > 0 && version.era > watch->operators_version.era;
  watch->operators_version = anvil_store_position_latest (watch->operators_version, version);
  evacuated_zones_settle (watch->evacuated_zones, anvil_clock_now ());
  if (anvil_config_in_force_exists (watch->config) && !lacks_known_config (watch))
    anvil_config_proof_add_read (&watch->proof,
                                 anvil_table_follower_current_at (watch->operator_follower));
  if (watch->config_read)
    watch->callbacks.config_read (watch->context);
  watch->config_read = FALSE;
}

static void
on_upstream_store_lost (void *context)
{
  anvil_relay_watch_t *watch = context;

  watch->store_lost_at = anvil_clock_now ();
  anvil_registry_store_lost (watch->registry,
                             anvil_table_follower_read_at (watch->upstream_follower));
}

static void
on_upstream_store_recovered (void *context)
{
  anvil_relay_watch_t *watch = context;

  /* A long poll that the store accepted during the outage may not be answered for seconds. */
  if (anvil_registry_store_recovered (watch->registry, anvil_clock_now ()))
    anvil_table_follower_read_now (watch->operator_follower);
}

/* Configuration and evacuations stay in force while the store doesn't answer. */
static void
on_operator_store_change (void *context)
{
}

/* The store has come back from an older copy: what was read is of the past era. The region's reader
 * reads again at once and tells the others, which wait for it for a moment. */
static void
begin_era (anvil_relay_watch_t *watch, anvil_time_t now, const char *from)
{
  const guint64 era = watch->era.era;
  const anvil_store_position_t known = anvil_registry_version (watch->registry);
  const gboolean is_reader = watch->operators_poll == ANVIL_OPERATORS_HELD;

  anvil_log (ANVIL_LOG_NOTICE, "store",
             "store has come back from an older copy era=%" G_GUINT64_FORMAT
             " version=" ANVIL_STORE_POSITION_FORMAT " from=%s",
             era, ANVIL_STORE_POSITION_ARGS (known), from);
  anvil_registry_begin_era (watch->registry, now);
  evacuated_zones_begin_era (watch->evacuated_zones, now);
  watch->reads = (anvil_read_span_t){ 0 };
  anvil_table_follower_begin_era (watch->operator_follower, era,
                                  is_reader ? 0 : anvil_table_follower_random_pause ());
  anvil_table_follower_begin_era (watch->upstream_follower, era,
                                  is_reader ? 0 : anvil_table_follower_random_pause ());
  watch->callbacks.era_risen (watch->context);
}

static gboolean
on_response_era (void *context, guint64 era)
{
  anvil_relay_watch_t *watch = context;
  anvil_time_t now = anvil_clock_now ();

  switch (store_era_hear (&watch->era, now, era))
    {
    case STORE_ERA_PRESENT:
      return TRUE;
    case STORE_ERA_RISEN:
      begin_era (watch, now, "store");
      return TRUE;
    case STORE_ERA_OUTDATED:
      if (store_era_may_report (&watch->era, now))
        anvil_log (ANVIL_LOG_WARNING, "store",
                   "response of an earlier era ignored era=%" G_GUINT64_FORMAT
                   " present=%" G_GUINT64_FORMAT,
                   era, watch->era.era);
      return FALSE;
    }
  return FALSE;
}

void
anvil_relay_watch_hear_era (anvil_relay_watch_t *watch, guint64 era, const char *from)
{
  anvil_time_t now = anvil_clock_now ();

  if (store_era_hear_from_peer (&watch->era, now, era))
    begin_era (watch, now, from);
}

const store_era_t *
anvil_relay_watch_era (const anvil_relay_watch_t *watch)
{
  return &watch->era;
}

anvil_store_position_t
anvil_relay_watch_operators_version (const anvil_relay_watch_t *watch)
{
  return watch->operators_version;
}

static const anvil_table_callbacks_t operator_callbacks = {
  .full_read_started = on_operator_full_read_started,
  .row = on_operator_row,
  .full_read_finished = on_operator_full_read_finished,
  .store_lost = on_operator_store_change,
  .store_recovered = on_operator_store_change,
  .read_up_to = on_operator_read_up_to,
};

static const anvil_table_callbacks_t upstream_callbacks = {
  .full_read_started = on_upstream_full_read_started,
  .row = on_upstream_row,
  .full_read_finished = on_upstream_full_read_finished,
  .store_lost = on_upstream_store_lost,
  .store_recovered = on_upstream_store_recovered,
  .read_up_to = on_upstream_read_up_to,
};

/* A call that the store took at the end of an outage may be lost, which shows only once it has
 * timed out. One more call must fit into @resync_time. */
static anvil_time_t
operator_hold_time (anvil_time_t resync_time)
{
  return CLAMP (resync_time - 2 * ANVIL_STORE_CALL_TIMEOUT, MIN_OPERATOR_HOLD_TIME,
                MAX_OPERATOR_HOLD_TIME);
}

static void
update_hold_time (anvil_relay_watch_t *watch)
{
  anvil_time_t hold_time = operator_hold_time (watch->resync_time);

  if (watch->revoke_time > 0)
    hold_time = MIN (hold_time, anvil_config_proof_max_hold_time (watch->revoke_time));
  anvil_table_follower_set_hold_time (
      watch->operator_follower, watch->operators_poll == ANVIL_OPERATORS_HELD ? hold_time : 0);
}

void
anvil_relay_watch_set_resync_time (anvil_relay_watch_t *watch, anvil_time_t resync_time)
{
  watch->resync_time = resync_time;
  update_hold_time (watch);
}

void
anvil_relay_watch_set_revoke_time (anvil_relay_watch_t *watch, anvil_time_t revoke_time)
{
  watch->revoke_time = revoke_time;
  update_hold_time (watch);
}

void
anvil_relay_watch_hear_proof (anvil_relay_watch_t *watch,
                              gint64 peer_version,
                              anvil_time_t pinged_at,
                              anvil_time_t peer_age)
{
  if (!lacks_known_config (watch))
    anvil_config_proof_add_pong (&watch->proof, anvil_relay_watch_config_version (watch),
                                 peer_version, pinged_at, peer_age);
}

/* Whether the store may have lost a configuration that it had when it was read. An entry that has
 * just started doesn't know how long ago the store came back. */
static gboolean
may_lack_config (const anvil_relay_watch_t *watch, anvil_time_t now)
{
  return store_era_returning (&watch->era, now)
         || (watch->era.era > 0 && now - watch->opened_at < ANVIL_STORE_RETURN_TIME);
}

void
anvil_relay_watch_hear_config_version (anvil_relay_watch_t *watch, gint64 version)
{
  if (version <= watch->heard_config_version)
    return;
  watch->heard_config_version = version;
  if (lacks_known_config (watch) && may_lack_config (watch, anvil_clock_now ()))
    watch->proof = (anvil_config_proof_t){ 0 };
}

anvil_time_t
anvil_relay_watch_config_proof_age (const anvil_relay_watch_t *watch, anvil_time_t now)
{
  return anvil_config_proof_age (&watch->proof, now);
}

void
anvil_relay_watch_poll_operators (anvil_relay_watch_t *watch, anvil_operators_poll_t poll)
{
  if (poll == watch->operators_poll)
    return;
  watch->operators_poll = poll;
  update_hold_time (watch);
  anvil_table_follower_set_on_demand (watch->operator_follower, poll == ANVIL_OPERATORS_TOLD);
  /* Until now changes were told by a peer. */
  if (poll == ANVIL_OPERATORS_HELD)
    anvil_table_follower_read_now (watch->operator_follower);
}

anvil_time_t
anvil_relay_watch_operators_told_at (const anvil_relay_watch_t *watch)
{
  return watch->operators_told_at;
}

gboolean
anvil_relay_watch_operators_lost (const anvil_relay_watch_t *watch)
{
  return anvil_table_follower_store_lost (watch->operator_follower);
}

void
anvil_relay_watch_read_operators (anvil_relay_watch_t *watch)
{
  anvil_table_follower_read_now (watch->operator_follower);
}

anvil_relay_watch_t *
anvil_relay_watch_open (struct event_base *base,
                        anvil_store_t *store,
                        const anvil_adapter_t *adapter,
                        anvil_registry_t *registry,
                        anvil_time_t resync_time,
                        const anvil_relay_watch_callbacks_t *callbacks,
                        void *context)
{
  anvil_relay_watch_t *watch = g_new0 (anvil_relay_watch_t, 1);

  watch->opened_at = anvil_clock_now ();
  watch->adapter = adapter;
  watch->registry = registry;
  watch->callbacks = *callbacks;
  watch->context = context;
  watch->store = store;
  watch->evacuated_zones = evacuated_zones_new (on_evacuation_changed, watch);
  watch->update_log = anvil_update_log_new ();
  watch->config = anvil_config_in_force_new (adapter, on_config_changed, watch);
  watch->operators_poll = ANVIL_OPERATORS_HELD;
  watch->resync_time = resync_time;
  watch->operator_follower = anvil_table_follower_open (
      base, store, adapter->operator_table, operator_hold_time (resync_time), OPERATOR_PERIOD,
      &operator_callbacks, watch);
  watch->upstream_follower = anvil_table_follower_open (
      base, store, adapter->upstream_table, 0, UPSTREAM_PERIOD, &upstream_callbacks, watch);
  anvil_table_follower_set_max_age (watch->upstream_follower, UPSTREAM_MAX_AGE);
  anvil_store_set_judge (store, on_response_era, watch);
  return watch;
}

void
anvil_relay_watch_close (anvil_relay_watch_t *watch)
{
  if (watch == NULL)
    return;
  anvil_table_follower_close (watch->operator_follower);
  anvil_table_follower_close (watch->upstream_follower);
  anvil_store_set_judge (watch->store, NULL, NULL);
  evacuated_zones_drop (watch->evacuated_zones);
  anvil_update_log_drop (watch->update_log);
  anvil_config_in_force_drop (watch->config);
  g_free (watch);
}

gboolean
anvil_relay_watch_ready (const anvil_relay_watch_t *watch)
{
  return anvil_config_in_force_exists (watch->config)
         && anvil_table_follower_ready (watch->upstream_follower);
}

void
anvil_relay_watch_follow_upstreams (anvil_relay_watch_t *watch, gboolean follow)
{
  const anvil_store_position_t version = anvil_registry_version (watch->registry);

  watch->from_peer = !follow;
  if (follow)
    {
      /* Updates received from a peer aren't in the log, so they can't be sent on. */
      anvil_update_log_reset (watch->update_log, version);
      anvil_table_follower_resume (watch->upstream_follower, version);
    }
  else
    anvil_table_follower_pause (watch->upstream_follower);
}

anvil_store_position_t
anvil_relay_watch_upstream_version (const anvil_relay_watch_t *watch)
{
  return anvil_registry_version (watch->registry);
}

gboolean
anvil_relay_watch_store_lost (const anvil_relay_watch_t *watch)
{
  if (!watch->from_peer && anvil_table_follower_store_lost (watch->upstream_follower))
    return TRUE;
  /* While upstreams come from a peer, and until their first read after that, only the operators'
   * table shows whether the store answers. */
  return watch->store_lost_at > 0
         && anvil_table_follower_read_at (watch->operator_follower) <= watch->store_lost_at;
}

const anvil_update_log_t *
anvil_relay_watch_update_log (const anvil_relay_watch_t *watch)
{
  return watch->update_log;
}

gboolean
anvil_relay_watch_apply_updates (anvil_relay_watch_t *watch,
                                 const anvil_relay_message_t *message,
                                 anvil_time_t read_at)
{
  const anvil_store_position_t version = { .era = message->era, .version = message->number };
  const guint64 known_era = anvil_registry_version (watch->registry).era;
  anvil_time_t now = anvil_clock_now ();

  anvil_relay_watch_hear_era (watch, MAX (message->era, message->operators_version.era), "updates");
  if (message->era < watch->era.era
      || anvil_store_position_later (anvil_registry_version (watch->registry), version))
    return FALSE;
  /* The peer reaches the store, so its updates are as good as a read of the store. */
  if (anvil_registry_store_recovered (watch->registry, now))
    anvil_table_follower_read_now (watch->operator_follower);
  anvil_registry_extend_grace (watch->registry, now + message->grace_remaining);
  apply_peer_evacuations (watch, message);
  if (message->operators_version.version > 0 && message->operators_age <= MAX_OPERATORS_AGE)
    watch->operators_told_at = now;
  if (!anvil_updates_unpack (message->rows, on_peer_row, watch))
    {
      anvil_log (ANVIL_LOG_WARNING, "feed", "malformed updates from a peer bytes=%zu",
                 message->rows.length);
      return FALSE;
    }
  /* They name every row that the store has lost. */
  if (version.era > known_era)
    anvil_registry_confirm_rows (watch->registry);
  anvil_registry_set_version (watch->registry, version);
  watch->peer_read_at = read_at;
  anvil_read_span_add (&watch->reads, now - message->store_ok_for, read_at);
  return TRUE;
}

static void
add_evacuated (void *context, const char *zone)
{
  anvil_relay_message_t *message = context;

  message->evacuated[message->n_evacuated++] = anvil_str (zone);
}

void
anvil_relay_watch_add_evacuations (const anvil_relay_watch_t *watch, anvil_relay_message_t *message)
{
  message->operators_age
      = anvil_clock_now () - anvil_table_follower_read_at (watch->operator_follower);
  if (evacuated_zones_count (watch->evacuated_zones) > ANVIL_MAX_MESSAGE_ZONES)
    return;
  message->operators_version = watch->operators_version;
  evacuated_zones_foreach (watch->evacuated_zones, add_evacuated, message);
}

void
anvil_relay_watch_add_config (const anvil_relay_watch_t *watch,
                              gint64 since,
                              gsize max_whole_bytes,
                              GByteArray *changes,
                              anvil_relay_message_t *message)
{
  message->kind = ANVIL_RELAY_CONFIG;
  message->number = (guint64) anvil_relay_watch_config_version (watch);
  if (!anvil_config_in_force_changes_since (watch->config, since, changes) && max_whole_bytes > 0)
    anvil_config_in_force_pack_whole (watch->config, max_whole_bytes, changes);
  message->rows = (anvil_str_t){ .data = (const char *) changes->data, .length = changes->len };
  message->read_version = anvil_table_follower_known_version (watch->operator_follower);
  anvil_relay_watch_add_evacuations (watch, message);
}

/* While rows come back, whether an evacuation has ended is known only from its row. */
static gboolean
may_skip (const anvil_relay_watch_t *watch, anvil_store_position_t version)
{
  return version.era != anvil_table_follower_version (watch->operator_follower).era
         || !store_era_returning (&watch->era, anvil_clock_now ());
}

gboolean
anvil_relay_watch_apply_config (anvil_relay_watch_t *watch,
                                const anvil_relay_message_t *message,
                                const char *from)
{
  const anvil_time_t unread_time = anvil_clock_now () - anvil_relay_watch_operators_read_at (watch);

  anvil_relay_watch_hear_era (
      watch, MAX (message->read_version.era, message->operators_version.era), from);
  if (!anvil_config_in_force_exists (watch->config)
      || !anvil_config_in_force_apply_changes (watch->config, message->rows, from, unread_time)
      || anvil_relay_watch_config_version (watch) < (gint64) message->number)
    return FALSE;
  apply_peer_evacuations (watch, message);
  /* The peer may not have told its evacuated zones. */
  if (!anvil_store_position_later (message->read_version, watch->operators_version)
      && may_skip (watch, message->read_version))
    anvil_table_follower_skip_to (watch->operator_follower, message->read_version);
  return TRUE;
}

guint
anvil_relay_watch_count_evacuated (const anvil_relay_watch_t *watch)
{
  return evacuated_zones_count (watch->evacuated_zones);
}

gint64
anvil_relay_watch_config_version (const anvil_relay_watch_t *watch)
{
  return anvil_config_in_force_version (watch->config);
}

guint64
anvil_relay_watch_digest (const anvil_relay_watch_t *watch)
{
  return anvil_registry_digest (watch->registry);
}

void
anvil_relay_watch_read_all (anvil_relay_watch_t *watch)
{
  /* Until then nothing is known for sure, so grants are judged by the other side's knowledge. */
  anvil_registry_set_version (watch->registry, (anvil_store_position_t){ 0 });
  anvil_table_follower_read_all (watch->upstream_follower);
}

anvil_time_t
anvil_relay_watch_store_ok_for (const anvil_relay_watch_t *watch, anvil_time_t now)
{
  return anvil_read_span_length (&watch->reads, now);
}

gboolean
anvil_relay_watch_reads_store (const anvil_relay_watch_t *watch)
{
  return !watch->from_peer && anvil_relay_watch_ready (watch)
         && !anvil_relay_watch_store_lost (watch);
}

anvil_time_t
anvil_relay_watch_grace_remaining (const anvil_relay_watch_t *watch)
{
  return anvil_registry_grace_remaining (watch->registry, anvil_clock_now ());
}

anvil_time_t
anvil_relay_watch_upstreams_read_at (const anvil_relay_watch_t *watch)
{
  if (watch->from_peer)
    return watch->peer_read_at;
  return anvil_relay_watch_store_lost (watch)
             ? G_MAXINT64
             : MAX (anvil_table_follower_read_at (watch->upstream_follower), watch->peer_read_at);
}

anvil_time_t
anvil_relay_watch_operators_read_at (const anvil_relay_watch_t *watch)
{
  return MAX (anvil_table_follower_read_at (watch->operator_follower), watch->operators_told_at);
}
