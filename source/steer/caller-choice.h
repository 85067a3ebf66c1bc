#pragma once

#include "anvil/node.h"

/* Which entries a caller is told of, when some of them have less room than others. */

/**
 * anvil_caller_candidate_t - an entry that a caller may use
 * @node: its address for callers
 * @share: part of the callers that it has room for, thousandths; above 0
 */
typedef struct
{
  anvil_node_t node;
  guint share;
} anvil_caller_candidate_t;

/**
 * anvil_caller_choose - selects entries for a caller
 * @caller: the caller's address; the same caller gets the same entries while shares stay the same
 * @nodes: result, room for @n_candidates
 *
 * The candidate with the largest share is told to all callers, one with half of that to every other
 * one. A few are always selected, so that a caller has an alternative.
 *
 * Return: the number of entries in @nodes.
 */
guint anvil_caller_choose (const anvil_caller_candidate_t *candidates,
                           guint n_candidates,
                           guint32 caller,
                           anvil_node_t *nodes);
