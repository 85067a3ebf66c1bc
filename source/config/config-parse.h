#pragma once

#include "anvil/str.h"
#include "config/config-file.h"

/**
 * anvil_config_parse - parses YAML text by the schema
 * @file: file name for error messages
 * @text: text accepted by anvil_config_scan()
 * @error: "FILE:LINE: FIELD: ..."
 *
 * Return: the file, freed with anvil_config_file_free(), or NULL.
 */
config_file_t *anvil_config_parse (const char *file, anvil_str_t text, GError **error);

void anvil_config_file_free (config_file_t *file);
