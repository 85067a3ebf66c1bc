#pragma once

#include <glib.h>

#include <event2/bufferevent.h>

/**
 * anvil_byte_counts_t - bytes that a group of connections received and sent
 *
 * Bytes of TCP's payload; headers and repeats of the network are not counted.
 */
typedef struct
{
  guint64 in;
  guint64 out;
} anvil_byte_counts_t;

/** anvil_byte_counts_watch - adds what @stream receives and sends from now on; @counts must outlive
 * the stream */
void anvil_byte_counts_watch (anvil_byte_counts_t *counts, struct bufferevent *stream);
