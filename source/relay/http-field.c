#include "relay/http-field.h"

#include <string.h>

gboolean
anvil_http_field_name_is (anvil_str_t name, const char *wanted)
{
  gsize length = strlen (wanted);

  return name.length == length && g_ascii_strncasecmp (name.data, wanted, length) == 0;
}

gboolean
anvil_http_field_is_hop_by_hop (anvil_str_t name)
{
  static const char *const names[] = { "Connection",
                                       "Keep-Alive",
                                       "Proxy-Connection",
                                       "Proxy-Authorization",
                                       "TE",
                                       "Trailer",
                                       "Transfer-Encoding",
                                       "Upgrade",
                                       "Expect",
                                       "Proxy-Authenticate",
                                       "Content-Length" };

  for (gsize i = 0; i < G_N_ELEMENTS (names); i++)
    {
      if (anvil_http_field_name_is (name, names[i]))
        return TRUE;
    }
  return FALSE;
}

anvil_str_t
anvil_http_trim_blanks (anvil_str_t text)
{
  while (text.length > 0 && (text.data[0] == ' ' || text.data[0] == '\t'))
    {
      text.data++;
      text.length--;
    }
  while (text.length > 0
         && (text.data[text.length - 1] == ' ' || text.data[text.length - 1] == '\t'))
    text.length--;
  return text;
}

void
anvil_http_field_foreach_token (anvil_str_t value, anvil_http_token_cb_t visit, void *context)
{
  while (value.length > 0)
    {
      const char *comma = memchr (value.data, ',', value.length);
      gsize length = comma != NULL ? (gsize) (comma - value.data) : value.length;

      visit (context,
             anvil_http_trim_blanks ((anvil_str_t){ .data = value.data, .length = length }));
      if (comma == NULL)
        return;
      value.data += length + 1;
      value.length -= length + 1;
    }
}

/** search_t - state of a search for a token in a list */
typedef struct
{
  const char *token;
  gboolean found;
} search_t;

static void
compare_token (void *context, anvil_str_t token)
{
  search_t *search = context;

  search->found |= anvil_http_field_name_is (token, search->token);
}

gboolean
anvil_http_field_has_token (anvil_str_t value, const char *token)
{
  search_t search = { .token = token };

  anvil_http_field_foreach_token (value, compare_token, &search);
  return search.found;
}

static gboolean
is_token_character (char character)
{
  return g_ascii_isalnum (character)
         || (character != '\0' && strchr ("!#$%&'*+-.^_`|~", character) != NULL);
}

gboolean
anvil_http_field_is_valid (anvil_str_t name, anvil_str_t value)
{
  for (gsize i = 0; i < name.length; i++)
    {
      if (!is_token_character (name.data[i]))
        return FALSE;
    }
  for (gsize i = 0; i < value.length; i++)
    {
      if (g_ascii_iscntrl (value.data[i]) && value.data[i] != '\t')
        return FALSE;
    }
  return name.length > 0;
}

void
anvil_http_fields_remove (GString *fields, anvil_str_t name)
{
  gsize offset = 0;

  while (offset < fields->len)
    {
      const char *line = fields->str + offset;
      const char *colon = memchr (line, ':', fields->len - offset);
      const char *end = memchr (line, '\n', fields->len - offset);
      gsize length = end != NULL ? (gsize) (end - line) + 1 : fields->len - offset;

      if (colon != NULL && (gsize) (colon - line) == name.length
          && g_ascii_strncasecmp (line, name.data, name.length) == 0)
        g_string_erase (fields, (gssize) offset, (gssize) length);
      else
        offset += length;
    }
}

gboolean
anvil_http_field_parse_number (anvil_str_t value, gint64 *number)
{
  char *text = anvil_str_dup (anvil_http_trim_blanks (value));
  gboolean valid = g_ascii_string_to_signed (text, 10, 0, G_MAXINT64, number, NULL);

  g_free (text);
  return valid;
}

void
anvil_http_field_append (GString *out, anvil_str_t name, anvil_str_t value)
{
  g_string_append_len (out, name.data, (gssize) name.length);
  g_string_append (out, ": ");
  g_string_append_len (out, value.data, (gssize) value.length);
  g_string_append (out, "\r\n");
}
