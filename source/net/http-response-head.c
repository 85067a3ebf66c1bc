#include "net/http-response-head.h"

#include <string.h>

#define MIN_FINAL_STATUS 200
#define MAX_FINAL_STATUS 599
#define MIN_INTERIM_STATUS 100
#define STATUS_SWITCHING_PROTOCOLS 101
#define STATUS_NO_CONTENT 204
/* Digits of a length that can't overflow 64 bits. */
#define MAX_LENGTH_DIGITS 18
#define STATUS_DIGITS 3

/* Where in a head the next byte is. The first states are the characters of "HTTP/1.". */
enum
{
  IN_VERSION = 0,
  IN_MINOR_VERSION = 7,
  BEFORE_STATUS,
  IN_STATUS,
  IN_REASON,
  AFTER_STATUS_LINE_CR,
  AT_LINE_START,
  IN_NAME,
  IN_VALUE,
  AFTER_FIELD_CR,
  AFTER_LAST_CR,
};

gboolean
anvil_http_status_is_final (guint status)
{
  return status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS;
}

static gboolean
is_token_char (char c)
{
  return g_ascii_isalnum (c) || (c != '\0' && strchr ("!#$%&'*+-.^_`|~", c) != NULL);
}

/* Whether a field's value or a reason phrase may have this byte. */
static gboolean
is_text_char (char c)
{
  return c == '\t' || ((guchar) c >= 0x20 && c != 0x7f);
}

static gboolean
name_is (const anvil_http_head_t *head, const char *name)
{
  return head->name_length == strlen (name)
         && g_ascii_strncasecmp (head->name, name, head->name_length) == 0;
}

/* The functions below return what the protocol doesn't allow, or NULL. */

static const char *
check_status (const anvil_http_head_t *head)
{
  if (head->n_digits != STATUS_DIGITS)
    return "status without three digits";
  if (head->status == STATUS_SWITCHING_PROTOCOLS)
    return "switch of protocols that was not asked for";
  if (head->status < MIN_INTERIM_STATUS || head->status > MAX_FINAL_STATUS)
    return "status outside of 100 to 599";
  return NULL;
}

static const char *
add_length_char (anvil_http_head_t *head, char c)
{
  if (c == ' ' || c == '\t')
    return NULL;
  if (!g_ascii_isdigit (c))
    return "Content-Length that isn't a number";
  head->n_length_digits++;
  head->content_length = head->content_length * 10 + (guint64) (c - '0');
  return head->n_length_digits > MAX_LENGTH_DIGITS ? "Content-Length that overflows" : NULL;
}

static const char *
add_coding_char (anvil_http_head_t *head, char c)
{
  if (c == ' ' || c == '\t')
    return NULL;
  if (head->coding_length == sizeof head->coding)
    return "transfer coding other than chunked";
  head->coding[head->coding_length++] = c;
  return NULL;
}

static const char *
add_value_char (anvil_http_head_t *head, char c)
{
  if (!is_text_char (c))
    return "control character in a field";
  if (name_is (head, "Content-Length"))
    return add_length_char (head, c);
  if (name_is (head, "Transfer-Encoding"))
    return add_coding_char (head, c);
  return NULL;
}

static void
begin_value (anvil_http_head_t *head)
{
  if (name_is (head, "Content-Length"))
    head->n_content_lengths++;
  else if (name_is (head, "Transfer-Encoding"))
    head->n_transfer_encodings++;
}

static const char *
check_framing (const anvil_http_head_t *head)
{
  const gboolean has_no_body = head->status < MIN_FINAL_STATUS || head->status == STATUS_NO_CONTENT;

  if (head->n_content_lengths > 1)
    return "two lengths";
  if (head->n_content_lengths == 1 && head->n_length_digits == 0)
    return "Content-Length that isn't a number";
  if (head->n_transfer_encodings > 0 && head->n_content_lengths > 0)
    return "length with a transfer coding";
  if (head->n_transfer_encodings > 1
      || (head->n_transfer_encodings == 1
          && (head->coding_length != strlen ("chunked")
              || g_ascii_strncasecmp (head->coding, "chunked", head->coding_length) != 0)))
    return "transfer coding other than chunked";
  if (head->n_transfer_encodings > 0 && (head->is_http_1_0 || has_no_body))
    return "transfer coding in a response that can't have one";
  if (has_no_body && head->content_length > 0)
    return "length of a body that the response can't have";
  return NULL;
}

