#include "http-headers.h"

#include <string.h>
#include <strings.h>
#include <sys/queue.h>

#include <event2/keyvalq_struct.h>

/* Hop-by-hop headers, and those that evhttp writes itself. */
static const char *const hop_headers[]
    = { "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "TE",
        "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length",     "Expect" };

guint
anvil_headers_count (const struct evkeyvalq *headers, const char *name)
{
  guint n = 0;

  for (const struct evkeyval *header = TAILQ_FIRST (headers); header != NULL;
       header = TAILQ_NEXT (header, next))
    n += strcasecmp (header->key, name) == 0;
  return n;
}

static gboolean
is_hop_header (const char *name)
{
  for (gsize i = 0; i < G_N_ELEMENTS (hop_headers); i++)
    {
      if (strcasecmp (hop_headers[i], name) == 0)
        return TRUE;
    }
  return FALSE;
}

void
anvil_headers_copy_end_to_end (const struct evkeyvalq *from, struct evkeyvalq *to)
{
  for (const struct evkeyval *header = TAILQ_FIRST (from); header != NULL;
       header = TAILQ_NEXT (header, next))
    {
      if (!is_hop_header (header->key))
        evhttp_add_header (to, header->key, header->value);
    }
}

/* Whether a header name is a token as defined by RFC 9110. "Content-Length " with a space is not.
 */
static gboolean
is_token (const char *text)
{
  if (*text == '\0')
    return FALSE;
  for (; *text != '\0'; text++)
    {
      if (!g_ascii_isalnum (*text) && strchr ("!#$%&'*+-.^_`|~", *text) == NULL)
        return FALSE;
    }
  return TRUE;
}

static gboolean
is_number (const char *text)
{
  return *text != '\0' && strspn (text, "0123456789") == strlen (text);
}

const char *
anvil_headers_validate (const struct evkeyvalq *headers)
{
  guint n_lengths = anvil_headers_count (headers, "Content-Length");
  guint n_encodings = anvil_headers_count (headers, "Transfer-Encoding");

  for (const struct evkeyval *header = TAILQ_FIRST (headers); header != NULL;
       header = TAILQ_NEXT (header, next))
    {
      if (!is_token (header->key))
        return "a header name contains an invalid character";
    }
  if (n_lengths > 0 && n_encodings > 0)
    return "Content-Length and Transfer-Encoding must not be combined";
  if (n_lengths > 1)
    return "Content-Length is given more than once";
  if (n_lengths == 1 && !is_number (evhttp_find_header (headers, "Content-Length")))
    return "Content-Length must be a non-negative integer";
  if (n_encodings > 1
      || (n_encodings == 1
          && strcasecmp (evhttp_find_header (headers, "Transfer-Encoding"), "chunked") != 0))
    return "Transfer-Encoding must be \"chunked\"";
  if (anvil_headers_count (headers, "Host") > 1)
    return "Host is given more than once";
  return NULL;
}
