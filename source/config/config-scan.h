#pragma once

#include "anvil/str.h"

/**
 * anvil_config_scan - checks text before it is parsed by the schema
 * @file: file name for error messages
 * @text: content of the file
 * @error: "FILE:LINE: FIELD: ..."
 *
 * Rejects oversized and empty text, invalid UTF-8, YAML syntax errors, anchors,
 * aliases and tags, deep nesting, and more than one document.
 */
gboolean anvil_config_scan (const char *file, anvil_str_t text, GError **error);

/**
 * anvil_config_locate - finds the line of a field
 * @text: text accepted by anvil_config_scan()
 * @path: path of the field, such as "services[0].shares[1].percent"
 *
 * Return: the line of the field, or of the innermost enclosing one if it is missing.
 */
guint anvil_config_locate (anvil_str_t text, const char *path);
