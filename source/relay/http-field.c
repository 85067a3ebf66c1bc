#include "relay/http-field.h"

#include <string.h>

gboolean
anvil_field_is (anvil_str_t name, const char *wanted)
{
  gsize length = strlen (wanted);

  return name.length == length && g_ascii_strncasecmp (name.data, wanted, length) == 0;
}

gboolean
anvil_field_of_connection (anvil_str_t name)
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
      if (anvil_field_is (name, names[i]))
        return TRUE;
    }
  return FALSE;
}

static anvil_str_t
strip (anvil_str_t text)
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

gboolean
anvil_field_has_token (anvil_str_t value, const char *token)
{
  while (value.length > 0)
    {
      const char *comma = memchr (value.data, ',', value.length);
      gsize length = comma != NULL ? (gsize) (comma - value.data) : value.length;

      if (anvil_field_is (strip ((anvil_str_t){ .data = value.data, .length = length }), token))
        return TRUE;
      if (comma == NULL)
        return FALSE;
      value.data += length + 1;
      value.length -= length + 1;
    }
  return FALSE;
}

gboolean
anvil_field_number (anvil_str_t value, gint64 *number)
{
  char *text = anvil_str_dup (strip (value));
  gboolean valid = g_ascii_string_to_signed (text, 10, 0, G_MAXINT64, number, NULL);

  g_free (text);
  return valid;
}

void
anvil_field_append (GString *out, anvil_str_t name, anvil_str_t value)
{
  g_string_append_len (out, name.data, (gssize) name.length);
  g_string_append (out, ": ");
  g_string_append_len (out, value.data, (gssize) value.length);
  g_string_append (out, "\r\n");
}
