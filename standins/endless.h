#pragma once

#include <event2/http.h>
#include <glib.h>

/* Messages that never end, shared by the stand-ins and the tests. */

/**
 * endless_message_t - a place of an HTTP message at which bytes go on without end
 * @name: name of the place
 * @start_line: TRUE if the message begins with a start line and header fields
 * @start: bytes after the start line and the fields
 * @piece: bytes that are repeated then
 */
typedef struct
{
  const char *name;
  gboolean start_line;
  const char *start;
  const char *piece;
} endless_message_t;

/** endless_messages - all places; loop tests use them by index. The last item has no name */
#define ENDLESS_N_MESSAGES 10
extern const endless_message_t endless_messages[ENDLESS_N_MESSAGES + 1];

/** endless_find_fault - the message of a fault "endless-NAME" of a stand-in, or NULL */
const endless_message_t *endless_find_fault (const char *fault);

/** endless_start - bytes before the repeated ones; @start_line and @fields end with a line break.
 * Free it with g_free() */
char *endless_start (const endless_message_t *message, const char *start_line, const char *fields);

/** endless_block - the repeated piece, many times over; free it with g_free() */
char *endless_block (const endless_message_t *message, gsize *length);

/** endless_respond - sends such a response past evhttp, until the caller closes the connection */
void endless_respond (struct evhttp_request *request,
                      const endless_message_t *message,
                      const char *fields);
