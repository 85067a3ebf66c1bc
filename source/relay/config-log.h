#pragma once

#include "anvil/str.h"

/*
 * The text of the configuration in force, and how it came from the versions before it.
 *
 * A peer that has one of these versions is sent the changes since then, which are small where the
 * configuration is large: see relay/text-delta.h.
 */

typedef struct anvil_config_log anvil_config_log_t;

anvil_config_log_t *anvil_config_log_new (void);
void anvil_config_log_drop (anvil_config_log_t *log);

/**
 * anvil_config_log_set - replaces the text
 * @version: version of the configuration
 * @text: copied
 * @delta: how it differs from the one before if that is known, or an empty string
 */
void
anvil_config_log_set (anvil_config_log_t *log, gint64 version, anvil_str_t text, anvil_str_t delta);

/**
 * anvil_config_log_changes_since - appends the changes after @version, oldest first
 *
 * Return: FALSE if the log doesn't reach back that far.
 */
gboolean
anvil_config_log_changes_since (const anvil_config_log_t *log, gint64 version, GByteArray *out);

/** anvil_config_log_pack_whole - appends a change that applies to any version: the whole text, or
 * nothing if it is longer than @max_bytes */
void anvil_config_log_pack_whole (const anvil_config_log_t *log, gsize max_bytes, GByteArray *out);

/**
 * anvil_config_change_t - one item of packed changes
 * @from_version: version that it applies to; 0 for any
 * @to_version: version that it results in
 * @delta: see relay/text-delta.h
 */
typedef struct
{
  gint64 from_version;
  gint64 to_version;
  anvil_str_t delta;
} anvil_config_change_t;

/** anvil_config_change_unpack - takes the first item from packed changes; FALSE if they are
 * malformed */
gboolean anvil_config_change_unpack (anvil_str_t *changes, anvil_config_change_t *change);

/**
 * anvil_config_log_apply - the text that a change makes out of the one in force, which it must
 * start at
 *
 * Return: the text, or NULL if the change is from another text, or damaged.
 */
GByteArray *anvil_config_log_apply (const anvil_config_log_t *log,
                                    const anvil_config_change_t *change);
