#include "relay/table-follower.h"

#include "anvil/error.h"
#include "anvil/log.h"

/* Pause after a failed call; it doubles from the first to the second value. The second bounds the
 * time until a recovered store is noticed, and keeps the calls of all retrying entries below their
 * usual rate. */
#define MIN_RETRY_PAUSE (200 * ANVIL_MS)
#define MAX_RETRY_PAUSE (500 * ANVIL_MS)
/* A call that has timed out may have been under way on a slow link, where it would time out again.
 * For a while, calls may take longer. */
#define SLOW_CALL_TIMEOUT (2 * ANVIL_STORE_CALL_TIMEOUT)
#define SLOW_LINK_TIME (10 * ANVIL_SECOND)
/* The store sends every change of a row since the last read, so after a while more than the whole
 * table, which is then read instead. A single change may exceed the table by this much. */
#define CHANGES_SLACK_BYTES (64u << 10)
/* Pause between two long polls: the store answers them at once while rows change. */
#define MIN_CALL_PAUSE (50 * ANVIL_MS)
/* Longest random pause before a table is read whole, where all entries may do so at once. */
#define MAX_FULL_READ_DELAY (500 * ANVIL_MS)

/**
 * call_t - context of a call to the store
 * @follower: NULL once the call was abandoned; its response is ignored
 * @response_began: bytes of its response have arrived
 * @is_first_page: it reads the whole table from its start
 */
typedef struct
{
  anvil_table_follower_t *follower;
  gboolean response_began;
  gboolean is_first_page;
} call_t;

struct anvil_table_follower
{
  anvil_store_t *store;
  call_t *call;
  const char *table;
  anvil_time_t hold_time;
  anvil_time_t period;
  anvil_table_callbacks_t callbacks;
  void *context;
  struct event *call_timer;
  /* Fires when what was read is older than max_age while a call is under way. */
  anvil_time_t max_age;
  struct event *age_timer;
  /* Version of the store that the next changes are read from. During a full read it is that of the
   * first page, since rows may change while later pages are read. */
  anvil_store_position_t version;
  /* Latest known era of the store. */
  guint64 era;
  gboolean ready;
  gboolean paused;
  gboolean needs_full_read;
  /* The whole table is read only because the era has risen. */
  gboolean needs_era_read;
  /* The last response was refused as outdated. */
  gboolean was_outdated;
  char *next_key;
  gboolean store_lost;
  anvil_time_t retry_pause;
  anvil_time_t call_started_at;
  /* How long the store may hold the call under way; 0 if it isn't a long poll. */
  anvil_time_t call_hold_time;
  /* The next call isn't a long poll. */
  gboolean answer_at_once;
  /* No call follows a successful one by itself. */
  gboolean on_demand;
  anvil_time_t call_timeout;
  anvil_time_t timed_out_at;
  /* Calls that failed since the last successful one. */
  guint failed_calls;
  anvil_time_t read_at;
  /* When the call under way, or the first one of a full read, was made, on CLOCK_BOOTTIME. */
  anvil_time_t call_started_boot;
  anvil_time_t full_read_started_boot;
  anvil_time_t current_at;
  /* Size of the responses of the last full read, and of those of the current one so far. */
  gsize table_bytes;
  gsize page_bytes;
  anvil_table_follower_last_response_t last_response;
};

static void
on_response_began (void *context)
{
  call_t *call = context;

  call->response_began = TRUE;
}

static void abandon_call (anvil_table_follower_t *follower);

static void
schedule_call (anvil_table_follower_t *follower, anvil_time_t pause)
{
  const struct timeval time = anvil_time_to_timeval (pause);

  evtimer_add (follower->call_timer, &time);
}

static void
schedule_next_call (anvil_table_follower_t *follower, anvil_time_t pause)
{
  if (!follower->on_demand)
    schedule_call (follower, pause);
}

/* Time since a read, for log lines; -1 if there was none. */
static gint64
ms_since (anvil_time_t now, anvil_time_t read_at)
{
  return read_at != 0 ? (now - read_at) / ANVIL_MS : -1;
}

