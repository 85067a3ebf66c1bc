#include <stddef.h>

#include "anvil/config.h"

#define BITS_PER_MBIT 1000000
#define BITS_PER_KB 8000
#define BYTES_PER_KB 1000

typedef struct
{
  const anvil_config_t *before;
  const anvil_config_t *after;
  GString *out;
  guint n_lines;
} diff_t;

/*
 * An array of the configuration whose elements begin with their name.
 * @kind: kind of element, for the output
 * @array: offset of the pointer to the array
 * @count: offset of the number of elements
 * @stride: size of an element
 * @compare: lists the changes of an element that both files have; may be NULL
 */
typedef struct
{
  const char *kind;
  gsize array;
  gsize count;
  gsize stride;
  void (*compare) (diff_t *diff, gconstpointer before, gconstpointer after);
} section_t;

static void emit (diff_t *diff, const char *subject, const char *format, ...) G_GNUC_PRINTF (3, 4);

static void
emit (diff_t *diff, const char *subject, const char *format, ...)
{
  va_list arguments;

  g_string_append_printf (diff->out, "%s: ", subject);
  va_start (arguments, format);
  g_string_append_vprintf (diff->out, format, arguments);
  va_end (arguments);
  g_string_append_c (diff->out, '\n');
  diff->n_lines++;
}

static void
emit_change_int (diff_t *diff,
                 const char *subject,
                 const char *field,
                 gint64 before,
                 gint64 after,
                 const char *unit)
{
  if (before != after)
    emit (diff, subject, "%s %" G_GINT64_FORMAT "%s -> %" G_GINT64_FORMAT "%s", field, before, unit,
          after, unit);
}

static void
emit_change (
    diff_t *diff, const char *subject, const char *field, const char *before, const char *after)
{
  if (g_strcmp0 (before, after) != 0)
    emit (diff, subject, "%s %s -> %s", field, before, after);
}

static const char *
half_name (const anvil_config_t *config, guint half)
{
  return half == ANVIL_NO_INDEX ? "none" : config->halves[half].name.data;
}

static const char *
bool_name (gboolean value)
{
  return value ? "true" : "false";
}

static const char *
prefer_name (anvil_preference_t prefer)
{
  return prefer == ANVIL_PREFER_HEADROOM ? "headroom" : "latency";
}

static void
compare_region (diff_t *diff, gconstpointer old, gconstpointer new)
{
  const anvil_region_t *before = old;
  const anvil_region_t *after = new;

  emit_change (diff, after->name.data, "half", half_name (diff->before, before->half),
               half_name (diff->after, after->half));
}

static void
compare_zone (diff_t *diff, gconstpointer old, gconstpointer new)
{
  const anvil_zone_t *before = old;
  const anvil_zone_t *after = new;

  emit_change (diff, after->name.data, "region", diff->before->regions[before->region].name.data,
               diff->after->regions[after->region].name.data);
}

static gboolean
has_host (const anvil_service_t *service, anvil_str_t host)
{
  for (guint i = 0; i < service->n_hosts; i++)
    {
      if (anvil_str_equal (service->hosts[i], host))
        return TRUE;
    }
  return FALSE;
}

static void
compare_hosts (diff_t *diff, const anvil_service_t *before, const anvil_service_t *after)
{
  for (guint i = 0; i < after->n_hosts; i++)
    {
      if (!has_host (before, after->hosts[i]))
        emit (diff, after->name.data, "host %s added", after->hosts[i].data);
    }
  for (guint i = 0; i < before->n_hosts; i++)
    {
      if (!has_host (after, before->hosts[i]))
        emit (diff, after->name.data, "host %s removed", before->hosts[i].data);
    }
}

static guint
share_of (const anvil_config_t *config, const anvil_service_t *service, anvil_str_t half)
{
  for (guint i = 0; i < config->n_halves; i++)
    {
      if (anvil_str_equal (config->halves[i].name, half))
        return service->half_percents[i];
    }
  return 0;
}

static void
compare_shares (diff_t *diff, const anvil_service_t *before, const anvil_service_t *after)
{
  for (guint i = 0; i < diff->after->n_halves; i++)
    {
      anvil_str_t half = diff->after->halves[i].name;
      char *field = g_strdup_printf ("share of %s", half.data);

      emit_change_int (diff, after->name.data, field, share_of (diff->before, before, half),
                       after->half_percents[i], " %");
      g_free (field);
    }
}

