#include "relay/table-follower.h"

#include "anvil/error.h"
#include "anvil/log.h"

/* Pause after a failed call: first, and at most. A store that comes back is seen within the
 * longest, and a fleet that retries stays below its usual rate of calls. */
#define FIRST_RETRY (200 * ANVIL_MS)
#define LONGEST_RETRY (500 * ANVIL_MS)
/* Least pause between two calls that the store may hold: it answers at once while rows change. */
#define LEAST_PAUSE (50 * ANVIL_MS)

/**
 * call_t - a call under way
 * @follower: NULL once its answer isn't wanted any more
 */
typedef struct
{
  anvil_table_follower_t *follower;
} call_t;

struct anvil_table_follower
{
  anvil_store_t *store;
  call_t *call;
  const char *table;
  anvil_time_t wait;
  anvil_time_t period;
  anvil_table_events_t events;
  void *context;
  struct event *next_call;
  /* Version that is followed from, and that of the first page of a whole read. */
  guint64 version;
  gboolean ready;
  gboolean must_read;
  char *read_from;
  gboolean away;
  anvil_time_t retry;
  anvil_time_t asked_at;
  anvil_time_t read_at;
};

static void
call_after (anvil_table_follower_t *follower, anvil_time_t pause)
{
  const struct timeval time = anvil_time_to_timeval (pause);

  evtimer_add (follower->next_call, &time);
}

static void
on_failure (anvil_table_follower_t *follower, const GError *error)
{
  if (g_error_matches (error, ANVIL_ERROR, ANVIL_ERROR_NOT_FOUND))
    {
      anvil_log (ANVIL_LOG_NOTICE, "store",
                 "history is gone, table is read whole table=%s version=%" G_GUINT64_FORMAT,
                 follower->table, follower->version);
      follower->must_read = TRUE;
      g_clear_pointer (&follower->read_from, g_free);
      call_after (follower, 0);
      return;
    }
  if (!follower->away)
    {
      follower->away = TRUE;
      follower->retry = FIRST_RETRY;
      anvil_log (ANVIL_LOG_WARNING, "store",
                 "store lost table=%s version=%" G_GUINT64_FORMAT " reason=\"%s\"", follower->table,
                 follower->version, error->message);
      follower->events.lost (follower->context);
    }
  call_after (follower, follower->retry);
  follower->retry = MIN (follower->retry * 2, LONGEST_RETRY);
}

static void
note_success (anvil_table_follower_t *follower)
{
  follower->read_at = follower->asked_at;
  if (!follower->away)
    return;
  follower->away = FALSE;
  anvil_log (ANVIL_LOG_NOTICE, "store", "store answers again table=%s", follower->table);
  follower->events.found (follower->context);
}

static void
tell_rows (anvil_table_follower_t *follower, const anvil_store_page_t *page)
{
  for (guint i = 0; i < page->n_rows; i++)
    follower->events.row (follower->context, &page->rows[i]);
}

/* The key after the last of a page: the read's range includes its start. */
static char *
key_after (anvil_str_t key)
{
  char *text = anvil_str_dup (key);
  char *next = g_strconcat (text, "\x01", NULL);

  g_free (text);
  return next;
}

/* The follower of a call that has ended, or NULL if its answer isn't wanted. */
static anvil_table_follower_t *
take_call (call_t *call)
{
  anvil_table_follower_t *follower = call->follower;

  if (follower != NULL)
    follower->call = NULL;
  g_free (call);
  return follower;
}

static void
on_page (void *context, const anvil_store_page_t *page, const GError *error)
{
  anvil_table_follower_t *follower = take_call (context);

  if (follower == NULL)
    return;
  if (error != NULL)
    {
      on_failure (follower, error);
      return;
    }
  note_success (follower);
  if (follower->read_from == NULL)
    {
      follower->version = page->version;
      follower->events.begin (follower->context);
    }
  tell_rows (follower, page);
  if (page->has_more && page->n_rows > 0)
    {
      char *next = key_after (page->rows[page->n_rows - 1].key);

      g_free (follower->read_from);
      follower->read_from = next;
      call_after (follower, 0);
      return;
    }
  g_clear_pointer (&follower->read_from, g_free);
  follower->must_read = FALSE;
  follower->ready = TRUE;
  follower->events.end (follower->context);
  follower->events.read (follower->context, follower->version);
  call_after (follower, follower->wait > 0 ? 0 : follower->period);
}

static void
on_changes (void *context, const anvil_store_page_t *page, const GError *error)
{
  anvil_table_follower_t *follower = take_call (context);

  if (follower == NULL)
    return;
  if (error != NULL)
    {
      on_failure (follower, error);
      return;
    }
  note_success (follower);
  follower->version = MAX (follower->version, page->version);
  tell_rows (follower, page);
  follower->events.read (follower->context, follower->version);
  call_after (follower, follower->wait > 0 ? LEAST_PAUSE : follower->period);
}

static void
on_next_call (evutil_socket_t unused_fd, short unused_what, void *data)
{
  anvil_table_follower_t *follower = data;

  /* A store that was lost is asked for an answer at once: a held call that it takes while it is
   * away would only be missed seconds after its return. */
  anvil_time_t wait = follower->away ? 0 : follower->wait;

  follower->asked_at = anvil_clock_now ();
  follower->call = g_new0 (call_t, 1);
  follower->call->follower = follower;
  if (follower->must_read)
    anvil_store_read (follower->store, follower->table, follower->read_from, on_page,
                      follower->call);
  else
    anvil_store_read_changes (follower->store, follower->table, follower->version, wait, on_changes,
                              follower->call);
}

static void
drop_call (anvil_table_follower_t *follower)
{
  if (follower->call != NULL)
    follower->call->follower = NULL;
  follower->call = NULL;
}

void
anvil_table_follower_ask_again (anvil_table_follower_t *follower)
{
  drop_call (follower);
  call_after (follower, 0);
}

void
anvil_table_follower_pause (anvil_table_follower_t *follower)
{
  drop_call (follower);
  evtimer_del (follower->next_call);
}

void
anvil_table_follower_resume (anvil_table_follower_t *follower, guint64 version)
{
  follower->version = MAX (follower->version, version);
  anvil_table_follower_ask_again (follower);
}

anvil_table_follower_t *
anvil_table_follower_open (struct event_base *base,
                           anvil_store_t *store,
                           const char *table,
                           anvil_time_t wait,
                           anvil_time_t period,
                           const anvil_table_events_t *events,
                           void *context)
{
  anvil_table_follower_t *follower = g_new0 (anvil_table_follower_t, 1);

  follower->store = store;
  follower->table = table;
  follower->wait = wait;
  follower->period = period;
  follower->events = *events;
  follower->context = context;
  follower->must_read = TRUE;
  follower->next_call = evtimer_new (base, on_next_call, follower);
  call_after (follower, 0);
  return follower;
}

void
anvil_table_follower_close (anvil_table_follower_t *follower)
{
  if (follower == NULL)
    return;
  drop_call (follower);
  event_free (follower->next_call);
  g_free (follower->read_from);
  g_free (follower);
}

gboolean
anvil_table_follower_ready (const anvil_table_follower_t *follower)
{
  return follower->ready;
}

anvil_time_t
anvil_table_follower_read_at (const anvil_table_follower_t *follower)
{
  return follower->read_at;
}

gboolean
anvil_table_follower_away (const anvil_table_follower_t *follower)
{
  return follower->away;
}
