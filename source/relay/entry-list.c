#include "relay/entry-list.h"

#include "anvil/error.h"
#include "anvil/log.h"
#include "anvil/settings.h"

/* Table of the entries' addresses, and the pause after a failed call to it. */
#define TABLE "entries"
#define RETRY_PAUSE (1 * ANVIL_SECOND)
/* Time between two reads: it doubles from the first to the second value after each write, since
 * calls that change rows may be performed seconds late. */
#define MIN_READ_PERIOD (2 * ANVIL_SECOND)
#define MAX_READ_PERIOD (60 * ANVIL_SECOND)
/* After the store has come back from an older copy, all entries write their addresses again within
 * this time. */
#define REWRITE_SPREAD (1 * ANVIL_SECOND)
/* A write of this entry that the store performs late may change the row before it is removed. */
#define MAX_REMOVALS 3

struct anvil_entry_list
{
  anvil_store_t *store;
  const anvil_relay_settings_t *settings;
  anvil_members_t *members;
  struct event *timer;
  gboolean written;
  gboolean read;
  gboolean stopping;
  guint n_removals;
  anvil_time_t read_period;
  /* Version of the row as it was read last; 0 if it wasn't in the list. */
  guint64 own_version;
};

static void on_read (void *context, const anvil_store_page_t *page, const GError *error);

static void
schedule (anvil_entry_list_t *list, anvil_time_t pause)
{
  const struct timeval time = anvil_time_to_timeval (pause);

  evtimer_add (list->timer, &time);
}

static void
read_list (anvil_entry_list_t *list)
{
  anvil_store_read (list->store, TABLE, NULL, NULL, on_read, list);
}

static void
on_removed (void *context, const GError *error)
{
  anvil_entry_list_t *list = context;

  if (error == NULL)
    return;
  anvil_log (ANVIL_LOG_NOTICE, "relay",
             "cannot remove own address version=%" G_GUINT64_FORMAT " reason=\"%s\"",
             list->own_version, error->message);
  if (g_error_matches (error, ANVIL_ERROR, ANVIL_ERROR_CONFLICT) && list->n_removals < MAX_REMOVALS)
    read_list (list);
}

static void
remove_own (anvil_entry_list_t *list)
{
  list->n_removals++;
  anvil_store_remove (list->store, TABLE, list->settings->vm, list->own_version, on_removed, list);
}

static void
add_member (anvil_entry_list_t *list, const anvil_store_row_t *row)
{
  char *text = anvil_str_dup (row->value);
  guint32 address;
  guint16 port;

  if (anvil_endpoint_parse (text, &address, &port) && port != 0)
    anvil_members_add (list->members, anvil_clock_now (), anvil_node (address, port));
  else
    anvil_log (ANVIL_LOG_WARNING, "relay", "row is not a valid entry address key=%.*s",
               ANVIL_STR_ARGS (row->key));
  g_free (text);
}

/* Whether the address that the store has confirmed is gone: it came back from an older copy, or
 * performed a removal late. */
static gboolean
lacks_own_address (const anvil_entry_list_t *list, const anvil_store_page_t *page)
{
  return list->written && list->own_version == 0 && !page->has_more;
}

/* The pause until the next read. */
static anvil_time_t
next_read_pause (anvil_entry_list_t *list)
{
  const anvil_time_t pause = list->read_period;

  list->read_period = MIN (2 * pause, MAX_READ_PERIOD);
  return pause;
}

static void
take_page (anvil_entry_list_t *list, const anvil_store_page_t *page)
{
  list->own_version = 0;
  for (guint i = 0; i < page->n_rows; i++)
    {
      if (anvil_str_equal (page->rows[i].key, anvil_str (list->settings->vm)))
        list->own_version = page->rows[i].version;
      add_member (list, &page->rows[i]);
    }
}

static void
on_read (void *context, const anvil_store_page_t *page, const GError *error)
{
  anvil_entry_list_t *list = context;

  if (error != NULL)
    {
      anvil_log (ANVIL_LOG_NOTICE, "relay",
                 "cannot read the addresses of other entries reason=\"%s\"", error->message);
      schedule (list, RETRY_PAUSE);
      return;
    }
  take_page (list, page);
  if (list->stopping)
    {
      if (list->own_version != 0)
        remove_own (list);
      return;
    }
  if (lacks_own_address (list, page))
    {
      anvil_log (ANVIL_LOG_NOTICE, "relay",
                 "own address is missing in the store, writing it again");
      list->written = FALSE;
    }
  list->read = TRUE;
  anvil_members_list_read (list->members);
  schedule (list, list->written ? next_read_pause (list) : RETRY_PAUSE);
}

/* If the store takes no writes, the list is read once all the same. */
static void
on_written (void *context, const GError *error)
{
  anvil_entry_list_t *list = context;

  if (error != NULL)
    {
      anvil_log (ANVIL_LOG_NOTICE, "relay", "cannot write own address reason=\"%s\"",
                 error->message);
      if (list->read)
        {
          schedule (list, RETRY_PAUSE);
          return;
        }
    }
  list->written = error == NULL;
  list->read_period = MIN_READ_PERIOD;
  read_list (list);
}

static void
write_own (anvil_entry_list_t *list)
{
  const anvil_relay_endpoint_t *endpoint = &list->settings->peer_endpoint;
  char *text = anvil_endpoint_format (endpoint->address, endpoint->port);
  const anvil_str_t value = anvil_str (text);

  anvil_store_put (list->store, TABLE, list->settings->vm, &value, on_written, list);
  g_free (text);
}

static void
on_timer (evutil_socket_t unused_fd, short unused_what, void *data)
{
  anvil_entry_list_t *list = data;

  if (list->stopping || list->written)
    read_list (list);
  else
    write_own (list);
}

anvil_entry_list_t *
anvil_entry_list_open (struct event_base *base,
                       anvil_store_t *store,
                       const anvil_relay_settings_t *settings,
                       anvil_members_t *members)
{
  anvil_entry_list_t *list = g_new0 (anvil_entry_list_t, 1);

  list->store = store;
  list->settings = settings;
  list->members = members;
  list->read_period = MIN_READ_PERIOD;
  list->timer = evtimer_new (base, on_timer, list);
  schedule (list, 0);
  return list;
}

void
anvil_entry_list_close (anvil_entry_list_t *list)
{
  if (list == NULL)
    return;
  event_free (list->timer);
  g_free (list);
}

void
anvil_entry_list_rewrite (anvil_entry_list_t *list)
{
  if (list->stopping)
    return;
  list->written = FALSE;
  schedule (list, g_random_int_range (0, (gint32) REWRITE_SPREAD));
}

void
anvil_entry_list_remove (anvil_entry_list_t *list)
{
  list->stopping = TRUE;
  evtimer_del (list->timer);
  if (list->own_version != 0)
    remove_own (list);
  else
    read_list (list);
}