static void
compare_service (diff_t *diff, gconstpointer old, gconstpointer new)
{
  const anvil_service_t *before = old;
  const anvil_service_t *after = new;
  const char *name = after->name.data;

  compare_hosts (diff, before, after);
  emit_change (diff, name, "owner", half_name (diff->before, before->owner),
               half_name (diff->after, after->owner));
  compare_shares (diff, before, after);
  emit_change (diff, name, "idempotent", bool_name (before->idempotent),
               bool_name (after->idempotent));
  emit_change_int (diff, name, "deadline", before->deadline / ANVIL_MS, after->deadline / ANVIL_MS,
                   " ms");
  emit_change_int (diff, name, "queue", before->max_queued, after->max_queued, "");
  emit_change_int (diff, name, "request", before->request_bits / BITS_PER_KB,
                   after->request_bits / BITS_PER_KB, " KB");
  emit_change_int (diff, name, "response", before->response_bits / BITS_PER_KB,
                   after->response_bits / BITS_PER_KB, " KB");
  emit_change_int (diff, name, "max request", before->max_request_bytes / BYTES_PER_KB,
                   after->max_request_bytes / BYTES_PER_KB, " KB");
  emit_change (diff, name, "prefer", prefer_name (before->preference),
               prefer_name (after->preference));
}

static void
compare_address (diff_t *diff, const anvil_upstream_t *before, const anvil_upstream_t *after)
{
  guint32 a = before->address;
  guint32 b = after->address;

  if (a != b)
    emit (diff, after->name.data, "address %u.%u.%u.%u -> %u.%u.%u.%u", a >> 24, a >> 16 & 255,
          a >> 8 & 255, a & 255, b >> 24, b >> 16 & 255, b >> 8 & 255, b & 255);
}

static void
compare_upstream (diff_t *diff, gconstpointer old, gconstpointer new)
{
  const anvil_upstream_t *before = old;
  const anvil_upstream_t *after = new;
  const char *name = after->name.data;

  emit_change (diff, name, "half", half_name (diff->before, before->half),
               half_name (diff->after, after->half));
  compare_address (diff, before, after);
  emit_change_int (diff, name, "port", before->port, after->port, "");
  emit_change_int (diff, name, "slots", before->slots, after->slots, "");
  emit_change_int (diff, name, "connections", before->max_connections, after->max_connections, "");
  emit_change (diff, name, "draining", bool_name (before->draining), bool_name (after->draining));
}

static void
compare_shift (diff_t *diff, gconstpointer old, gconstpointer new)
{
  const anvil_shift_t *before = old;
  const anvil_shift_t *after = new;
  const char *name = after->name.data;

  emit_change (diff, name, "service", diff->before->services[before->service].name.data,
               diff->after->services[after->service].name.data);
  emit_change (diff, name, "from", half_name (diff->before, before->from),
               half_name (diff->after, after->from));
  emit_change (diff, name, "to", half_name (diff->before, before->to),
               half_name (diff->after, after->to));
  emit_change_int (diff, name, "percent", before->percent, after->percent, " %");
  emit_change_int (diff, name, "cap", before->cap_bits_per_s / BITS_PER_MBIT,
                   after->cap_bits_per_s / BITS_PER_MBIT, " Mbit/s");
  emit_change_int (diff, name, "cap", before->cap_requests_per_s, after->cap_requests_per_s,
                   " requests/s");
  emit_change_int (diff, name, "ramp", before->ramp / ANVIL_SECOND, after->ramp / ANVIL_SECOND,
                   " s");
}

#define SECTION(name, member, type, compare_member)                                                \
  {                                                                                                \
    name, offsetof (anvil_config_t, member), offsetof (anvil_config_t, n_##member), sizeof (type), \
        compare_member                                                                             \
  }

static const section_t sections[] = {
  SECTION ("half", halves, anvil_half_t, NULL),
  SECTION ("region", regions, anvil_region_t, compare_region),
  SECTION ("zone", zones, anvil_zone_t, compare_zone),
  SECTION ("service", services, anvil_service_t, compare_service),
  SECTION ("upstream", upstreams, anvil_upstream_t, compare_upstream),
  SECTION ("shift", shifts, anvil_shift_t, compare_shift),
};

static guint
section_count (const section_t *section, const anvil_config_t *config)
{
  return G_STRUCT_MEMBER (guint, config, section->count);
}

static gpointer
section_item (const section_t *section, const anvil_config_t *config, guint index)
{
  return G_STRUCT_MEMBER (guint8 *, config, section->array) + index * section->stride;
}

static const char *
item_name (gconstpointer item)
{
  return ((const anvil_str_t *) item)->data;
}

static GHashTable *
section_names (const section_t *section, const anvil_config_t *config)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < section_count (section, config); i++)
    {
      gpointer item = section_item (section, config, i);

      g_hash_table_insert (names, (gpointer) item_name (item), item);
    }
  return names;
}

