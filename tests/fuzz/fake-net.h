#pragma once

#include "fake-clock.h"
#include "fake-platform.h"
#include "fake-record.h"
#include "fake-upstream.h"

#define FAKE_MAX_ENTRIES 16
#define FAKE_MAX_SERVICES 8

/**
 * fake_policy_t - another way to decide, driven in place of the decision core
 *
 * Called with virtual time. It answers by fake_net_dispatch(),
 * fake_net_finish() and fake_net_refuse().
 */
typedef struct
{
  void (*submit) (void *context, guint entry, anvil_time_t now, const anvil_request_t *request);
  void (*finished) (
      void *context, guint entry, anvil_time_t now, guint64 request, anvil_attempt_result_t result);
  void (*report) (void *context, guint entry, guint upstream, guint running, gboolean draining);
} fake_policy_t;

/**
 * fake_net_options_t - what a run is made of
 * @seed: of every random choice
 * @config: the base file: places, links and upstreams as they really are
 * @initial_config: file of generation 1, @config if NULL; it has the same places and upstreams
 * @n_entries: entry i stands in the zone of seat i, further ones in the zones in turn
 * @clock_ppm: largest clock rate difference
 * @mean_service_time: mean time of a request by service
 * @sharing: for the decision cores
 * @faults: for the decision cores
 * @policy: in place of the cores, or NULL
 * @record: hears every event of the history
 */
typedef struct
{
  guint32 seed;
  anvil_config_t *config;
  anvil_config_t *initial_config;
  guint n_entries;
  guint clock_ppm;
  anvil_time_t mean_service_time[FAKE_MAX_SERVICES];
  anvil_sharing_t sharing;
  anvil_steer_faults_t faults;
  const fake_policy_t *policy;
  void *policy_context;
  fake_record_cb_t record;
  void *record_context;
} fake_net_options_t;

/**
 * fake_entry_t - a place of an entry VM
 * @steer: its decision core, NULL while it is dead or a policy decides
 * @process_epoch: counts the processes here; what was meant for an earlier one is lost
 * @frozen: it does nothing; what comes is held back
 * @store_cut: it can't reach the platform
 * @files_cut: it hears of new files, but can't get them
 * @discovered: entries whose present VM this process has seen in the platform's list
 * @cut: directed cuts, by the entry that can't be reached
 * @upstreams_cut: its load reports don't arrive
 */
typedef struct
{
  anvil_steer_t *steer;
  void *context;
  gboolean alive;
  anvil_node_t node;
  anvil_str_t name;
  guint64 incarnation;
  guint process_epoch;
  guint zone;
  guint region;
  gdouble clock_rate;
  anvil_time_t clock_offset;
  gboolean frozen;
  gboolean leaving;
  gboolean store_cut;
  gboolean files_cut;
  gboolean discovered[FAKE_MAX_ENTRIES];
  gboolean cut[FAKE_MAX_ENTRIES];
  gboolean reports_cut;
  guint ticks;
  guint64 generation;
  GQueue held_events;
} fake_entry_t;

/**
 * fake_net_t - the whole world of a run
 * @loss_per_mille: messages between entries that are lost
 * @duplicate_per_mille: messages that arrive twice
 * @max_extra_delay: longest further delay of a message
 * @reset_per_mille: attempts whose connection breaks while the upstream goes on
 * @reports_frozen: load reports say what was true when they froze
 * @reports_show_idle: load reports say that nothing runs
 * @link_free_at: when each directed link has sent what was put on it
 */
typedef struct
{
  fake_net_options_t options;
  fake_clock_t *clock;
  GRand *random;
  fake_platform_t *platform;
  fake_entry_t entries[FAKE_MAX_ENTRIES];
  guint n_entries;
  fake_upstream_t *upstreams;
  guint n_upstreams;
  GHashTable *attempts;
  guint64 last_request;
  guint64 last_attempt;
  guint last_vm;
  guint loss_per_mille;
  guint duplicate_per_mille;
  anvil_time_t max_extra_delay;
  guint reset_per_mille;
  gboolean reports_frozen;
  gboolean reports_show_idle;
  anvil_time_t *link_free_at;
} fake_net_t;

/** fake_net_new - a world at time 0 with its entries started and the base file as generation 1 */
fake_net_t *fake_net_new (const fake_net_options_t *options);
void fake_net_drop (fake_net_t *net);

anvil_time_t fake_net_now (const fake_net_t *net);
void fake_net_advance (fake_net_t *net, anvil_time_t duration);

/** fake_net_local_time - an entry's own clock at a virtual time */
anvil_time_t fake_net_local_time (const fake_entry_t *entry, anvil_time_t at);

/**
 * fake_net_submit - a caller's request comes to an entry
 * @request: @id is set here; @deadline is how long the caller waits
 *
 * Return: the number of the request, or 0 when the entry is dead.
 */
guint64 fake_net_submit (fake_net_t *net, guint entry, anvil_request_t request);

/* Faults. Stopping an entry that is dead or starting one that is alive does nothing. */
void fake_net_kill (fake_net_t *net, guint entry);
void fake_net_restart (fake_net_t *net, guint entry);
void fake_net_replace (fake_net_t *net, guint entry);
void fake_net_freeze (fake_net_t *net, guint entry);
void fake_net_unfreeze (fake_net_t *net, guint entry);
void fake_net_leave (fake_net_t *net, guint entry);
void fake_net_set_upstream_leaving (fake_net_t *net, guint upstream, gboolean leaving);

/** fake_net_connected - whether both entries run and reach each other both ways */
gboolean fake_net_connected (const fake_net_t *net, guint a, guint b);

/** fake_net_discovered - whether one of them knows of the other from the platform's list */
gboolean fake_net_discovered (const fake_net_t *net, guint a, guint b);

/** fake_net_store_reachable - whether a running entry gets prompt answers from the platform */
gboolean fake_net_store_reachable (const fake_net_t *net, guint entry);

/** fake_net_one_way_delay - one way between two zones of the base file */
anvil_time_t fake_net_one_way_delay (const fake_net_t *net, guint zone_a, guint zone_b);

/* Answers of a policy; the cores use them too. */
void fake_net_dispatch (fake_net_t *net,
                        guint entry,
                        const anvil_request_t *request,
                        const anvil_dispatch_t *dispatch);
void fake_net_finish (fake_net_t *net, guint entry, guint64 request, anvil_attempt_result_t result);
void fake_net_refuse (fake_net_t *net, guint entry, guint64 request, anvil_refusal_reason_t why);

/** fake_net_record - adds an event to the history; @record->at is set here */
void fake_net_record (fake_net_t *net, fake_record_t record);
