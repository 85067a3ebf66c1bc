#pragma once

#include "anvil/announcement.h"
#include "anvil/dispatcher.h"
#include "anvil/members.h"
#include "anvil/store-position.h"
#include "relay/request-limit-table.h"
#include "relay/warm-object-table.h"
#include "steer/quota-item.h"

/**
 * anvil_relay_message_kind_t - messages between entries of anvil-relay
 * @ANVIL_RELAY_PING: describes the sender; answered by a pong
 * @ANVIL_RELAY_PONG: describes the sender; echoes the number of the ping
 * @ANVIL_RELAY_REQUEST_SLOT: requests a slot for a task
 * @ANVIL_RELAY_ADOPT: tells a new holder of a task that runs on a slot of the previous holder
 * @ANVIL_RELAY_GRANT: grants a slot to a task
 * @ANVIL_RELAY_REFUSE: refuses a slot to a task
 * @ANVIL_RELAY_FINISHED: the run of a granted task has ended; releases the slot
 * @ANVIL_RELAY_CANCEL: cancels the request for a slot of a waiting task
 * @ANVIL_RELAY_WARM_OBJECTS: which upstreams of a service are warm for which objects
 * @ANVIL_RELAY_REQUEST_UPDATES: subscribes to the updates of upstreams
 * @ANVIL_RELAY_UPDATES: updates of upstreams
 * @ANVIL_RELAY_REQUEST_LIMITS: request limits that upstreams named to the sender
 * @ANVIL_RELAY_RETRY_COUNTS: what holders of a service counted for its retry budget
 * @ANVIL_RELAY_REQUEST_CONFIG: requests the changes of the configuration
 * @ANVIL_RELAY_CONFIG: changes of the configuration, and the evacuated zones
 * @ANVIL_RELAY_ANNOUNCEMENTS: what upstreams of a service said of themselves to the sender
 * @ANVIL_RELAY_FORWARD: requests a slot for a task, and has the request along
 * @ANVIL_RELAY_RESPONSE: how the run of a request ended that came along with its slot request
 * @ANVIL_RELAY_REQUEST_QUOTA: requests tokens of tenants from their counter
 * @ANVIL_RELAY_QUOTA: tokens lent; echoes the number of the request
 * @ANVIL_RELAY_WITHDRAW: cancels a slot request that has its request along, unless that runs;
 *   answered only if it doesn't
 * @ANVIL_RELAY_WITHDRAWN: the task won't run at the sender
 */
typedef enum
{
  ANVIL_RELAY_PING = 1,
  ANVIL_RELAY_PONG,
  ANVIL_RELAY_REQUEST_SLOT,
  ANVIL_RELAY_ADOPT,
  ANVIL_RELAY_GRANT,
  ANVIL_RELAY_REFUSE,
  ANVIL_RELAY_FINISHED,
  ANVIL_RELAY_CANCEL,
  ANVIL_RELAY_WARM_OBJECTS,
  ANVIL_RELAY_REQUEST_UPDATES,
  ANVIL_RELAY_UPDATES,
  ANVIL_RELAY_REQUEST_LIMITS,
  ANVIL_RELAY_RETRY_COUNTS,
  ANVIL_RELAY_REQUEST_CONFIG,
  ANVIL_RELAY_CONFIG,
  ANVIL_RELAY_ANNOUNCEMENTS,
  ANVIL_RELAY_FORWARD,
  ANVIL_RELAY_RESPONSE,
  ANVIL_RELAY_REQUEST_QUOTA,
  ANVIL_RELAY_QUOTA,
  ANVIL_RELAY_WITHDRAW,
  ANVIL_RELAY_WITHDRAWN,
} anvil_relay_message_kind_t;

/* Most tenants in one message about quotas. */
#define ANVIL_MAX_MESSAGE_QUOTAS 64
/* Most evacuated zones that updates name. */
#define ANVIL_MAX_MESSAGE_ZONES 64

