/* The promises, from what callers were told and upstreams noted. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "anvil/clock.h"
#include "soak.h"

/* Bounds of the platform's contract, microseconds. */
#define DRAIN_BOUND (2500 * ANVIL_MS)
#define TOUCH_WINDOW (4 * ANVIL_SECOND)
/* After the last fault, everything is served again from so many seconds on. */
#define SETTLED_S 5
#define MAX_REPORTED 5

static void
report (soak_t *soak, const char *promise, const soak_request_t *request, const char *detail)
{
  if (soak->broken++ < MAX_REPORTED)
    printf ("BROKEN %s: request %s to entry %u at %.3f, status %u: %s\n", promise, request->id,
            request->entry, (gdouble) request->sent_at / (gdouble) ANVIL_SECOND, request->status,
            detail);
}

/**
 * notes_t - what upstreams noted
 * @runs: how often each request ran
 */
typedef struct
{
  soak_t *soak;
  GHashTable *runs;
} notes_t;

/* Whether nothing harmed a node from some time before @from until @to. */
static gboolean
undisturbed (const GArray *harms, gint64 from, gint64 to)
{
  for (guint i = 0; i < harms->len; i++)
    {
      gint64 at = g_array_index (harms, gint64, i);

      if (at > from - TOUCH_WINDOW && at < to)
        return FALSE;
    }
  return TRUE;
}

static const soak_request_t *
find_request (const soak_t *soak, const char *id)
{
  const GPtrArray *requests = soak_callers_requests (soak->callers);
  const char *number = strrchr (id, '-');
  guint index = number != NULL ? (guint) atoi (number + 1) : G_MAXUINT;

  return index < requests->len ? requests->pdata[index] : NULL;
}

/* A run after its upstream had drained: allowed only to an entry that had been harmed. */
static void
check_drain (soak_t *soak, const char *id, gint64 draining_at, gint64 at)
{
  const soak_request_t *request = find_request (soak, id);

  if (request == NULL || at <= draining_at + DRAIN_BOUND
      || !undisturbed (soak->entries[request->entry].harms, draining_at, at)
      || !undisturbed (soak->store_harms, draining_at, at))
    return;
  report (soak, "drain", request, "its upstream had drained for more than 2.5 s");
}

/* Reads one upstream's notes. */
static void
read_notes (notes_t *notes, const node_t *node)
{
  char *text = NULL;
  char **lines;
  gint64 draining_at = 0;

  if (!g_file_get_contents (node->notes, &text, NULL, NULL))
    return;
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL && lines[i][0] != '\0'; i++)
    {
      char **fields = g_strsplit (lines[i], " ", 3);
      gint64 at = g_ascii_strtoll (fields[1], NULL, 10);
      guint count = GPOINTER_TO_UINT (g_hash_table_lookup (notes->runs, fields[2]));

      if (strcmp (fields[0], "draining") == 0)
        draining_at = at;
      else if (strcmp (fields[0], "start") == 0)
        draining_at = 0;
      else
        {
          g_hash_table_insert (notes->runs, g_strdup (fields[2]), GUINT_TO_POINTER (count + 1));
          if (draining_at > 0)
            check_drain (notes->soak, fields[2], draining_at, at);
        }
      g_strfreev (fields);
    }
  g_strfreev (lines);
  g_free (text);
}

void
soak_check_requests (soak_t *soak, gint64 calm_at)
{
  notes_t notes
      = { .soak = soak, .runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL) };
  const GPtrArray *requests = soak_callers_requests (soak->callers);
  guint counts[SOAK_WRONG + 1] = { 0 };
  guint calm = 0;
  guint calm_answered = 0;

  for (guint i = 0; i < soak->n_upstreams; i++)
    read_notes (&notes, &soak->upstreams[i]);
  for (guint i = 0; i < requests->len; i++)
    {
      const soak_request_t *request = requests->pdata[i];
      guint runs = GPOINTER_TO_UINT (g_hash_table_lookup (notes.runs, request->id));

      counts[request->outcome]++;
      if (request->outcome == SOAK_WRONG)
        report (soak, "whole and own answers", request, request->detail);
      if (!request->repeatable && runs > 1)
        report (soak, "at most once", request, "it ran more than once");
      if (request->outcome == SOAK_REFUSED && runs > 0)
        report (soak, "refused means not run", request, "it has run");
      if (request->outcome == SOAK_ANSWERED && runs == 0)
        report (soak, "answers come from upstreams", request, "it never ran");
      if (request->outcome == SOAK_PENDING)
        report (soak, "every request ends", request, "no answer");
      if (request->sent_at > calm_at + SETTLED_S * ANVIL_SECOND)
        {
          calm++;
          calm_answered += request->outcome == SOAK_ANSWERED;
        }
    }
  if (calm == 0 || calm_answered * 100 < calm * 99)
    {
      soak->broken++;
      printf ("BROKEN recovery: %u of %u answered from %d s after the last fault on\n",
              calm_answered, calm, SETTLED_S);
    }
  printf ("requests=%u answered=%u refused=%u unknown=%u wrong=%u pending=%u faults=%u calm=%u/%u "
          "broken=%u\n",
          requests->len, counts[SOAK_ANSWERED], counts[SOAK_REFUSED], counts[SOAK_UNKNOWN],
          counts[SOAK_WRONG], counts[SOAK_PENDING], soak->n_faults, calm_answered, calm,
          soak->broken);
  g_hash_table_unref (notes.runs);
}
