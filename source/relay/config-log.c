#include "relay/config-log.h"

#include <string.h>

#include "relay/text-delta.h"

/* Limits of the changes that are kept. A peer that is further behind reads the store, whose
 * response is then not much larger than the changes. */
#define MAX_CHANGES 64
#define MAX_CHANGES_BYTES (32u << 10)
/* Limit of a text that changes result in. */
#define MAX_TEXT_BYTES (8u << 20)

/**
 * change_t - a change of the log
 * @from_version: version before it
 * @to_version: version after it
 * @delta: difference of the texts
 */
typedef struct
{
  gint64 from_version;
  gint64 to_version;
  GByteArray *delta;
} change_t;

/** packed_change_t - head of a packed change, before its difference; numbers are big-endian */
typedef struct
{
  gint64 from_version;
  gint64 to_version;
  guint64 delta_length;
} packed_change_t;

struct anvil_config_log
{
  gint64 version;
  GByteArray *text;
  /* change_t, oldest first; each starts at the version that the one before results in. */
  GQueue changes;
  gsize n_bytes;
};

static void
change_drop (gpointer data)
{
  change_t *change = data;

  g_byte_array_unref (change->delta);
  g_free (change);
}

anvil_config_log_t *
anvil_config_log_new (void)
{
  anvil_config_log_t *log = g_new0 (anvil_config_log_t, 1);

  log->text = g_byte_array_new ();
  g_queue_init (&log->changes);
  return log;
}

void
anvil_config_log_drop (anvil_config_log_t *log)
{
  if (log == NULL)
    return;
  g_queue_clear_full (&log->changes, change_drop);
  g_byte_array_unref (log->text);
  g_free (log);
}

static anvil_str_t
current_text (const anvil_config_log_t *log)
{
  return (anvil_str_t){ .data = (const char *) log->text->data, .length = log->text->len };
}

static void
add_change (anvil_config_log_t *log, gint64 version, anvil_str_t text, anvil_str_t delta)
{
  change_t *change = g_new0 (change_t, 1);

  change->from_version = log->version;
  change->to_version = version;
  change->delta = g_byte_array_new ();
  if (delta.length > 0)
    g_byte_array_append (change->delta, (const guint8 *) delta.data, (guint) delta.length);
  else
    anvil_text_delta_make (current_text (log), text, change->delta);
  log->n_bytes += change->delta->len;
  g_queue_push_tail (&log->changes, change);
  while (log->n_bytes > MAX_CHANGES_BYTES || g_queue_get_length (&log->changes) > MAX_CHANGES)
    {
      change_t *oldest = g_queue_pop_head (&log->changes);

      log->n_bytes -= oldest->delta->len;
      change_drop (oldest);
    }
}

void
anvil_config_log_set (anvil_config_log_t *log, gint64 version, anvil_str_t text, anvil_str_t delta)
{
  if (log->text->len > 0)
    add_change (log, version, text, delta);
  log->version = version;
  g_byte_array_set_size (log->text, 0);
  g_byte_array_append (log->text, (const guint8 *) text.data, (guint) text.length);
}

static void
pack_change (const change_t *change, GByteArray *out)
{
  const packed_change_t packed = { .from_version = GINT64_TO_BE (change->from_version),
                                   .to_version = GINT64_TO_BE (change->to_version),
                                   .delta_length = GUINT64_TO_BE ((guint64) change->delta->len) };

  g_byte_array_append (out, (const guint8 *) &packed, sizeof packed);
  g_byte_array_append (out, change->delta->data, change->delta->len);
}

gboolean
anvil_config_log_changes_since (const anvil_config_log_t *log, gint64 version, GByteArray *out)
{
  const GList *link = log->changes.head;

  if (version == log->version && log->text->len > 0)
    return TRUE;
  while (link != NULL && ((const change_t *) link->data)->from_version != version)
    link = link->next;
  if (link == NULL)
    return FALSE;
  for (; link != NULL; link = link->next)
    pack_change (link->data, out);
  return TRUE;
}

void
anvil_config_log_pack_whole (const anvil_config_log_t *log, gsize max_bytes, GByteArray *out)
{
  change_t whole = { .to_version = log->version };

  if (log->text->len > max_bytes)
    return;
  whole.delta = g_byte_array_new ();
  anvil_text_delta_make ((anvil_str_t){ 0 }, current_text (log), whole.delta);
  pack_change (&whole, out);
  g_byte_array_unref (whole.delta);
}

gboolean
anvil_config_change_unpack (anvil_str_t *changes, anvil_config_change_t *change)
{
  packed_change_t packed;
  guint64 length;

  if (changes->length < sizeof packed)
    return FALSE;
  memcpy (&packed, changes->data, sizeof packed);
  length = GUINT64_FROM_BE (packed.delta_length);
  if (length > changes->length - sizeof packed)
    return FALSE;
  *change = (anvil_config_change_t){
    .from_version = GINT64_FROM_BE (packed.from_version),
    .to_version = GINT64_FROM_BE (packed.to_version),
    .delta = { .data = changes->data + sizeof packed, .length = (gsize) length },
  };
  changes->data += sizeof packed + length;
  changes->length -= sizeof packed + length;
  return TRUE;
}

GByteArray *
anvil_config_log_apply (const anvil_config_log_t *log, const anvil_config_change_t *change)
{
  const gboolean whole = change->from_version == 0;
  anvil_str_t from = { 0 };
  GByteArray *text = g_byte_array_new ();

  if (!whole)
    from = current_text (log);
  if ((whole || change->from_version == log->version)
      && anvil_text_delta_apply (from, change->delta, MAX_TEXT_BYTES, text))
    return text;
  g_byte_array_unref (text);
  return NULL;
}
