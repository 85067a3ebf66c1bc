/* Codec of the frames between entries: round trips, and rejection of invalid frames. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "anvil/codec.h"
#include "net/message-check.h"

#define ROUNDS_PER_KIND 200

static guint64
random_u64 (GRand *rand)
{
  /* Random width, as msgpack encodes small, medium and large numbers differently. */
  guint64 wide = ((guint64) g_rand_int (rand) << 32) | g_rand_int (rand);

  return wide >> g_rand_int_range (rand, 0, 64);
}

static gint64
random_i64 (GRand *rand)
{
  gint64 value = (gint64) (random_u64 (rand) >> 1);

  return g_rand_boolean (rand) ? -value : value;
}

static guint16
random_u16 (GRand *rand)
{
  return (guint16) g_rand_int (rand);
}

static anvil_node_t
random_node (GRand *rand)
{
  return anvil_node (g_rand_int (rand), random_u16 (rand));
}

static void
fill_member (GRand *rand, anvil_member_t *member)
{
  member->node = random_node (rand);
  member->incarnation = random_u64 (rand);
  member->version = random_u64 (rand);
  member->state = g_rand_int_range (rand, 0, 3);
  member->zone_hash = random_u64 (rand);
  member->generation = random_u64 (rand);
  member->caller_port = random_u16 (rand);
  member->admin_port = random_u16 (rand);
  member->load_permille = random_u16 (rand);
  member->n_spare_slots = (guint8) g_rand_int_range (rand, 0, ANVIL_MAX_SPARE_SLOT_RECORDS + 1);
  for (guint i = 0; i < member->n_spare_slots; i++)
    member->spare_slots[i]
        = (anvil_spare_slots_t){ random_u16 (rand), random_u16 (rand), random_u16 (rand) };
}

static void
fill_gossip (GRand *rand, anvil_gossip_t *gossip)
{
  gossip->n_members = g_rand_int_range (rand, 0, ANVIL_MAX_GOSSIP_MEMBERS + 1);
  for (guint i = 0; i < gossip->n_members; i++)
    fill_member (rand, &gossip->members[i]);
  gossip->n_rows = g_rand_int_range (rand, 0, ANVIL_MAX_GOSSIP_ROWS + 1);
  for (guint i = 0; i < gossip->n_rows; i++)
    {
      gossip->rows[i].seat = random_u16 (rand);
      gossip->rows[i].epoch = random_u64 (rand);
      gossip->rows[i].holder = random_node (rand);
      gossip->rows[i].incarnation = random_u64 (rand);
      gossip->rows[i].list_version = random_u64 (rand);
    }
  gossip->n_drains = g_rand_int_range (rand, 0, ANVIL_MAX_GOSSIP_DRAINS + 1);
  for (guint i = 0; i < gossip->n_drains; i++)
    {
      gossip->drains[i].upstream = random_u64 (rand);
      gossip->drains[i].lamport_time = random_u64 (rand);
      gossip->drains[i].draining = g_rand_boolean (rand);
    }
}

static guint8
fill_slots (GRand *rand, anvil_loan_slot_t *slots)
{
  guint8 n_slots = (guint8) g_rand_int_range (rand, 0, ANVIL_MAX_LOAN_SLOTS + 1);

  for (guint i = 0; i < n_slots; i++)
    {
      slots[i].upstream = random_u64 (rand);
      slots[i].slot = (guint8) g_rand_int (rand);
    }
  return n_slots;
}

static void
fill_grants (GRand *rand, anvil_message_t *message)
{
  switch (message->kind)
    {
    case ANVIL_MESSAGE_GRANT_REQUEST:
      message->grant_request.seat = random_u16 (rand);
      message->grant_request.epoch = random_u64 (rand);
      message->grant_request.incarnation = random_u64 (rand);
      message->grant_request.generation = random_u64 (rand);
      message->grant_request.requested_at = random_i64 (rand);
      return;
    case ANVIL_MESSAGE_GRANT_RESPONSE:
      message->grant_response.seat = random_u16 (rand);
      message->grant_response.witness = random_u16 (rand);
      message->grant_response.incarnation = random_u64 (rand);
      message->grant_response.granted = g_rand_boolean (rand);
      message->grant_response.exclusive_since = random_i64 (rand);
      message->grant_response.requested_at = random_i64 (rand);
      message->grant_response.generation = random_u64 (rand);
      return;
    default:
      message->grant_release.seat = random_u16 (rand);
      message->grant_release.incarnation = random_u64 (rand);
      message->grant_release.released_at = random_i64 (rand);
    }
}

