#pragma once

#include "anvil/message.h"

/* Limits on a received frame, apart from its length. */
#define ANVIL_MAX_FRAME_DEPTH 8
#define ANVIL_MAX_FRAME_ARRAY_LENGTH 64
#define ANVIL_MAX_FRAME_OBJECTS 4096
/* Largest head record of a configuration, bytes. */
#define ANVIL_MAX_HEAD_BYTES 4096

/**
 * anvil_frame_kind_t - type of a frame between two entries
 * @ANVIL_FRAME_HELLO: first frame of a link; identifies the sender
 * @ANVIL_FRAME_MESSAGE: a message between the decision cores
 * @ANVIL_FRAME_CONFIG_REQUEST: requests the file of a generation or of a newer one
 * @ANVIL_FRAME_CONFIG: a configuration file with its head record
 * @ANVIL_FRAME_RELAY_MESSAGE: a packed message between anvil-relay processes, see
 *   relay/relay-message.h
 */
typedef enum
{
  ANVIL_FRAME_HELLO = 0,
  ANVIL_FRAME_MESSAGE = 1,
  ANVIL_FRAME_CONFIG_REQUEST = 2,
  ANVIL_FRAME_CONFIG = 3,
  ANVIL_FRAME_RELAY_MESSAGE = 4,
} anvil_frame_kind_t;

/** anvil_hello_t - the sender of a link and the version of its protocol */
typedef struct
{
  guint64 version;
  anvil_node_t node;
} anvil_hello_t;

/** anvil_config_frame_t - a file and its head record; views into the unpacked frame */
typedef struct
{
  guint64 generation;
  anvil_str_t head;
  anvil_str_t file;
} anvil_config_frame_t;

/**
 * anvil_frame_t - one frame between two entries, without its length prefix
 * @config_request: generation requested
 */
typedef struct
{
  anvil_frame_kind_t kind;
  union
  {
    anvil_hello_t hello;
    anvil_message_t message;
    guint64 config_request;
    anvil_config_frame_t config;
    anvil_str_t relay_message;
  };
} anvil_frame_t;

/** anvil_frame_pack - appends a frame as msgpack */
void anvil_frame_pack (const anvil_frame_t *frame, GByteArray *out);

/**
 * anvil_frame_unpack - parses one complete frame
 * @bytes: the frame and nothing else
 * @frame: result; its views point into @bytes
 * @error: the record and field that are invalid, and what was expected
 *
 * Depth, array lengths and the number of objects are checked before anything
 * is allocated for them, then the type and range of every field.
 *
 * Return: FALSE if the frame is invalid.
 */
gboolean anvil_frame_unpack (anvil_str_t bytes, anvil_frame_t *frame, GError **error);
