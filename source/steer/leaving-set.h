#pragma once

#include "anvil/registry.h"

/*
 * Upstreams that said in a response that they are about to end.
 *
 * What an upstream said holds for the process that said it, also while its row is
 * missing, until a process with a later start uses its id.
 */

typedef struct leaving_set leaving_set_t;

leaving_set_t *leaving_set_new (void);
void leaving_set_drop (leaving_set_t *set);

/**
 * leaving_set_add - an upstream said that it leaves
 * @started_at: start of the process that said so, Unix milliseconds; 0 if unknown
 *
 * Beyond a bounded number, the one that was added first is dropped.
 *
 * Return: FALSE if it was known.
 */
gboolean leaving_set_add (leaving_set_t *set, guint64 key, const char *service, gint64 started_at);
void leaving_set_remove (leaving_set_t *set, guint64 key);

/** leaving_set_contains - whether the process that started at @started_at leaves; 0 stands for a
 * process whose start is unknown */
gboolean leaving_set_contains (const leaving_set_t *set, guint64 key, gint64 started_at);

/** leaving_set_process_seen - a row of an upstream was read; a later start than that of the process
 * that leaves removes it */
void leaving_set_process_seen (leaving_set_t *set, guint64 key, gint64 started_at);

guint leaving_set_count (const leaving_set_t *set);
void leaving_set_foreach (const leaving_set_t *set,
                          const char *service,
                          anvil_registry_visit_leaving_t visit,
                          void *context);