static void
fill_loans (GRand *rand, anvil_message_t *message)
{
  switch (message->kind)
    {
    case ANVIL_MESSAGE_LOAN_REQUEST:
      message->loan_request.kind = g_rand_int_range (rand, 0, 2);
      message->loan_request.nonce = random_u64 (rand);
      message->loan_request.incarnation = random_u64 (rand);
      message->loan_request.generation = random_u64 (rand);
      message->loan_request.requested_at = random_i64 (rand);
      message->loan_request.service = random_u16 (rand);
      message->loan_request.half = random_u16 (rand);
      message->loan_request.n_slots = random_u16 (rand);
      message->loan_request.budget_hash = random_u64 (rand);
      message->loan_request.amount = random_i64 (rand);
      return;
    case ANVIL_MESSAGE_LOAN_RESPONSE:
      message->loan_response.kind = g_rand_int_range (rand, 0, 2);
      message->loan_response.nonce = random_u64 (rand);
      message->loan_response.incarnation = random_u64 (rand);
      message->loan_response.requested_at = random_i64 (rand);
      message->loan_response.term = random_i64 (rand);
      message->loan_response.budget_hash = random_u64 (rand);
      message->loan_response.amount = random_i64 (rand);
      message->loan_response.n_slots = fill_slots (rand, message->loan_response.slots);
      return;
    default:
      message->loan_return.nonce = random_u64 (rand);
      message->loan_return.incarnation = random_u64 (rand);
      message->loan_return.n_slots = fill_slots (rand, message->loan_return.slots);
    }
}

static void
fill_frame (GRand *rand, anvil_message_kind_t kind, anvil_frame_t *frame)
{
  memset (frame, 0, sizeof *frame);
  frame->kind = ANVIL_FRAME_MESSAGE;
  frame->message.kind = kind;
  if (kind == ANVIL_MESSAGE_GOSSIP)
    fill_gossip (rand, &frame->message.gossip);
  else if (kind <= ANVIL_MESSAGE_GRANT_RELEASE)
    fill_grants (rand, &frame->message);
  else
    fill_loans (rand, &frame->message);
}

static anvil_str_t
view (const GByteArray *bytes)
{
  return (anvil_str_t){ .data = (const char *) bytes->data, .length = bytes->len };
}

START_TEST (test_messages_round_trip)
{
  anvil_message_kind_t kind = (anvil_message_kind_t) _i;
  GRand *rand = g_rand_new_with_seed (1000 + _i);
  anvil_frame_t *sent = g_new (anvil_frame_t, 1);
  anvil_frame_t *received = g_new (anvil_frame_t, 1);

  for (guint round = 0; round < ROUNDS_PER_KIND; round++)
    {
      GByteArray *bytes = g_byte_array_new ();
      GByteArray *repacked = g_byte_array_new ();
      GError *error = NULL;

      fill_frame (rand, kind, sent);
      anvil_frame_pack (sent, bytes);
      ck_assert_msg (anvil_frame_unpack (view (bytes), received, &error), "round %u: %s", round,
                     error != NULL ? error->message : "");
      /* Both were zeroed as a whole, padding included. */
      /* NOLINTNEXTLINE(bugprone-suspicious-memory-comparison) */
      ck_assert_int_eq (memcmp (sent, received, sizeof *sent), 0);
      anvil_frame_pack (received, repacked);
      ck_assert (anvil_str_equal (view (bytes), view (repacked)));
      g_byte_array_unref (bytes);
      g_byte_array_unref (repacked);
    }
  g_free (sent);
  g_free (received);
  g_rand_free (rand);
}
END_TEST

START_TEST (test_frames_truncated_at_any_byte_are_rejected)
{
  anvil_message_kind_t kind = (anvil_message_kind_t) _i;
  GRand *rand = g_rand_new_with_seed (2000 + _i);
  anvil_frame_t *frame = g_new (anvil_frame_t, 1);
  GByteArray *bytes = g_byte_array_new ();

  fill_frame (rand, kind, frame);
  anvil_frame_pack (frame, bytes);
  for (guint length = 0; length < bytes->len; length++)
    {
      /* A separate copy lets the sanitizer detect reads past its end. */
      char *copy = g_memdup2 (bytes->data, length);
      anvil_str_t truncated = { .data = copy, .length = length };

      ck_assert_msg (!anvil_frame_unpack (truncated, frame, NULL), "accepted %u of %u bytes",
                     length, bytes->len);
      g_free (copy);
    }
  g_byte_array_append (bytes, (const guint8 *) "\0", 1);
  ck_assert (!anvil_frame_unpack (view (bytes), frame, NULL));
  g_byte_array_unref (bytes);
  g_free (frame);
  g_rand_free (rand);
}
END_TEST

