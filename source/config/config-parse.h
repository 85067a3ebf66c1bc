#pragma once

#include "anvil/str.h"
#include "config/config-file.h"

/**
 * anvil_config_parse - reads text into the shape of the schema
 * @file: name for messages
 * @text: text that anvil_config_scan() accepted
 * @error: "FILE:LINE: FIELD: ..."
 *
 * Return: the file, freed with anvil_config_file_free(), or NULL.
 */
config_file_t *anvil_config_parse (const char *file, anvil_str_t text, GError **error);

void anvil_config_file_free (config_file_t *file);
