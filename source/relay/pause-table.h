#pragma once

#include "anvil/announcement.h"

/*
 * Pauses that upstreams asked this entry for.
 *
 * A pause holds for the process that asked for it, until its end.
 */

typedef struct anvil_pause_table anvil_pause_table_t;

anvil_pause_table_t *anvil_pause_table_new (void);
void anvil_pause_table_drop (anvil_pause_table_t *table);

/**
 * anvil_pause_table_add - an upstream wants no requests until a time
 * @started_at: start of its process, Unix milliseconds; 0 if unknown
 *
 * Return: FALSE if that was known, or a longer pause of the process is, or one of a later process.
 */
gboolean anvil_pause_table_add (anvil_pause_table_t *table,
                                anvil_time_t now,
                                const char *service,
                                guint64 upstream,
                                gint64 started_at,
                                anvil_time_t until);

/** anvil_pause_table_remaining - how much longer the process that started at @started_at wants no
 * requests, microseconds; 0 if it does */
anvil_time_t anvil_pause_table_remaining (const anvil_pause_table_t *table,
                                          anvil_time_t now,
                                          guint64 upstream,
                                          gint64 started_at);

/** anvil_pause_table_append - appends the pauses of a service's upstreams to @items, an array of
 * anvil_named_announcement_t */
void anvil_pause_table_append (const anvil_pause_table_t *table,
                               anvil_time_t now,
                               const char *service,
                               GArray *items);

/** anvil_pause_table_count - number of pauses that have not ended */
guint anvil_pause_table_count (const anvil_pause_table_t *table, anvil_time_t now);
