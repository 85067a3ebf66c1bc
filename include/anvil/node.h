#pragma once

#include <glib.h>

/**
 * anvil_node_t - address of an entry for its peers: IPv4 address in host order << 16 | peer port
 *
 * ANVIL_NO_NODE (0) is not a valid address.
 */
typedef guint64 anvil_node_t;

#define ANVIL_NO_NODE ((anvil_node_t) 0)

static inline anvil_node_t
anvil_node (guint32 address, guint16 port)
{
  return ((anvil_node_t) address << 16) | port;
}

static inline guint32
anvil_node_address (anvil_node_t node)
{
  return (guint32) (node >> 16);
}

static inline guint16
anvil_node_port (anvil_node_t node)
{
  return (guint16) (node & 0xffff);
}
