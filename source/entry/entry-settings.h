#pragma once

#include "anvil/log.h"
#include "anvil/node.h"
#include "anvil/settings.h"

/**
 * anvil_entry_settings_t - validated settings of the daemon
 * @listen_address: address for callers, IPv4 in host order
 * @admin_address: address for operators, IPv4 in host order
 * @node: address and port for other entries, which identify this entry
 * @platform_address: address of the platform's service, IPv4 in host order
 * @zone: availability zone that this VM is in
 * @load_path: path at which upstreams report load and health
 * @max_header_bytes: limit on the headers of a request or a response
 * @max_body_bytes: limit on the body of a request, for all services
 * @max_response_bytes: limit on the body of a response
 * @max_buffered_bytes: limit on the request bytes that the process buffers
 * @read_timeout_s: maximum time to receive a request, seconds
 * @idle_timeout_s: maximum time without traffic on a caller's connection, seconds
 * @shutdown_timeout_s: maximum duration of a graceful shutdown, seconds
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

/** anvil_entry_settings_load - like anvil_settings_load(); sets @settings if the result is
 * ANVIL_SETTINGS_RUN */
anvil_settings_outcome_t
anvil_entry_settings_load (anvil_entry_settings_t *settings, int argc, const char **argv);
void anvil_entry_settings_clear (anvil_entry_settings_t *settings);
