#pragma once

#include "anvil/store.h"

/*
 * Rows that brought news, with the version of the store up to which they were
 * read, for peers that are some versions behind.
 */

typedef struct anvil_news_log anvil_news_log_t;

anvil_news_log_t *anvil_news_log_new (void);
void anvil_news_log_drop (anvil_news_log_t *log);

/** anvil_news_log_begin - forgets everything: the table was read whole, up to @version */
void anvil_news_log_begin (anvil_news_log_t *log, guint64 version);

/** anvil_news_log_add - a row that brought news; belongs to the next anvil_news_log_read() */
void anvil_news_log_add (anvil_news_log_t *log, const anvil_store_row_t *row);

/** anvil_news_log_read - everything up to @version has been read */
void anvil_news_log_read (anvil_news_log_t *log, guint64 version);

guint64 anvil_news_log_version (const anvil_news_log_t *log);

/**
 * anvil_news_log_since - news after @version, oldest first
 * @out: result; rows packed one after the other, see anvil_news_unpack()
 *
 * Return: FALSE if the log doesn't reach back that far, or @version is newer
 * than what was read here.
 */
gboolean anvil_news_log_since (const anvil_news_log_t *log, guint64 version, GByteArray *out);

typedef void (*anvil_news_visit_t) (void *context, const anvil_store_row_t *row);

/** anvil_news_unpack - visits packed rows; FALSE if the bytes aren't rows */
gboolean anvil_news_unpack (anvil_str_t bytes, anvil_news_visit_t visit, void *context);