static void
lose_store (anvil_table_follower_t *follower, const char *reason)
{
  anvil_time_t now = anvil_clock_now ();

  if (follower->store_lost)
    return;
  follower->store_lost = TRUE;
  follower->retry_pause = MIN_RETRY_PAUSE;
  anvil_log (ANVIL_LOG_WARNING, "store",
             "store does not answer table=%s version=" ANVIL_STORE_POSITION_FORMAT
             " reason=\"%s\" waited_ms=%" G_GINT64_FORMAT " hold_ms=%" G_GINT64_FORMAT
             " unread_ms=%" G_GINT64_FORMAT,
             follower->table, ANVIL_STORE_POSITION_ARGS (follower->version), reason,
             (now - follower->call_started_at) / ANVIL_MS, follower->call_hold_time / ANVIL_MS,
             ms_since (now, follower->read_at));
  follower->callbacks.store_lost (follower->context);
}

anvil_time_t
anvil_table_follower_random_pause (void)
{
  return g_random_int_range (0, (gint32) MAX_FULL_READ_DELAY);
}

/* The positions known so far don't help any more. */
static void
read_whole_table (anvil_table_follower_t *follower)
{
  follower->needs_full_read = TRUE;
  follower->needs_era_read = FALSE;
  g_clear_pointer (&follower->next_key, g_free);
}

/* Where the store may come back from an older copy, all entries may get a 410 at once. */
static anvil_time_t
pause_before_full_read (const anvil_table_follower_t *follower)
{
  return follower->era > 0 ? anvil_table_follower_random_pause () : 0;
}

static void
on_failure (anvil_table_follower_t *follower, const GError *error)
{
  if (g_error_matches (error, ANVIL_ERROR, ANVIL_ERROR_NOT_FOUND))
    {
      anvil_log (ANVIL_LOG_NOTICE, "store",
                 "changes can't be read, reading the whole table table=%s "
                 "version=" ANVIL_STORE_POSITION_FORMAT " reason=\"%s\"",
                 follower->table, ANVIL_STORE_POSITION_ARGS (follower->version), error->message);
      read_whole_table (follower);
      schedule_call (follower, pause_before_full_read (follower));
      return;
    }
  follower->failed_calls++;
  /* It says nothing about the store, so the call is only repeated, unless that goes on. */
  if (g_error_matches (error, ANVIL_ERROR, ANVIL_ERROR_OUTDATED) && !follower->was_outdated)
    {
      follower->was_outdated = TRUE;
      schedule_call (follower, MIN_RETRY_PAUSE);
      return;
    }
  if (g_error_matches (error, ANVIL_ERROR, ANVIL_ERROR_TIMED_OUT))
    follower->timed_out_at = anvil_clock_now ();
  lose_store (follower, error->message);
  /* A long poll may be lost long after the store answers again, so the next call is made at once.
   */
  if (follower->call_hold_time > 0)
    {
      schedule_call (follower, follower->era > 0 ? MIN_RETRY_PAUSE : 0);
      return;
    }
  schedule_call (follower, follower->retry_pause);
  follower->retry_pause = MIN (follower->retry_pause * 2, MAX_RETRY_PAUSE);
}

static void
on_success (anvil_table_follower_t *follower, const anvil_store_page_t *page)
{
  anvil_time_t now = anvil_clock_now ();
  anvil_time_t last_read_at = follower->read_at;

  follower->read_at = follower->call_started_at;
  follower->was_outdated = FALSE;
  follower->last_response = (anvil_table_follower_last_response_t){
    .bytes = page->bytes,
    .call_time = now - follower->call_started_at,
    .receive_time = page->receive_time,
  };
  if (!follower->store_lost)
    return;
  follower->store_lost = FALSE;
  anvil_log (ANVIL_LOG_NOTICE, "store",
             "store answers again table=%s took_ms=%" G_GINT64_FORMAT " unread_ms=%" G_GINT64_FORMAT
             " failed_calls=%u",
             follower->table, (now - follower->call_started_at) / ANVIL_MS,
             ms_since (now, last_read_at), follower->failed_calls);
  follower->failed_calls = 0;
  follower->callbacks.store_recovered (follower->context);
}

