#pragma once

#include <event2/event.h>

#include "anvil/clock.h"
#include "anvil/str.h"

/**
 * anvil_row_t - a row of the platform's table
 * @key: its key, "seat/0"
 * @value: JSON text
 * @version: counts writes of this key from 1; 0 means the row is absent
 */
typedef struct
{
  anvil_str_t key;
  anvil_str_t value;
  guint64 version;
} anvil_row_t;

/**
 * anvil_commit_result_t - what is known of a conditional write
 * @ANVIL_COMMIT_DONE: every write took effect
 * @ANVIL_COMMIT_CONFLICT: a version differed, nothing took effect
 * @ANVIL_COMMIT_NOT_DONE: it never reached the platform, nothing took effect
 * @ANVIL_COMMIT_UNKNOWN: it may have taken effect; read back
 */
typedef enum
{
  ANVIL_COMMIT_DONE,
  ANVIL_COMMIT_CONFLICT,
  ANVIL_COMMIT_NOT_DONE,
  ANVIL_COMMIT_UNKNOWN,
} anvil_commit_result_t;

/** anvil_vm_kind_t - what runs on a VM of the platform's list */
typedef enum
{
  ANVIL_VM_ENTRY,
  ANVIL_VM_UPSTREAM,
} anvil_vm_kind_t;

/**
 * anvil_vm_t - a VM of the platform's list
 * @name: the platform's name for it
 * @kind: entry or upstream
 * @leaving: whether the platform takes it away soon
 * @zone: availability zone name
 * @address: IPv4 in host order; tells the VM, as it does in the operators' file
 * @peer_port: where an entry's peers connect
 * @caller_port: where callers connect
 * @admin_port: administration
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
 * anvil_vm_list_t - the lagging list
 * @version: grows with every change; an older list never comes with a higher one
 * @vms: the VMs
 * @n_vms: how many
 */
typedef struct
{
  guint64 version;
  anvil_vm_t *vms;
  guint n_vms;
} anvil_vm_list_t;

/** anvil_platform_t - client of the platform's service; belongs to one event base */
typedef struct anvil_platform anvil_platform_t;

/* Each callback runs once for its call. @error is NULL on success; arguments are borrowed. */
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
 * anvil_platform_open - a client; connects when it is used
 * @address: IPv4 in host order
 * @timeout: longest time of one call, microseconds
 */
anvil_platform_t *
anvil_platform_open (struct event_base *base, guint32 address, guint16 port, anvil_time_t timeout);

/** anvil_platform_close - calls under way end with ANVIL_ERROR_UNAVAILABLE or an unknown outcome */
void anvil_platform_close (anvil_platform_t *platform);

/** anvil_platform_read_rows - rows whose key starts with @prefix, sorted by key */
void anvil_platform_read_rows (anvil_platform_t *platform,
                               const char *prefix,
                               anvil_platform_rows_cb_t done,
                               void *context);

/**
 * anvil_platform_commit - one transaction
 * @conditions: versions that must hold (value unused); version 0 wants the row absent
 * @writes: new values (version unused); a NULL value deletes
 */
void anvil_platform_commit (anvil_platform_t *platform,
                            const anvil_row_t *conditions,
                            guint n_conditions,
                            const anvil_row_t *writes,
                            guint n_writes,
                            anvil_platform_commit_cb_t done,
                            void *context);

/** anvil_platform_put_object - stores @body under @name; storing the same again is harmless */
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

/** anvil_platform_list_vms - the lagging list */
void
anvil_platform_list_vms (anvil_platform_t *platform, anvil_platform_vms_cb_t done, void *context);
