#include "steer/caller-choice.h"

#include <stdlib.h>

#include "anvil/str.h"

/* Callers try up to three entries. */
#define MIN_CHOSEN 3u

/* A number of [0, 1) for each pair of caller and entry. */
static gdouble
draw (guint32 caller, anvil_node_t node)
{
  const guint64 pair[] = { caller, node };

  const anvil_str_t bytes = { .data = (const char *) pair, .length = sizeof pair };

  return (gdouble) (anvil_str_hash (bytes) >> 11) * 0x1p-53;
}

static gint
compare_scores (gconstpointer a, gconstpointer b)
{
  const gdouble *left = a;
  const gdouble *right = b;

  return (*left > *right) - (*left < *right);
}

/**
 * scored_t - a candidate
 * @score: below 1 if the caller is told of it anyway; compared as the first member
 */
typedef struct
{
  gdouble score;
  anvil_node_t node;
} scored_t;

guint
anvil_caller_choose (const anvil_caller_candidate_t *candidates,
                     guint n_candidates,
                     guint32 caller,
                     anvil_node_t *nodes)
{
  scored_t *scored;
  guint largest = 0;
  guint n = 0;

  if (n_candidates == 0)
    return 0;
  scored = g_new0 (scored_t, n_candidates);
  for (guint i = 0; i < n_candidates; i++)
    largest = MAX (largest, candidates[i].share);
  for (guint i = 0; i < n_candidates; i++)
    scored[i] = (scored_t){ .node = candidates[i].node,
                            .score = draw (caller, candidates[i].node) * (gdouble) largest
                                     / (gdouble) MAX (candidates[i].share, 1) };
  qsort (scored, n_candidates, sizeof *scored, compare_scores);
  while (n < n_candidates && (scored[n].score < 1 || n < MIN_CHOSEN))
    {
      nodes[n] = scored[n].node;
      n++;
    }
  g_free (scored);
  return n;
}