static void
report_rows (anvil_table_follower_t *follower, const anvil_store_page_t *page)
{
  for (guint i = 0; i < page->n_rows; i++)
    follower->callbacks.row (follower->context, &page->rows[i]);
}

/* The smallest key above the last one of a page, since a read includes the key that it starts at.
 */
static char *
key_after (anvil_str_t key)
{
  char *text = anvil_str_dup (key);
  char *next = g_strconcat (text, "\x01", NULL);

  g_free (text);
  return next;
}

/* Frees a call. Returns its follower, or NULL if it was abandoned. */
static anvil_table_follower_t *
end_call (call_t *call)
{
  anvil_table_follower_t *follower = call->follower;

  if (follower != NULL)
    {
      follower->call = NULL;
      evtimer_del (follower->age_timer);
    }
  g_free (call);
  return follower;
}

static void
start_era_read (anvil_table_follower_t *follower, guint64 era, anvil_time_t delay)
{
  follower->era = MAX (follower->era, era);
  if (follower->ready && !follower->needs_full_read)
    follower->needs_era_read = TRUE;
  follower->needs_full_read = TRUE;
  g_clear_pointer (&follower->next_key, g_free);
  if (follower->paused)
    return;
  abandon_call (follower);
  schedule_call (follower, delay);
}

/* Whether a response can't be used, as it isn't of the era that its call continues from; the whole
 * table is then read. */
static gboolean
is_of_other_era (anvil_table_follower_t *follower, const anvil_store_page_t *page)
{
  if (page->position.era == follower->version.era)
    return FALSE;
  start_era_read (follower, page->position.era, anvil_table_follower_random_pause ());
  return TRUE;
}

static void
on_page (void *context, const anvil_store_page_t *page, const GError *error)
{
  const gboolean is_first_page = ((const call_t *) context)->is_first_page;
  anvil_table_follower_t *follower = end_call (context);

  if (follower == NULL)
    return;
  if (error != NULL)
    {
      on_failure (follower, error);
      return;
    }
  if (!is_first_page && is_of_other_era (follower, page))
    return;
  on_success (follower, page);
  if (is_first_page)
    {
      follower->version = page->position;
      follower->era = MAX (follower->era, page->position.era);
      follower->full_read_started_boot = follower->call_started_boot;
      follower->page_bytes = 0;
      follower->callbacks.full_read_started (follower->context);
    }
  follower->page_bytes += page->bytes;
  report_rows (follower, page);
  if (page->has_more && page->n_rows > 0)
    {
      char *next = key_after (page->rows[page->n_rows - 1].key);

      g_free (follower->next_key);
      follower->next_key = next;
      follower->needs_full_read = TRUE;
      schedule_call (follower, 0);
      return;
    }
  g_clear_pointer (&follower->next_key, g_free);
  follower->needs_full_read = FALSE;
  follower->needs_era_read = FALSE;
  follower->table_bytes = follower->page_bytes;
  follower->ready = TRUE;
  follower->current_at = follower->full_read_started_boot;
  follower->callbacks.full_read_finished (follower->context);
  follower->callbacks.read_up_to (follower->context, follower->version);
  schedule_next_call (follower, follower->hold_time > 0 ? 0 : follower->period);
}

static void
on_changes (void *context, const anvil_store_page_t *page, const GError *error)
{
  anvil_table_follower_t *follower = end_call (context);

  if (follower == NULL)
    return;
  if (error != NULL)
    {
      on_failure (follower, error);
      return;
    }
  if (is_of_other_era (follower, page))
    return;
  on_success (follower, page);
  /* Rows that are older than what has become known from elsewhere meanwhile would undo it. */
  if (!anvil_store_position_later (follower->version, page->position))
    {
      follower->version = page->position;
      follower->current_at = follower->call_started_boot;
      report_rows (follower, page);
    }
  follower->callbacks.read_up_to (follower->context, follower->version);
  schedule_next_call (follower, follower->hold_time > 0 ? MIN_CALL_PAUSE : follower->period);
}

