#pragma once

#include "fake-clock.h"
#include "fake-platform.h"
#include "fake-record.h"
#include "fake-upstream.h"

#define FAKE_MAX_ENTRIES 16
#define FAKE_MAX_SERVICES 8

/**
 * fake_policy_t - a dispatch policy that replaces the decision cores
 *
 * All times are virtual. It decides on a request by calling fake_net_dispatch(), fake_net_finish()
 * or fake_net_refuse().
 */
typedef struct
{
  void (*submit) (void *context, guint entry, anvil_time_t now, const anvil_request_t *request);
  void (*finished) (
      void *context, guint entry, anvil_time_t now, guint64 request, anvil_attempt_result_t result);
  void (*report) (void *context, guint entry, guint upstream, guint running, gboolean draining);
} fake_policy_t;

/**
 * fake_net_options_t - parameters of a simulation
 * @seed: seed of all random choices
 * @config: the base file: the actual zones, links and upstreams
 * @initial_config: file of generation 1 with the same zones and upstreams; NULL for @config
 * @n_entries: entry i is in the zone of seat i, further entries go to the zones in turn
 * @clock_ppm: largest deviation of an entry's clock rate, parts per million
 * @mean_service_time: mean time to process a request, by service
 * @sharing: how the decision cores share limits
 * @faults: faults injected into the decision cores
 * @policy: replaces the decision cores; may be NULL
 * @record: called for every event of the history; may be NULL
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
 * fake_entry_t - an entry: its VM and the process on it
 * @steer: decision core, NULL while no process runs or a policy decides
 * @process_epoch: changes at every start and stop; events for an earlier process are discarded
 * @clock_rate: rate of its clock against virtual time
 * @clock_offset: its clock at virtual time 0
 * @frozen: the process is suspended; its events are held back
 * @store_cut: it can't reach the platform
 * @files_cut: it learns of new files, but can't fetch them
 * @discovered: entries whose current VM this process has seen in the platform's list
 * @cut: messages to this entry are lost, by index of the receiver
 * @reports_cut: it receives no load reports of upstreams
 * @ticks: number of polls, see fake_entry_poll()
 * @generation: generation in force, 0 before the first
 * @held_events: events that arrived while it was frozen
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
 * fake_net_t - the simulated network with its entries, upstreams and platform
 * @attempts: attempts by id, owned by fake-work.c
 * @loss_per_mille: share of messages between entries that are lost
 * @duplicate_per_mille: share of messages that arrive twice
 * @max_extra_delay: longest random delay added to a message; reorders messages
 * @reset_per_mille: share of attempts whose connection breaks while the upstream continues
 * @reports_frozen: load reports are no longer updated
 * @reports_show_idle: load reports wrongly show no requests
 * @link_free_at: virtual time at which each directed link has sent all queued bits
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

/** fake_net_new - creates a network at virtual time 0: entries started, generation 1 accepted */
fake_net_t *fake_net_new (const fake_net_options_t *options);
void fake_net_drop (fake_net_t *net);

anvil_time_t fake_net_now (const fake_net_t *net);
void fake_net_advance (fake_net_t *net, anvil_time_t duration);

/** fake_net_local_time - converts a virtual time to the time of an entry's clock */
anvil_time_t fake_net_local_time (const fake_entry_t *entry, anvil_time_t at);

/**
 * fake_net_submit - delivers a caller's request to an entry
 * @request: its id is set here; its deadline is the caller's timeout
 *
 * Return: the id of the request, or 0 if the entry's process does not run.
 */
guint64 fake_net_submit (fake_net_t *net, guint entry, anvil_request_t request);

/* Faults. Stopping an entry that does not run has no effect; a restart stops the process first. */
void fake_net_kill (fake_net_t *net, guint entry);
void fake_net_restart (fake_net_t *net, guint entry);
void fake_net_replace (fake_net_t *net, guint entry);
void fake_net_freeze (fake_net_t *net, guint entry);
void fake_net_unfreeze (fake_net_t *net, guint entry);
void fake_net_leave (fake_net_t *net, guint entry);
void fake_net_set_upstream_leaving (fake_net_t *net, guint upstream, gboolean leaving);

/** fake_net_connected - whether both entries run and messages pass in both directions */
gboolean fake_net_connected (const fake_net_t *net, guint a, guint b);

/** fake_net_discovered - whether either entry has seen the other in the platform's list */
gboolean fake_net_discovered (const fake_net_t *net, guint a, guint b);

/** fake_net_store_reachable - whether an entry runs and the platform responds without delay */
gboolean fake_net_store_reachable (const fake_net_t *net, guint entry);

/** fake_net_one_way_delay - propagation delay between two zones of the base file */
anvil_time_t fake_net_one_way_delay (const fake_net_t *net, guint zone_a, guint zone_b);

/* Decisions on a request, called by a policy or by the callbacks of a core. */
void fake_net_dispatch (fake_net_t *net,
                        guint entry,
                        const anvil_request_t *request,
                        const anvil_dispatch_t *dispatch);
void fake_net_finish (fake_net_t *net, guint entry, guint64 request, anvil_attempt_result_t result);
void fake_net_refuse (fake_net_t *net, guint entry, guint64 request, anvil_refusal_reason_t reason);

/** fake_net_record - adds an event to the history; @record->at is set here */
void fake_net_record (fake_net_t *net, fake_record_t record);
