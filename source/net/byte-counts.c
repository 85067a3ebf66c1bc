#include "anvil/byte-counts.h"

#include <event2/buffer.h>

static void
on_received (struct evbuffer *unused_buffer, const struct evbuffer_cb_info *info, void *data)
{
  anvil_byte_counts_t *counts = data;

  counts->in += info->n_added;
}

static void
on_sent (struct evbuffer *unused_buffer, const struct evbuffer_cb_info *info, void *data)
{
  anvil_byte_counts_t *counts = data;

  counts->out += info->n_deleted;
}

void
anvil_byte_counts_watch (anvil_byte_counts_t *counts, struct bufferevent *stream)
{
  evbuffer_add_cb (bufferevent_get_input (stream), on_received, counts);
  evbuffer_add_cb (bufferevent_get_output (stream), on_sent, counts);
}
