#pragma once

#include "anvil/store.h"

/*
 * A table of the store, read whole once and then followed by its changes.
 *
 * When the history that it follows from is gone, it reads the table whole
 * again. When the store doesn't answer, it goes on trying, ever more rarely,
 * and what was read before stays as it is.
 */

typedef struct anvil_table_follower anvil_table_follower_t;

/**
 * anvil_table_events_t - what is read
 * @begin: rows of the whole table follow
 * @row: a row, or the trace of one that was removed
 * @end: the whole table has been read
 * @lost: the store stopped answering
 * @found: it answers again; called before what it answers is told
 * @read: everything up to @version has been told
 */
typedef struct
{
  void (*begin) (void *context);
  void (*row) (void *context, const anvil_store_row_t *row);
  void (*end) (void *context);
  void (*lost) (void *context);
  void (*found) (void *context);
  void (*read) (void *context, guint64 version);
} anvil_table_events_t;

/**
 * anvil_table_follower_open - starts to read
 * @table: name of the table; borrowed
 * @wait: how long the store may hold a call while nothing changes; 0 asks every @period
 * @period: pause between two calls, microseconds
 */
anvil_table_follower_t *anvil_table_follower_open (struct event_base *base,
                                                   anvil_store_t *store,
                                                   const char *table,
                                                   anvil_time_t wait,
                                                   anvil_time_t period,
                                                   const anvil_table_events_t *events,
                                                   void *context);

/** anvil_table_follower_ask_again - what is being waited for may never come: asks anew at once */
void anvil_table_follower_ask_again (anvil_table_follower_t *follower);

/** anvil_table_follower_pause - asks nothing until it is resumed */
void anvil_table_follower_pause (anvil_table_follower_t *follower);

/** anvil_table_follower_resume - follows on after @version, which is known from elsewhere */
void anvil_table_follower_resume (anvil_table_follower_t *follower, guint64 version);

/** anvil_table_follower_close - its call may still be under way; nothing is told any more */
void anvil_table_follower_close (anvil_table_follower_t *follower);

/** anvil_table_follower_ready - whether the table has been read whole once */
gboolean anvil_table_follower_ready (const anvil_table_follower_t *follower);

/** anvil_table_follower_read_at - when the last answer was asked for, monotonic clock; 0 for never
 */
anvil_time_t anvil_table_follower_read_at (const anvil_table_follower_t *follower);

/** anvil_table_follower_away - whether the store doesn't answer this follower */
gboolean anvil_table_follower_away (const anvil_table_follower_t *follower);