static void
compare_section (diff_t *diff, const section_t *section)
{
  GHashTable *before = section_names (section, diff->before);
  GHashTable *after = section_names (section, diff->after);

  for (guint i = 0; i < section_count (section, diff->after); i++)
    {
      gconstpointer item = section_item (section, diff->after, i);
      gconstpointer old = g_hash_table_lookup (before, item_name (item));

      if (old == NULL)
        emit (diff, item_name (item), "%s added", section->kind);
      else if (section->compare != NULL)
        section->compare (diff, old, item);
    }
  for (guint i = 0; i < section_count (section, diff->before); i++)
    {
      gconstpointer item = section_item (section, diff->before, i);

      if (!g_hash_table_contains (after, item_name (item)))
        emit (diff, item_name (item), "%s removed", section->kind);
    }
  g_hash_table_unref (before);
  g_hash_table_unref (after);
}

static void
emit_block (diff_t *diff, const anvil_client_block_t *block, const char *before, const char *after)
{
  char subject[sizeof "255.255.255.255/32"];
  guint32 address = block->address;

  g_snprintf (subject, sizeof subject, "%u.%u.%u.%u/%u", address >> 24, address >> 16 & 255,
              address >> 8 & 255, address & 255, block->prefix_length);
  emit_change (diff, subject, "region", before, after);
}

static const char *
block_region (const anvil_config_t *config, guint block)
{
  return config->regions[config->blocks[block].region].name.data;
}

/* Merges the two arrays, which are sorted alike. */
static void
compare_blocks (diff_t *diff)
{
  const anvil_config_t *before = diff->before;
  const anvil_config_t *after = diff->after;
  guint i = 0;
  guint j = 0;

  while (i < before->n_blocks || j < after->n_blocks)
    {
      gint order = i == before->n_blocks ? 1
                   : j == after->n_blocks
                       ? -1
                       : anvil_client_block_compare (&before->blocks[i], &after->blocks[j]);

      if (order < 0)
        emit_block (diff, &before->blocks[i], block_region (before, i), "none");
      else if (order > 0)
        emit_block (diff, &after->blocks[j], "none", block_region (after, j));
      else
        emit_block (diff, &after->blocks[j], block_region (before, i), block_region (after, j));
      i += order <= 0;
      j += order >= 0;
    }
}

static guint
find_region (const anvil_config_t *config, anvil_str_t name)
{
  for (guint i = 0; i < config->n_regions; i++)
    {
      if (anvil_str_equal (config->regions[i].name, name))
        return i;
    }
  return ANVIL_NO_INDEX;
}

/* Compares links of regions that both files have; added and removed regions are listed anyway. */
static void
compare_links (diff_t *diff)
{
  for (guint i = 0; i < diff->after->n_links; i++)
    {
      const anvil_link_t *after = &diff->after->links[i];
      anvil_str_t from = diff->after->regions[after->from].name;
      anvil_str_t to = diff->after->regions[after->to].name;
      guint index = anvil_config_lookup_link (diff->before, find_region (diff->before, from),
                                              find_region (diff->before, to));
      const anvil_link_t *before;
      char *subject;

      if (index == ANVIL_NO_INDEX)
        continue;
      before = &diff->before->links[index];
      subject = g_strdup_printf ("link %s to %s", from.data, to.data);
      emit_change_int (diff, subject, "limit", before->bits_per_s / BITS_PER_MBIT,
                       after->bits_per_s / BITS_PER_MBIT, " Mbit/s");
      emit_change_int (diff, subject, "delay", before->delay / ANVIL_MS, after->delay / ANVIL_MS,
                       " ms");
      g_free (subject);
    }
}

static const char *
seat_zone (const anvil_config_t *config, guint seat)
{
  return seat < config->n_seats ? config->zones[config->seats[seat].zone].name.data : "none";
}

static void
compare_seats (diff_t *diff)
{
  for (guint i = 0; i < MAX (diff->before->n_seats, diff->after->n_seats); i++)
    {
      char subject[sizeof "seat 4294967295"];

      g_snprintf (subject, sizeof subject, "seat %u", i);
      emit_change (diff, subject, "zone", seat_zone (diff->before, i), seat_zone (diff->after, i));
    }
}

guint
anvil_config_diff (const anvil_config_t *before, const anvil_config_t *after, GString *out)
{
  diff_t diff = { .before = before, .after = after, .out = out };

  emit_change (&diff, "deployment", "name", before->deployment.data, after->deployment.data);
  for (gsize i = 0; i < G_N_ELEMENTS (sections); i++)
    compare_section (&diff, &sections[i]);
  compare_links (&diff);
  compare_blocks (&diff);
  compare_seats (&diff);
  return diff.n_lines;
}
