#pragma once

#include "anvil/str.h"

/**
 * anvil_config_scan - refuses text that must not reach the schema
 * @file: name for messages
 * @text: what was read
 * @error: "FILE:LINE: FIELD: ..."
 *
 * Refused are oversized or empty text, bytes that aren't UTF-8 text, YAML that
 * doesn't parse, anchors, aliases and tags, deep nesting, and more than one
 * document.
 */
gboolean anvil_config_scan (const char *file, anvil_str_t text, GError **error);

/**
 * anvil_config_locate - line of a field
 * @text: text that anvil_config_scan() accepted
 * @path: field, such as "services[0].shares[1].percent"
 *
 * Return: the line of the field, or of the nearest enclosing one if it is missing.
 */
guint anvil_config_locate (anvil_str_t text, const char *path);