START_TEST (test_corrupted_frames_never_exceed_array_limits)
{
  GRand *rand = g_rand_new_with_seed (3000 + _i);
  anvil_frame_t *frame = g_new (anvil_frame_t, 1);
  GByteArray *bytes = g_byte_array_new ();

  fill_frame (rand, (anvil_message_kind_t) _i, frame);
  anvil_frame_pack (frame, bytes);
  for (guint i = 0; i < bytes->len; i++)
    {
      guint8 original = bytes->data[i];

      bytes->data[i] = (guint8) g_rand_int (rand);
      if (anvil_frame_unpack (view (bytes), frame, NULL) && frame->kind == ANVIL_FRAME_MESSAGE
          && frame->message.kind == ANVIL_MESSAGE_GOSSIP)
        ck_assert_uint_le (frame->message.gossip.n_members, ANVIL_MAX_GOSSIP_MEMBERS);
      bytes->data[i] = original;
    }
  g_byte_array_unref (bytes);
  g_free (frame);
  g_rand_free (rand);
}
END_TEST

#define SLOT "\x92\x01\x01"
#define SLOTS_17                                                                                   \
  SLOT SLOT SLOT SLOT SLOT SLOT SLOT SLOT SLOT SLOT SLOT SLOT SLOT SLOT SLOT SLOT SLOT

/* Frames of the wrong form, and malformed msgpack. */
static const struct
{
  const char *description;
  const char *bytes;
  gsize length;
} invalid_frames[] = {
#define FRAME(description, bytes)                                                                  \
  {                                                                                                \
    description, bytes, sizeof (bytes) - 1                                                         \
  }
  FRAME ("empty", ""),
  FRAME ("nil", "\xc0"),
  FRAME ("map", "\x80"),
  FRAME ("map as a message", "\x92\x01\x80"),
  FRAME ("array with a declared length of 2^32 - 1", "\xdd\xff\xff\xff\xff"),
  FRAME ("array with a declared length of 65535", "\x92\x01\xdc\xff\xff"),
  FRAME ("unknown kind of frame", "\x92\x09\x90"),
  FRAME ("unknown kind of message", "\x92\x01\x92\x08\x90"),
  FRAME ("message kind 0", "\x92\x01\x92\x00\x90"),
  FRAME ("huge message kind", "\x92\x01\x92\xcf\x01\x00\x00\x00\x00\x00\x00\x01\x90"),
  FRAME ("record too long", "\x92\x01\x92\x04\x94\x01\x02\x03\x04"),
  FRAME ("record too short", "\x92\x01\x92\x04\x92\x01\x02"),
  FRAME ("seat above 16 bits", "\x92\x01\x92\x04\x93\xce\x00\x01\x00\x00\x02\x03"),
  FRAME ("negative seat", "\x92\x01\x92\x04\x93\xff\x02\x03"),
  FRAME ("string for a number", "\x92\x01\x92\x04\x93\xa1x\x02\x03"),
  FRAME ("float for a number", "\x92\x01\x92\x04\x93\xca\x00\x00\x00\x00\x02\x03"),
  FRAME ("string for a file", "\x92\x03\x93\x01\xa1x\xa1y"),
  FRAME ("file longer than the frame", "\x92\x03\x93\x01\xc4\x01x\xc6\xff\xff\xff\xff"),
  FRAME ("node above 48 bits", "\x92\x00\x92\x01\xcf\x00\x01\x00\x00\x00\x00\x00\x00"),
  FRAME ("reserved byte", "\xc1"),
  FRAME ("17 slots, limit 16", "\x92\x01\x92\x07\x93\x01\x01\xdc\x00\x11" SLOTS_17),
#undef FRAME
};

START_TEST (test_invalid_frames_are_rejected_with_an_error)
{
  anvil_frame_t *frame = g_new (anvil_frame_t, 1);

  for (gsize i = 0; i < G_N_ELEMENTS (invalid_frames); i++)
    {
      anvil_str_t bytes = { .data = invalid_frames[i].bytes, .length = invalid_frames[i].length };
      GError *error = NULL;

      ck_assert_msg (!anvil_frame_unpack (bytes, frame, &error), "accepted: %s",
                     invalid_frames[i].description);
      ck_assert_msg (error != NULL && strchr (error->message, '\n') == NULL, "no reason: %s",
                     invalid_frames[i].description);
      g_error_free (error);
    }
  g_free (frame);
}
END_TEST

