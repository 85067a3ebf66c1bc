#include <string.h>
#include <yaml.h>

#include "config/config-scan.h"

/*
 * A list or mapping that encloses the current node.
 * @has_key: the next node of the mapping is the value of a key
 * @next: index of the next item of the list
 * @path_length: length of the path of the list or mapping itself
 */
typedef struct
{
  gboolean is_list;
  gboolean has_key;
  guint next;
  gsize path_length;
} level_t;

/*
 * Search for the line of a path.
 * @path: path of the current node
 * @best_length: length of the longest path found that is or encloses the wanted one
 */
typedef struct
{
  const char *wanted;
  GString *path;
  GArray *levels;
  gsize best_length;
  guint best_line;
} locate_t;

static level_t *
innermost (locate_t *locate)
{
  if (locate->levels->len == 0)
    return NULL;
  return &g_array_index (locate->levels, level_t, locate->levels->len - 1);
}

static gboolean
encloses (const char *path, gsize length, const char *wanted)
{
  if (strncmp (path, wanted, length) != 0)
    return FALSE;
  return wanted[length] == '\0' || wanted[length] == '.' || wanted[length] == '[';
}

/* Of equally long matches the last one counts, since of duplicate keys the second is the error. */
static void
update_best (locate_t *locate, guint line)
{
  if (locate->path->len < locate->best_length)
    return;
  if (!encloses (locate->path->str, locate->path->len, locate->wanted))
    return;
  locate->best_length = locate->path->len;
  locate->best_line = line;
}

static void
begin_item (locate_t *locate, level_t *level, guint line)
{
  g_string_truncate (locate->path, level->path_length);
  g_string_append_printf (locate->path, "[%u]", level->next++);
  update_best (locate, line);
}

static void
begin_key (locate_t *locate, level_t *level, const char *key, guint line)
{
  g_string_truncate (locate->path, level->path_length);
  g_string_append_printf (locate->path, "%s%s", level->path_length > 0 ? "." : "", key);
  level->has_key = TRUE;
  update_best (locate, line);
}

/* Processes the start of a node; TRUE if it is the key of a mapping. */
static gboolean
begin_node (locate_t *locate, const yaml_event_t *event)
{
  guint line = (guint) event->start_mark.line + 1;
  level_t *level = innermost (locate);

  if (level == NULL)
    return FALSE;
  if (level->is_list)
    {
      begin_item (locate, level, line);
      return FALSE;
    }
  if (level->has_key)
    {
      level->has_key = FALSE;
      return FALSE;
    }
  begin_key (locate, level,
             event->type == YAML_SCALAR_EVENT ? (const char *) event->data.scalar.value : "?",
             line);
  return TRUE;
}

static void
open_level (locate_t *locate, gboolean is_list)
{
  level_t level = { .is_list = is_list, .path_length = locate->path->len };

  g_array_append_val (locate->levels, level);
}

static void
visit (locate_t *locate, const yaml_event_t *event)
{
  switch (event->type)
    {
    case YAML_SCALAR_EVENT:
      begin_node (locate, event);
      break;
    case YAML_SEQUENCE_START_EVENT:
    case YAML_MAPPING_START_EVENT:
      begin_node (locate, event);
      open_level (locate, event->type == YAML_SEQUENCE_START_EVENT);
      break;
    case YAML_SEQUENCE_END_EVENT:
    case YAML_MAPPING_END_EVENT:
      g_array_set_size (locate->levels, locate->levels->len - 1);
      break;
    default:
      break;
    }
}

guint
anvil_config_locate (anvil_str_t text, const char *path)
{
  locate_t locate = {
    .wanted = path,
    .path = g_string_new (NULL),
    .levels = g_array_new (FALSE, FALSE, sizeof (level_t)),
    .best_line = 1,
  };
  gboolean ended = FALSE;
  yaml_parser_t parser;
  yaml_event_t event;

  if (yaml_parser_initialize (&parser))
    {
      yaml_parser_set_input_string (&parser, (const guchar *) text.data, text.length);
      while (!ended && yaml_parser_parse (&parser, &event))
        {
          visit (&locate, &event);
          ended = event.type == YAML_STREAM_END_EVENT;
          yaml_event_delete (&event);
        }
      yaml_parser_delete (&parser);
    }
  g_string_free (locate.path, TRUE);
  g_array_free (locate.levels, TRUE);
  return locate.best_line;
}
