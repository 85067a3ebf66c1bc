#pragma once

#include <glib.h>

/*
 * Checks the heads of HTTP/1 responses.
 *
 * The parser library accepts more than the protocol does (RFC 9112): any three digits and fewer as
 * a status, bare CR and LF, lines that are folded, blanks between a name and its colon, and
 * interim responses without end. What isn't a response by the protocol is noticed here, before the
 * parser sees it, so that the request's fate is known at once. Left to the parser: the body, with
 * its chunk sizes, extensions and trailers.
 *
 * One thing is accepted that the protocol doesn't allow: a status line without the space behind its
 * status, which some servers leave out together with the reason phrase.
 */

/* Most interim responses before the final one, and most bytes of their heads. */
#define ANVIL_HTTP_MAX_INTERIM_RESPONSES 8
#define ANVIL_HTTP_MAX_INTERIM_BYTES (16u << 10)

/** anvil_http_head_result_t - state of a check */
typedef enum
{
  ANVIL_HTTP_HEAD_PARTIAL,
  ANVIL_HTTP_HEAD_COMPLETE,
  ANVIL_HTTP_HEAD_INVALID,
} anvil_http_head_result_t;

/**
 * anvil_http_head_t - check of the responses to one request; zero-initialised for the first one
 * @problem: what the protocol doesn't allow, once the check has failed; a static text
 * @status: status of the current response, 0 until it is known
 */
typedef struct
{
  const char *problem;
  guint status;
  guint state;
  guint n_digits;
  gboolean is_http_1_0;
  char name[20];
  guint name_length;
  guint64 content_length;
  guint n_length_digits;
  guint n_content_lengths;
  guint n_transfer_encodings;
  char coding[8];
  guint coding_length;
  guint n_interim;
  gsize interim_bytes;
} anvil_http_head_t;

/**
 * anvil_http_head_feed - checks bytes up to the end of the head
 * @consumed: number of bytes that belong to the head
 *
 * After ANVIL_HTTP_HEAD_COMPLETE the next call begins with the next head.
 */
anvil_http_head_result_t
anvil_http_head_feed (anvil_http_head_t *head, const char *bytes, gsize length, gsize *consumed);

/** anvil_http_status_is_final - whether a status ends a response: 200 to 599 */
gboolean anvil_http_status_is_final (guint status);