START_TEST (test_frames_exceeding_depth_or_object_limit_are_rejected)
{
  anvil_frame_t *frame = g_new (anvil_frame_t, 1);
  GByteArray *deep = g_byte_array_new ();
  GByteArray *wide = g_byte_array_new ();

  for (guint i = 0; i < 100000; i++)
    g_byte_array_append (deep, (const guint8 *) "\x91", 1);
  g_byte_array_append (deep, (const guint8 *) "\x01", 1);
  ck_assert (!anvil_frame_unpack (view (deep), frame, NULL));

  /* 64 arrays of 64 arrays of 2 items: too many objects, but within the other limits. */
  g_byte_array_append (wide, (const guint8 *) "\xdc\x00\x40", 3);
  for (guint i = 0; i < 64; i++)
    {
      g_byte_array_append (wide, (const guint8 *) "\xdc\x00\x40", 3);
      for (guint j = 0; j < 64; j++)
        g_byte_array_append (wide, (const guint8 *) "\x92\x01\x01", 3);
    }
  ck_assert (!anvil_frame_unpack (view (wide), frame, NULL));
  ck_assert (!anvil_frame_check_bounds (view (wide)));
  ck_assert (!anvil_frame_check_bounds (view (deep)));
  g_byte_array_unref (deep);
  g_byte_array_unref (wide);
  g_free (frame);
}
END_TEST

/* The check before unpacking, which allocates nothing, rejects them. */
START_TEST (test_excessive_array_lengths_are_rejected_before_allocation)
{
  GByteArray *bytes = g_byte_array_new ();

  g_byte_array_append (bytes, (const guint8 *) "\xdc\x00\x41", 3);
  for (guint i = 0; i < 65; i++)
    g_byte_array_append (bytes, (const guint8 *) "\x01", 1);
  ck_assert (!anvil_frame_check_bounds (view (bytes)));
  g_byte_array_set_size (bytes, 0);
  g_byte_array_append (bytes, (const guint8 *) "\x01\x01", 2);
  ck_assert (!anvil_frame_check_bounds (view (bytes)));
  g_byte_array_set_size (bytes, 1);
  ck_assert (anvil_frame_check_bounds (view (bytes)));
  g_byte_array_unref (bytes);
}
END_TEST

START_TEST (test_hello_and_configuration_round_trip)
{
  anvil_frame_t hello
      = { .kind = ANVIL_FRAME_HELLO, .hello = { .version = 77, .node = anvil_node (1, 2) } };
  anvil_frame_t config = {
    .kind = ANVIL_FRAME_CONFIG,
    .config = { .generation = 9, .head = anvil_str ("{}"), .file = { .data = "a\0b", .length = 3 } }
  };
  anvil_frame_t *received = g_new (anvil_frame_t, 1);
  GByteArray *bytes = g_byte_array_new ();

  anvil_frame_pack (&hello, bytes);
  ck_assert (anvil_frame_unpack (view (bytes), received, NULL));
  ck_assert_uint_eq (received->hello.version, 77);
  ck_assert_uint_eq (received->hello.node, anvil_node (1, 2));
  g_byte_array_set_size (bytes, 0);
  anvil_frame_pack (&config, bytes);
  ck_assert (anvil_frame_unpack (view (bytes), received, NULL));
  ck_assert_uint_eq (received->config.generation, 9);
  ck_assert (anvil_str_equal (received->config.head, config.config.head));
  ck_assert (anvil_str_equal (received->config.file, config.config.file));
  g_byte_array_unref (bytes);
  g_free (received);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("codec");
  TCase *tcase = tcase_create ("codec");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_loop_test (tcase, test_messages_round_trip, ANVIL_MESSAGE_GOSSIP,
                       ANVIL_MESSAGE_LOAN_RETURN + 1);
  tcase_add_loop_test (tcase, test_frames_truncated_at_any_byte_are_rejected, ANVIL_MESSAGE_GOSSIP,
                       ANVIL_MESSAGE_LOAN_RETURN + 1);
  tcase_add_loop_test (tcase, test_corrupted_frames_never_exceed_array_limits, ANVIL_MESSAGE_GOSSIP,
                       ANVIL_MESSAGE_LOAN_RETURN + 1);
  tcase_add_test (tcase, test_invalid_frames_are_rejected_with_an_error);
  tcase_add_test (tcase, test_frames_exceeding_depth_or_object_limit_are_rejected);
  tcase_add_test (tcase, test_excessive_array_lengths_are_rejected_before_allocation);
  tcase_add_test (tcase, test_hello_and_configuration_round_trip);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