static void
set_call_limits (anvil_table_follower_t *follower)
{
  anvil_time_t now = anvil_clock_now ();
  gboolean slow = follower->timed_out_at > 0 && now - follower->timed_out_at < SLOW_LINK_TIME;

  follower->call_started_at = now;
  follower->call_started_boot = anvil_clock_boot ();
  follower->call_timeout = slow ? SLOW_CALL_TIMEOUT : ANVIL_STORE_CALL_TIMEOUT;
  /* While the store doesn't answer, calls aren't long polls: one that it accepted during the outage
   * would be found lost only seconds after the recovery. */
  if (follower->needs_full_read || follower->store_lost || follower->answer_at_once)
    follower->call_hold_time = 0;
  else
    /* A lost long poll has to be noticed as early as with the usual time-out. */
    follower->call_hold_time
        = MAX (follower->hold_time + ANVIL_STORE_CALL_TIMEOUT - follower->call_timeout, 0);
  follower->answer_at_once = FALSE;
}

/* After a pause of the process, what was read is old at once; the call that follows gets its time.
 */
static void
schedule_age_timer (anvil_table_follower_t *follower)
{
  anvil_time_t age = follower->call_started_at - follower->read_at;
  const struct timeval time
      = anvil_time_to_timeval (MAX (follower->max_age - age, ANVIL_STORE_CALL_TIMEOUT));

  if (follower->max_age > 0 && follower->read_at > 0)
    evtimer_add (follower->age_timer, &time);
}

static void
on_age_timer (evutil_socket_t unused_fd, short unused_what, void *data)
{
  lose_store (data, "what was read is too old, and the response is not complete");
}

static void
on_call_timer (evutil_socket_t unused_fd, short unused_what, void *data)
{
  anvil_table_follower_t *follower = data;
  anvil_store_call_t limits;

  set_call_limits (follower);
  schedule_age_timer (follower);
  limits = (anvil_store_call_t){ .timeout = follower->call_timeout,
                                 .hold_time = follower->call_hold_time,
                                 .began = on_response_began };
  follower->call = g_new0 (call_t, 1);
  follower->call->follower = follower;
  follower->call->is_first_page = follower->next_key == NULL;
  if (follower->needs_full_read)
    {
      anvil_store_read (follower->store, follower->table, follower->next_key, &limits, on_page,
                        follower->call);
      return;
    }
  limits.max_bytes = follower->table_bytes + CHANGES_SLACK_BYTES;
  anvil_store_read_changes (follower->store, follower->table, follower->version.version, &limits,
                            on_changes, follower->call);
}

static void
abandon_call (anvil_table_follower_t *follower)
{
  if (follower->call != NULL)
    {
      anvil_log (ANVIL_LOG_INFO, "store",
                 "call abandoned table=%s version=" ANVIL_STORE_POSITION_FORMAT
                 " response_began=%d waited_ms=%" G_GINT64_FORMAT " hold_ms=%" G_GINT64_FORMAT,
                 follower->table, ANVIL_STORE_POSITION_ARGS (follower->version),
                 follower->call->response_began,
                 (anvil_clock_now () - follower->call_started_at) / ANVIL_MS,
                 follower->call_hold_time / ANVIL_MS);
      follower->call->follower = NULL;
    }
  follower->call = NULL;
  evtimer_del (follower->age_timer);
}

void
anvil_table_follower_set_hold_time (anvil_table_follower_t *follower, anvil_time_t hold_time)
{
  follower->hold_time = hold_time;
}

void
anvil_table_follower_set_on_demand (anvil_table_follower_t *follower, gboolean on_demand)
{
  if (on_demand == follower->on_demand)
    return;
  follower->on_demand = on_demand;
  if (!on_demand && follower->call == NULL && !evtimer_pending (follower->call_timer, NULL))
    schedule_call (follower, 0);
}

void
anvil_table_follower_set_max_age (anvil_table_follower_t *follower, anvil_time_t max_age)
{
  follower->max_age = max_age;
}

static void
restart_call (anvil_table_follower_t *follower)
{
  abandon_call (follower);
  schedule_call (follower, 0);
}

