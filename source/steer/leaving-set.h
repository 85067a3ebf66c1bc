#pragma once

#include "anvil/registry.h"

/*
 * Upstreams that said in a response that they are about to end.
 *
 * What an upstream said holds for the process that said it, also while its row is
 * missing, until another process uses its id. It is forgotten some time after the
 * row is gone.
 */

typedef struct leaving_set leaving_set_t;

leaving_set_t *leaving_set_new (void);
void leaving_set_drop (leaving_set_t *set);

/**
 * leaving_set_add - an upstream said that it leaves
 * @started_at: start of the process that said so, Unix milliseconds; 0 if unknown
 * @from_peer: it said so to another entry, which may not know that it stays after all
 *
 * Beyond a bounded number, the one is dropped whose row is gone for longest, or that was added
 * first.
 *
 * Return: FALSE if it was known, or if it stays after all.
 */
gboolean leaving_set_add (leaving_set_t *set,
                          anvil_time_t now,
                          guint64 key,
                          const char *service,
                          gint64 started_at,
                          gboolean from_peer);

/** leaving_set_contains - whether the process that started at @started_at leaves; 0 stands for a
 * process whose start is unknown */
gboolean leaving_set_contains (const leaving_set_t *set, guint64 key, gint64 started_at);

/**
 * leaving_set_row_read - a row of the upstream was read
 *
 * A row of another process removes it: one with a later start, and any other behind a row of the
 * process that leaves, since the upstream's clock may have been set back.
 */
void leaving_set_row_read (leaving_set_t *set, anvil_time_t now, guint64 key, gint64 started_at);

/** leaving_set_row_gone - the upstream has no row */
void leaving_set_row_gone (leaving_set_t *set, anvil_time_t now, guint64 key);

/** leaving_set_stays - the upstream says in its row that it stays after all */
void leaving_set_stays (leaving_set_t *set, guint64 key);

guint leaving_set_count (const leaving_set_t *set);
void leaving_set_foreach (const leaving_set_t *set,
                          const char *service,
                          anvil_registry_visit_leaving_t visit,
                          void *context);
