#pragma once

#include <event2/event.h>

#include "anvil/clock.h"
#include "anvil/str.h"

/* Time-out of one call of an entry to the platform. */
#define ANVIL_PLATFORM_CALL_TIMEOUT (2 * ANVIL_SECOND)

/**
 * anvil_row_t - a row of the platform's table
 * @key: its key, such as "seat/0"
 * @value: JSON text
 * @version: number of writes of this key; 0 means the row doesn't exist
 */
typedef struct
{
  anvil_str_t key;
  anvil_str_t value;
  guint64 version;
} anvil_row_t;

/**
 * anvil_commit_result_t - result of a write
 * @ANVIL_COMMIT_DONE: all writes took effect
 * @ANVIL_COMMIT_CONFLICT: a row had another version; nothing took effect
 * @ANVIL_COMMIT_NOT_DONE: not sent, or rejected by the platform; nothing took effect
 * @ANVIL_COMMIT_UNKNOWN: it may have taken effect; read the rows to find out
 */
typedef enum
{
  ANVIL_COMMIT_DONE,
  ANVIL_COMMIT_CONFLICT,
  ANVIL_COMMIT_NOT_DONE,
  ANVIL_COMMIT_UNKNOWN,
} anvil_commit_result_t;

/** anvil_vm_kind_t - what runs on a VM in the platform's list */
typedef enum
{
  ANVIL_VM_ENTRY,
  ANVIL_VM_UPSTREAM,
} anvil_vm_kind_t;

/**
 * anvil_vm_t - a VM in the platform's list
 * @name: the platform's name for it
 * @kind: entry or upstream
 * @leaving: whether the platform is about to remove it
 * @zone: name of its availability zone
 * @address: IPv4 in host order; identifies the VM, as in the configuration file
 * @peer_port: port for other entries
 * @caller_port: port for callers
 * @admin_port: port for administration
 */
typedef struct
{
  anvil_str_t name;
  anvil_vm_kind_t kind;
  gboolean leaving;
  anvil_str_t zone;
  guint32 address;
  guint16 peer_port;
  guint16 caller_port;
  guint16 admin_port;
} anvil_vm_t;

/**
 * anvil_vm_list_t - the platform's list of VMs, which lags behind their actual state
 * @version: grows with every change; an older list never has a higher one
 * @vms: the VMs
 * @n_vms: number of @vms
 */
typedef struct
{
  guint64 version;
  anvil_vm_t *vms;
  guint n_vms;
} anvil_vm_list_t;

/** anvil_platform_t - client of the platform's HTTP service, bound to one event base */
typedef struct anvil_platform anvil_platform_t;

/* Each callback runs once per call. @error is NULL on success; arguments are borrowed. */
typedef void (*anvil_platform_rows_cb_t) (void *context,
                                          const anvil_row_t *rows,
                                          guint n_rows,
                                          const GError *error);
typedef void (*anvil_platform_commit_cb_t) (void *context,
                                            anvil_commit_result_t result,
                                            const GError *error);
typedef void (*anvil_platform_object_cb_t) (void *context, anvil_str_t body, const GError *error);
typedef void (*anvil_platform_vms_cb_t) (void *context,
                                         const anvil_vm_list_t *list,
                                         const GError *error);

/**
 * anvil_platform_open - creates a client, which connects on the first call
 * @address: IPv4 in host order
 * @timeout: limit on the duration of one call
 */
anvil_platform_t *
anvil_platform_open (struct event_base *base, guint32 address, guint16 port, anvil_time_t timeout);

/** anvil_platform_close - ends pending calls with ANVIL_ERROR_UNAVAILABLE or, for a write that was
 * sent, ANVIL_ERROR_UNKNOWN_OUTCOME */
void anvil_platform_close (anvil_platform_t *platform);

/** anvil_platform_read_rows - reads the rows whose key starts with @prefix, sorted by key */
void anvil_platform_read_rows (anvil_platform_t *platform,
                               const char *prefix,
                               anvil_platform_rows_cb_t done,
                               void *context);

/**
 * anvil_platform_commit - makes all writes in one transaction if all conditions hold
 * @conditions: versions that rows must have (values unused); 0 if a row must not exist
 * @writes: new values (versions unused); a NULL value deletes the row
 *
 * Unlike the other callbacks, @done runs inside this call if a row is invalid.
 */
void anvil_platform_commit (anvil_platform_t *platform,
                            const anvil_row_t *conditions,
                            guint n_conditions,
                            const anvil_row_t *writes,
                            guint n_writes,
                            anvil_platform_commit_cb_t done,
                            void *context);

/** anvil_platform_put_object - stores @body under @name; repeating it is harmless */
void anvil_platform_put_object (anvil_platform_t *platform,
                                const char *name,
                                anvil_str_t body,
                                anvil_platform_commit_cb_t done,
                                void *context);

/** anvil_platform_get_object - fetches an object */
void anvil_platform_get_object (anvil_platform_t *platform,
                                const char *name,
                                anvil_platform_object_cb_t done,
                                void *context);

/** anvil_platform_list_vms - fetches the list of VMs */
void
anvil_platform_list_vms (anvil_platform_t *platform, anvil_platform_vms_cb_t done, void *context);
