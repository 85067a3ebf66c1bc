#include "entry/config-task.h"

#include "anvil/error.h"
#include "anvil/log.h"
#include "config/config-head.h"

#define PART "config"
/* How often the head is read, and at most how rarely while the platform fails. */
#define POLL_INTERVAL (1 * ANVIL_SECOND)
#define POLL_LONGEST (8 * ANVIL_SECOND)
/* How long a peer may take to send a file before another source is tried. */
#define PEER_PATIENCE (500 * ANVIL_MS)

struct anvil_config_task
{
  struct event_base *base;
  anvil_platform_t *platform;
  anvil_config_task_events_t events;
  void *context;
  struct event *timer;
  GRand *random;

  guint64 generation;
  char *head;
  GString *file;

  anvil_time_t poll_interval;
  gboolean polling;
  char *wanted_head;
  guint64 wanted;
  anvil_node_t wanted_peer;
  anvil_time_t asked_at;
};

static void poll_head (anvil_config_task_t *task);

static void
arm_timer (anvil_config_task_t *task, anvil_time_t delay)
{
  anvil_time_t jittered = delay + g_rand_int_range (task->random, 0, (gint32) (delay / 4));
  const struct timeval timeout
      = { .tv_sec = jittered / ANVIL_SECOND, .tv_usec = jittered % ANVIL_SECOND };

  evtimer_add (task->timer, &timeout);
}

/* Puts a file in force that has passed every check. */
static void
accept_file (anvil_config_task_t *task,
             guint64 generation,
             const char *head,
             anvil_str_t file,
             anvil_config_t *config)
{
  char *copy = g_strdup (head);

  g_free (task->head);
  task->head = copy;
  g_string_truncate (task->file, 0);
  g_string_append_len (task->file, file.data, (gssize) file.length);
  task->generation = generation;
  if (task->wanted <= generation)
    task->wanted = 0;
  anvil_log (ANVIL_LOG_NOTICE, PART, "file is in force generation=%" G_GUINT64_FORMAT, generation);
  task->events.in_force (task->context, config, generation);
}

/* Checks a file against its head record, then the file itself. */
static gboolean
offer_file (anvil_config_task_t *task, const char *head_text, anvil_str_t file, GError **error)
{
  anvil_config_head_t head;
  anvil_config_t *config = NULL;
  char *name = NULL;
  gboolean accepted = FALSE;

  if (!anvil_config_head_parse (anvil_str (head_text), &head, error))
    return FALSE;
  if (head.generation <= task->generation)
    {
      anvil_config_head_clear (&head);
      return TRUE;
    }
  name = anvil_config_object_name (file);
  if (g_strcmp0 (name, head.object) != 0)
    g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID, "object %s holds other bytes",
                 head.object);
  else
    config = anvil_config_load (head.object, file, error);
  if (config != NULL)
    {
      accept_file (task, head.generation, head_text, file, config);
      anvil_config_drop (config);
      accepted = TRUE;
    }
  g_free (name);
  anvil_config_head_clear (&head);
  return accepted;
}

static void
poll_failed (anvil_config_task_t *task, const GError *error)
{
  task->polling = FALSE;
  task->poll_interval = MIN (2 * task->poll_interval, POLL_LONGEST);
  anvil_log (ANVIL_LOG_WARNING, PART, "platform gives no file error=\"%s\"",
             error != NULL ? error->message : "none");
}

static void
poll_done (anvil_config_task_t *task)
{
  task->polling = FALSE;
  task->poll_interval = POLL_INTERVAL;
}

static void
on_object (void *context, anvil_str_t body, const GError *error)
{
  anvil_config_task_t *task = context;
  GError *fault = NULL;

  if (error != NULL)
    {
      poll_failed (task, error);
      return;
    }
  if (!offer_file (task, task->wanted_head, body, &fault))
    {
      poll_failed (task, fault);
      g_clear_error (&fault);
      return;
    }
  poll_done (task);
}

static void
on_head (void *context, const anvil_row_t *rows, guint n_rows, const GError *error)
{
  anvil_config_task_t *task = context;
  anvil_config_head_t head;
  GError *fault = NULL;

  if (error != NULL)
    {
      poll_failed (task, error);
      return;
    }
  if (n_rows == 0)
    {
      poll_done (task);
      return;
    }
  if (!anvil_config_head_parse (rows[0].value, &head, &fault))
    {
      poll_failed (task, fault);
      g_clear_error (&fault);
      return;
    }
  if (head.generation <= task->generation)
    poll_done (task);
  else
    {
      g_free (task->wanted_head);
      task->wanted_head = anvil_str_dup (rows[0].value);
      anvil_platform_get_object (task->platform, head.object, on_object, task);
    }
  anvil_config_head_clear (&head);
}

static void
poll_head (anvil_config_task_t *task)
{
  if (task->polling)
    return;
  task->polling = TRUE;
  anvil_platform_read (task->platform, ANVIL_HEAD_KEY, on_head, task);
}

static void
ask_peer (anvil_config_task_t *task)
{
  anvil_time_t now = anvil_clock_now ();

  if (task->wanted <= task->generation || task->wanted_peer == ANVIL_NO_NODE)
    return;
  if (task->asked_at != 0 && now < task->asked_at + PEER_PATIENCE)
    return;
  task->asked_at = now;
  task->events.ask_peer (task->context, task->wanted_peer, task->wanted);
}

static void
on_timer (evutil_socket_t fd, short what, void *context)
{
  anvil_config_task_t *task = context;

  poll_head (task);
  ask_peer (task);
  arm_timer (task, task->poll_interval);
}

anvil_config_task_t *
anvil_config_task_open (struct event_base *base,
                        anvil_platform_t *platform,
                        const anvil_config_task_events_t *events,
                        void *context)
{
  anvil_config_task_t *task = g_new0 (anvil_config_task_t, 1);

  task->base = base;
  task->platform = platform;
  task->events = *events;
  task->context = context;
  task->random = g_rand_new ();
  task->file = g_string_new (NULL);
  task->poll_interval = POLL_INTERVAL;
  task->timer = evtimer_new (base, on_timer, task);
  arm_timer (task, ANVIL_MS * 4);
  return task;
}

void
anvil_config_task_close (anvil_config_task_t *task)
{
  if (task == NULL)
    return;
  event_free (task->timer);
  g_rand_free (task->random);
  g_string_free (task->file, TRUE);
  g_free (task->head);
  g_free (task->wanted_head);
  g_free (task);
}

void
anvil_config_task_learn (anvil_config_task_t *task, guint64 generation, anvil_node_t peer)
{
  if (generation <= task->generation)
    return;
  task->wanted = MAX (task->wanted, generation);
  task->wanted_peer = peer;
  ask_peer (task);
  poll_head (task);
}

void
anvil_config_task_arrived (anvil_config_task_t *task,
                           guint64 generation,
                           anvil_str_t head,
                           anvil_str_t file)
{
  char *head_text = anvil_str_dup (head);
  GError *error = NULL;

  task->asked_at = 0;
  if (!offer_file (task, head_text, file, &error))
    anvil_log (ANVIL_LOG_WARNING, PART, "peer sent a bad file error=\"%s\"",
               error != NULL ? error->message : "none");
  g_clear_error (&error);
  g_free (head_text);
}

guint64
anvil_config_task_current (const anvil_config_task_t *task, anvil_str_t *head, anvil_str_t *file)
{
  *head = anvil_str (task->head);
  *file = (anvil_str_t){ .data = task->file->str, .length = task->file->len };
  return task->generation;
}