/* Ends a head. */
static const char *
finish (anvil_http_head_t *head)
{
  const char *problem = check_framing (head);

  if (problem == NULL && !anvil_http_status_is_final (head->status)
      && ++head->n_interim > ANVIL_HTTP_MAX_INTERIM_RESPONSES)
    problem = "too many interim responses";
  return problem;
}

static const char *
check_version_char (anvil_http_head_t *head, char c)
{
  if (head->state < IN_MINOR_VERSION)
    return c == "HTTP/1."[head->state++] ? NULL : "not a status line of HTTP/1";
  head->state = BEFORE_STATUS;
  head->is_http_1_0 = c == '0';
  return c == '0' || c == '1' ? NULL : "not a status line of HTTP/1";
}

static const char *
check_status_line_char (anvil_http_head_t *head, char c)
{
  switch (head->state)
    {
    case BEFORE_STATUS:
      head->state = IN_STATUS;
      return c == ' ' ? NULL : "not a status line of HTTP/1";
    case IN_STATUS:
      if (g_ascii_isdigit (c) && head->n_digits < STATUS_DIGITS)
        {
          head->n_digits++;
          head->status = head->status * 10 + (guint) (c - '0');
          return NULL;
        }
      head->state = c == ' ' ? IN_REASON : AFTER_STATUS_LINE_CR;
      if (c != ' ' && c != '\r')
        return "status that isn't a number of three digits";
      return check_status (head);
    case IN_REASON:
      if (c == '\r')
        head->state = AFTER_STATUS_LINE_CR;
      return c == '\r' || is_text_char (c) ? NULL : "control character in a status line";
    default:
      head->state = AT_LINE_START;
      return c == '\n' ? NULL : "CR without LF";
    }
}

static const char *
check_field_char (anvil_http_head_t *head, char c)
{
  switch (head->state)
    {
    case AT_LINE_START:
      if (c == '\r')
        {
          head->state = AFTER_LAST_CR;
          return NULL;
        }
      head->state = IN_NAME;
      head->name_length = 0;
      /* fall through */
    case IN_NAME:
      if (c == ':' && head->name_length > 0)
        {
          head->state = IN_VALUE;
          begin_value (head);
          return NULL;
        }
      if (!is_token_char (c))
        return "line that isn't a field";
      /* A longer name than the buffer is none of those that are looked at. */
      if (head->name_length < sizeof head->name)
        head->name[head->name_length++] = c;
      return NULL;
    case IN_VALUE:
      if (c != '\r')
        return add_value_char (head, c);
      head->state = AFTER_FIELD_CR;
      return NULL;
    default:
      head->state = AT_LINE_START;
      return c == '\n' ? NULL : "CR without LF";
    }
}

static const char *
check_char (anvil_http_head_t *head, char c)
{
  if (head->state <= IN_MINOR_VERSION)
    return check_version_char (head, c);
  if (head->state < AT_LINE_START)
    return check_status_line_char (head, c);
  return check_field_char (head, c);
}

/* Keeps what is counted over all responses to a request. */
static void
begin_next (anvil_http_head_t *head)
{
  *head = (anvil_http_head_t){ .n_interim = head->n_interim, .interim_bytes = head->interim_bytes };
}

anvil_http_head_result_t
anvil_http_head_feed (anvil_http_head_t *head, const char *bytes, gsize length, gsize *consumed)
{
  *consumed = 0;
  if (head->problem != NULL)
    return ANVIL_HTTP_HEAD_INVALID;
  while (*consumed < length && head->problem == NULL)
    {
      const char c = bytes[(*consumed)++];

      if (head->state == AFTER_LAST_CR)
        {
          head->problem = c == '\n' ? finish (head) : "CR without LF";
          if (head->problem != NULL)
            break;
          begin_next (head);
          return ANVIL_HTTP_HEAD_COMPLETE;
        }
      head->problem = check_char (head, c);
      if (head->problem == NULL && head->status > 0 && head->status < MIN_FINAL_STATUS
          && head->state > IN_STATUS && ++head->interim_bytes > ANVIL_HTTP_MAX_INTERIM_BYTES)
        head->problem = "interim responses that are too long";
    }
  return head->problem != NULL ? ANVIL_HTTP_HEAD_INVALID : ANVIL_HTTP_HEAD_PARTIAL;
}
