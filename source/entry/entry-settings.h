#pragma once

#include "anvil/log.h"
#include "anvil/node.h"
#include "anvil/settings.h"

/**
 * anvil_entry_settings_t - the settings of the daemon, checked
 * @listen_address: where callers connect, IPv4 in host order
 * @admin_address: where operators connect
 * @node: where other entries connect
 * @platform_address: where the platform's service is
 * @zone: availability zone that this VM is in
 * @load_path: path at which upstreams report load and health
 * @max_header_bytes: bound on the headers of a request or an answer
 * @max_body_bytes: bound on the body of a request, for all services
 * @max_response_bytes: bound on the body of an answer
 * @max_buffered_bytes: bound on the bytes of requests held by the process
 * @read_timeout_s: longest time for a request to arrive
 * @idle_timeout_s: longest silence on a caller's connection
 * @shutdown_timeout_s: longest graceful shutdown
 * @incarnation: greater than at any earlier start of this VM
 * @print_traces: write spans to standard output
 */
typedef struct
{
  guint32 listen_address;
  guint16 listen_port;
  guint32 admin_address;
  guint16 admin_port;
  anvil_node_t node;
  guint32 platform_address;
  guint16 platform_port;
  char *zone;
  char *load_path;
  anvil_log_level_t log_level;
  gssize max_header_bytes;
  gssize max_body_bytes;
  gssize max_response_bytes;
  guint64 max_buffered_bytes;
  int read_timeout_s;
  int idle_timeout_s;
  int shutdown_timeout_s;
  guint64 incarnation;
  gboolean print_traces;
} anvil_entry_settings_t;

/** anvil_entry_settings_load - as anvil_settings_load(); @settings is filled for ANVIL_SETTINGS_RUN
 */
anvil_settings_outcome_t
anvil_entry_settings_load (anvil_entry_settings_t *settings, int argc, const char **argv);
void anvil_entry_settings_clear (anvil_entry_settings_t *settings);
