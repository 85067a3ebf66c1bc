#include "anvil/codec.h"

#include <msgpack/pack.h>

static int
append_bytes (void *data, const char *bytes, size_t length)
{
  g_byte_array_append (data, (const guint8 *) bytes, (guint) length);
  return 0;
}

static void
pack_member (msgpack_packer *packer, const anvil_member_t *member)
{
  msgpack_pack_array (packer, 10);
  msgpack_pack_uint64 (packer, member->node);
  msgpack_pack_uint64 (packer, member->incarnation);
  msgpack_pack_uint64 (packer, member->version);
  msgpack_pack_uint64 (packer, member->state);
  msgpack_pack_uint64 (packer, member->zone_hash);
  msgpack_pack_uint64 (packer, member->generation);
  msgpack_pack_uint64 (packer, member->caller_port);
  msgpack_pack_uint64 (packer, member->admin_port);
  msgpack_pack_uint64 (packer, member->load_permille);
  msgpack_pack_array (packer, member->n_spare_slots);
  for (guint i = 0; i < member->n_spare_slots; i++)
    {
      msgpack_pack_array (packer, 3);
      msgpack_pack_uint64 (packer, member->spare_slots[i].service);
      msgpack_pack_uint64 (packer, member->spare_slots[i].half);
      msgpack_pack_uint64 (packer, member->spare_slots[i].n_slots);
    }
}

static void
pack_row (msgpack_packer *packer, const anvil_seat_row_t *row)
{
  msgpack_pack_array (packer, 5);
  msgpack_pack_uint64 (packer, row->seat);
  msgpack_pack_uint64 (packer, row->epoch);
  msgpack_pack_uint64 (packer, row->holder);
  msgpack_pack_uint64 (packer, row->incarnation);
  msgpack_pack_uint64 (packer, row->list_version);
}

static void
pack_bool (msgpack_packer *packer, gboolean value)
{
  if (value)
    msgpack_pack_true (packer);
  else
    msgpack_pack_false (packer);
}

static void
pack_drain (msgpack_packer *packer, const anvil_drain_t *drain)
{
  msgpack_pack_array (packer, 3);
  msgpack_pack_uint64 (packer, drain->upstream);
  msgpack_pack_uint64 (packer, drain->lamport_time);
  pack_bool (packer, drain->draining);
}

static void
pack_gossip (msgpack_packer *packer, const anvil_gossip_t *gossip)
{
  msgpack_pack_array (packer, 3);
  msgpack_pack_array (packer, gossip->n_members);
  for (guint i = 0; i < gossip->n_members; i++)
    pack_member (packer, &gossip->members[i]);
  msgpack_pack_array (packer, gossip->n_rows);
  for (guint i = 0; i < gossip->n_rows; i++)
    pack_row (packer, &gossip->rows[i]);
  msgpack_pack_array (packer, gossip->n_drains);
  for (guint i = 0; i < gossip->n_drains; i++)
    pack_drain (packer, &gossip->drains[i]);
}

static void
pack_grant_request (msgpack_packer *packer, const anvil_grant_request_t *request)
{
  msgpack_pack_array (packer, 5);
  msgpack_pack_uint64 (packer, request->seat);
  msgpack_pack_uint64 (packer, request->epoch);
  msgpack_pack_uint64 (packer, request->incarnation);
  msgpack_pack_uint64 (packer, request->generation);
  msgpack_pack_int64 (packer, request->requested_at);
}

static void
pack_grant_response (msgpack_packer *packer, const anvil_grant_response_t *response)
{
  msgpack_pack_array (packer, 7);
  msgpack_pack_uint64 (packer, response->seat);
  msgpack_pack_uint64 (packer, response->witness);
  msgpack_pack_uint64 (packer, response->incarnation);
  pack_bool (packer, response->granted);
  msgpack_pack_int64 (packer, response->exclusive_since);
  msgpack_pack_int64 (packer, response->requested_at);
  msgpack_pack_uint64 (packer, response->generation);
}

static void
pack_grant_release (msgpack_packer *packer, const anvil_grant_release_t *release)
{
  msgpack_pack_array (packer, 3);
  msgpack_pack_uint64 (packer, release->seat);
  msgpack_pack_uint64 (packer, release->incarnation);
  msgpack_pack_int64 (packer, release->released_at);
}