/**
 * anvil_relay_message_t - one message; texts point into the bytes it was unpacked from
 * @number: the requester's number of the task; for ping and pong, the ping's time on its sender's
 *   clock; for updates, the version of the store up to which the sender has read; for a request for
 *   updates, the version that its sender has, both with @era; for quotas, the time of the request
 *   on the holder's clock; for the configuration, its version in force at the sender
 * @era: updates, request for updates: era of the store that @number is of
 * @info: ping, pong: the sender
 * @named: ping, pong: other entries that the sender reaches
 * @n_named: ping, pong: length of @named
 * @task: request slot, adopt: the task; @task.target and @task.deadline are the remaining times,
 *   microseconds, since clocks differ between processes
 * @upstream: adopt: key of the upstream that runs the task
 * @grant: grant: the slot
 * @refused: refuse: the reason
 * @report: finished: the result
 * @service: warm objects, retry counts, announcements: name of the service
 * @objects: warm objects: the list
 * @n_objects: warm objects: length of @objects
 * @limits: request limits: the list
 * @n_limits: request limits: length of @limits
 * @announcements: announcements: the list
 * @n_announcements: announcements: length of @announcements
 * @wants: request of quotas: the list
 * @n_wants: request of quotas: length of @wants
 * @lents: quotas: the list
 * @n_lents: quotas: length of @lents
 * @retry_counts: retry counts: the list, an item for each holder
 * @n_retry_counts: retry counts: length of @retry_counts
 * @after_version: updates: version of the store after which they start
 * @age: updates: time since the sender read the store, microseconds
 * @store_ok_for: updates: for how long the store is known to have answered, microseconds; see
 *   steer/read-span.h
 * @grace_remaining: updates: how much longer the registry waits for a missing row to come back,
 *   microseconds
 * @digest: updates: anvil_registry_digest() of the sender at @number
 * @rows: updates: packed rows, see relay/update-log.h; configuration: packed changes, see
 *   relay/config-log.h, empty if they are too large or not known; forward, response: see
 *   relay/forward-codec.h
 * @operators_version: updates, configuration: version of the store up to which the sender knows
 *   the evacuated zones; 0 if it doesn't tell
 * @operators_age: updates: time since the sender itself read the operators' table, microseconds
 * @evacuated: updates, configuration: the zones that are evacuated at that version
 * @n_evacuated: updates, configuration: length of @evacuated
 * @sent_at: kinds with times that count from when it was sent (request slot, adopt, forward,
 *   updates): when it was, CLOCK_BOOTTIME of the sender's VM, microseconds; 0 if it doesn't tell
 * @waited: withdrawn: the task was known, and its request was not sent; otherwise it may have run
 * @whole: request of the configuration: it may be sent whole, as the store doesn't answer the
 *   sender
 * @read_version: configuration: version of the store up to which the sender knows the whole table
 *   of the operators; 0 if it doesn't
 */
typedef struct
{
  anvil_relay_message_kind_t kind;
  guint64 number;
  guint64 era;
  anvil_member_info_t info;
  anvil_node_t named[ANVIL_MAX_NAMED_MEMBERS];
  guint n_named;
  anvil_task_t task;
  guint64 upstream;
  anvil_slot_grant_t grant;
  anvil_task_refusal_info_t refused;
  anvil_run_report_t report;
  anvil_str_t service;
  anvil_warm_object_t objects[ANVIL_MAX_MESSAGE_WARM_OBJECTS];
  guint n_objects;
  anvil_named_limit_t limits[ANVIL_MAX_MESSAGE_REQUEST_LIMITS];
  guint n_limits;
  anvil_named_announcement_t announcements[ANVIL_MAX_MESSAGE_ANNOUNCEMENTS];
  guint n_announcements;
  anvil_quota_want_t wants[ANVIL_MAX_MESSAGE_QUOTAS];
  guint n_wants;
  anvil_quota_lent_t lents[ANVIL_MAX_MESSAGE_QUOTAS];
  guint n_lents;
  anvil_retry_counts_t retry_counts[ANVIL_MAX_RETRY_ORIGINS];
  guint n_retry_counts;
  anvil_store_position_t after_version;
  anvil_time_t age;
  anvil_time_t store_ok_for;
  anvil_time_t grace_remaining;
  guint64 digest;
  anvil_str_t rows;
  anvil_store_position_t operators_version;
  anvil_time_t operators_age;
  anvil_str_t evacuated[ANVIL_MAX_MESSAGE_ZONES];
  guint n_evacuated;
  anvil_store_position_t read_version;
  anvil_time_t sent_at;
  gboolean waited;
  gboolean whole;
} anvil_relay_message_t;

/** anvil_relay_message_pack - appends a message in msgpack to @out; @sent_at is that of the
 * message, for kinds that tell it */
void anvil_relay_message_pack (const anvil_relay_message_t *message,
                               anvil_time_t sent_at,
                               GByteArray *out);

/**
 * anvil_relay_message_unpack - parses one message
 *
 * Return: FALSE with @error naming the field if the message is malformed.
 */
gboolean
anvil_relay_message_unpack (anvil_str_t bytes, anvil_relay_message_t *message, GError **error);