void
anvil_table_follower_read_now (anvil_table_follower_t *follower)
{
  /* Its response would have to arrive once more, from the start. */
  if (follower->call != NULL && (follower->call->response_began || follower->call_hold_time == 0))
    return;
  /* It has its own time, see anvil_table_follower_begin_era(). */
  if (follower->needs_era_read)
    return;
  /* Whether the store answers shows sooner if it doesn't hold the call. */
  follower->answer_at_once = TRUE;
  restart_call (follower);
}

void
anvil_table_follower_read_all (anvil_table_follower_t *follower)
{
  read_whole_table (follower);
  restart_call (follower);
}

void
anvil_table_follower_begin_era (anvil_table_follower_t *follower, guint64 era, anvil_time_t delay)
{
  if (era <= follower->era)
    return;
  start_era_read (follower, era, delay);
}

/* The rows up to a position are known. */
static void
skip (anvil_table_follower_t *follower, anvil_store_position_t position)
{
  if (!anvil_store_position_later (position, follower->version))
    return;
  follower->version = position;
  follower->era = MAX (follower->era, position.era);
  if (follower->needs_era_read && position.era == follower->era && follower->next_key == NULL)
    {
      follower->needs_full_read = FALSE;
      follower->needs_era_read = FALSE;
    }
}

void
anvil_table_follower_pause (anvil_table_follower_t *follower)
{
  follower->paused = TRUE;
  abandon_call (follower);
  evtimer_del (follower->call_timer);
}

void
anvil_table_follower_resume (anvil_table_follower_t *follower, anvil_store_position_t position)
{
  follower->paused = FALSE;
  skip (follower, position);
  follower->store_lost = FALSE;
  abandon_call (follower);
  schedule_call (follower, follower->needs_era_read ? pause_before_full_read (follower) : 0);
}

void
anvil_table_follower_skip_to (anvil_table_follower_t *follower, anvil_store_position_t position)
{
  if (follower->needs_era_read || anvil_table_follower_known_version (follower).version > 0)
    skip (follower, position);
}

anvil_store_position_t
anvil_table_follower_known_version (const anvil_table_follower_t *follower)
{
  return follower->ready && !follower->needs_full_read ? follower->version
                                                       : (anvil_store_position_t){ 0 };
}

anvil_table_follower_t *
anvil_table_follower_open (struct event_base *base,
                           anvil_store_t *store,
                           const char *table,
                           anvil_time_t hold_time,
                           anvil_time_t period,
                           const anvil_table_callbacks_t *callbacks,
                           void *context)
{
  anvil_table_follower_t *follower = g_new0 (anvil_table_follower_t, 1);

  follower->store = store;
  follower->table = table;
  follower->hold_time = hold_time;
  follower->period = period;
  follower->callbacks = *callbacks;
  follower->context = context;
  follower->needs_full_read = TRUE;
  follower->call_timer = evtimer_new (base, on_call_timer, follower);
  follower->age_timer = evtimer_new (base, on_age_timer, follower);
  schedule_call (follower, 0);
  return follower;
}

void
anvil_table_follower_close (anvil_table_follower_t *follower)
{
  if (follower == NULL)
    return;
  abandon_call (follower);
  event_free (follower->call_timer);
  event_free (follower->age_timer);
  g_free (follower->next_key);
  g_free (follower);
}

gboolean
anvil_table_follower_ready (const anvil_table_follower_t *follower)
{
  return follower->ready;
}

anvil_store_position_t
anvil_table_follower_version (const anvil_table_follower_t *follower)
{
  return follower->version;
}

anvil_time_t
anvil_table_follower_read_at (const anvil_table_follower_t *follower)
{
  return follower->read_at;
}

anvil_time_t
anvil_table_follower_current_at (const anvil_table_follower_t *follower)
{
  return follower->current_at;
}

gboolean
anvil_table_follower_store_lost (const anvil_table_follower_t *follower)
{
  return follower->store_lost;
}

anvil_table_follower_last_response_t
anvil_table_follower_last_response (const anvil_table_follower_t *follower)
{
  return follower->last_response;
}