static void
pack_loan_request (msgpack_packer *packer, const anvil_loan_request_t *request)
{
  msgpack_pack_array (packer, 10);
  msgpack_pack_uint64 (packer, request->kind);
  msgpack_pack_uint64 (packer, request->nonce);
  msgpack_pack_uint64 (packer, request->incarnation);
  msgpack_pack_uint64 (packer, request->generation);
  msgpack_pack_int64 (packer, request->requested_at);
  msgpack_pack_uint64 (packer, request->service);
  msgpack_pack_uint64 (packer, request->half);
  msgpack_pack_uint64 (packer, request->n_slots);
  msgpack_pack_uint64 (packer, request->budget_hash);
  msgpack_pack_int64 (packer, request->amount);
}

static void
pack_slots (msgpack_packer *packer, const anvil_loan_slot_t *slots, guint n_slots)
{
  msgpack_pack_array (packer, n_slots);
  for (guint i = 0; i < n_slots; i++)
    {
      msgpack_pack_array (packer, 2);
      msgpack_pack_uint64 (packer, slots[i].upstream);
      msgpack_pack_uint64 (packer, slots[i].slot);
    }
}

static void
pack_loan_response (msgpack_packer *packer, const anvil_loan_response_t *response)
{
  msgpack_pack_array (packer, 8);
  msgpack_pack_uint64 (packer, response->kind);
  msgpack_pack_uint64 (packer, response->nonce);
  msgpack_pack_uint64 (packer, response->incarnation);
  msgpack_pack_int64 (packer, response->requested_at);
  msgpack_pack_int64 (packer, response->term);
  msgpack_pack_uint64 (packer, response->budget_hash);
  msgpack_pack_int64 (packer, response->amount);
  pack_slots (packer, response->slots, response->n_slots);
}

static void
pack_loan_return (msgpack_packer *packer, const anvil_loan_return_t *loan)
{
  msgpack_pack_array (packer, 3);
  msgpack_pack_uint64 (packer, loan->nonce);
  msgpack_pack_uint64 (packer, loan->incarnation);
  pack_slots (packer, loan->slots, loan->n_slots);
}

static void
pack_message (msgpack_packer *packer, const anvil_message_t *message)
{
  msgpack_pack_array (packer, 2);
  msgpack_pack_uint64 (packer, message->kind);
  switch (message->kind)
    {
    case ANVIL_MESSAGE_GOSSIP:
      pack_gossip (packer, &message->gossip);
      return;
    case ANVIL_MESSAGE_GRANT_REQUEST:
      pack_grant_request (packer, &message->grant_request);
      return;
    case ANVIL_MESSAGE_GRANT_RESPONSE:
      pack_grant_response (packer, &message->grant_response);
      return;
    case ANVIL_MESSAGE_GRANT_RELEASE:
      pack_grant_release (packer, &message->grant_release);
      return;
    case ANVIL_MESSAGE_LOAN_REQUEST:
      pack_loan_request (packer, &message->loan_request);
      return;
    case ANVIL_MESSAGE_LOAN_RESPONSE:
      pack_loan_response (packer, &message->loan_response);
      return;
    case ANVIL_MESSAGE_LOAN_RETURN:
      pack_loan_return (packer, &message->loan_return);
      return;
    }
  g_assert_not_reached ();
}

static void
pack_bytes (msgpack_packer *packer, anvil_str_t bytes)
{
  msgpack_pack_bin (packer, bytes.length);
  msgpack_pack_bin_body (packer, bytes.data, bytes.length);
}

static void
pack_config (msgpack_packer *packer, const anvil_config_frame_t *config)
{
  msgpack_pack_array (packer, 3);
  msgpack_pack_uint64 (packer, config->generation);
  pack_bytes (packer, config->head);
  pack_bytes (packer, config->file);
}

void
anvil_frame_pack (const anvil_frame_t *frame, GByteArray *out)
{
  msgpack_packer packer;

  msgpack_packer_init (&packer, out, append_bytes);
  msgpack_pack_array (&packer, 2);
  msgpack_pack_uint64 (&packer, frame->kind);
  switch (frame->kind)
    {
    case ANVIL_FRAME_HELLO:
      msgpack_pack_array (&packer, 2);
      msgpack_pack_uint64 (&packer, frame->hello.version);
      msgpack_pack_uint64 (&packer, frame->hello.node);
      return;
    case ANVIL_FRAME_MESSAGE:
      pack_message (&packer, &frame->message);
      return;
    case ANVIL_FRAME_CONFIG_REQUEST:
      msgpack_pack_array (&packer, 1);
      msgpack_pack_uint64 (&packer, frame->config_request);
      return;
    case ANVIL_FRAME_CONFIG:
      pack_config (&packer, &frame->config);
      return;
    case ANVIL_FRAME_RELAY_MESSAGE:
      pack_bytes (&packer, frame->relay_message);
      return;
    }
  g_assert_not_reached ();
}
