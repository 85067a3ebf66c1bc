#pragma once

#include <glib.h>

/**
 * reserve_port - chooses a free port of the loopback interface and keeps it for the process
 *
 * A socket stays bound to it without listening. The kernel gives the port to no other socket, but a
 * program that is told of it can listen on it with SO_REUSEADDR.
 */
guint16 reserve_port (void);
