#include "message-check.h"

#include "anvil/codec.h"

#include <assert.h>
#include <string.h>

/* The parser template of the library sizes its stack by this constant. */
#define MSGPACK_EMBED_STACK_SIZE ANVIL_MAX_FRAME_DEPTH

#include <msgpack/pack_define.h>
#include <msgpack/sysdep.h>
#include <msgpack/unpack.h>
#include <msgpack/unpack_define.h>

/* Nothing is kept of an object, only the number of objects is counted. */
typedef int no_object_t;

typedef struct
{
  guint n_objects;
} bounds_t;

static int
count_object (bounds_t *bounds)
{
  bounds->n_objects++;
  return bounds->n_objects <= ANVIL_MAX_FRAME_OBJECTS ? 0 : -1;
}

#define DEFINE_FIXED(kind, type)                                                                   \
  static int check_##kind (bounds_t *bounds, type value, no_object_t *object)                      \
  {                                                                                                \
    *object = 0;                                                                                   \
    return count_object (bounds);                                                                  \
  }

#define DEFINE_SIMPLE(kind)                                                                        \
  static int check_##kind (bounds_t *bounds, no_object_t *object)                                  \
  {                                                                                                \
    *object = 0;                                                                                   \
    return count_object (bounds);                                                                  \
  }

#define DEFINE_VARIABLE(kind)                                                                      \
  static int check_##kind (bounds_t *bounds, const char *base, const char *start,                  \
                           unsigned int length, no_object_t *object)                               \
  {                                                                                                \
    *object = 0;                                                                                   \
    return count_object (bounds);                                                                  \
  }

/* clang-format off */
DEFINE_FIXED (uint8, uint8_t)
DEFINE_FIXED (uint16, uint16_t)
DEFINE_FIXED (uint32, uint32_t)
DEFINE_FIXED (uint64, uint64_t)
DEFINE_FIXED (int8, int8_t)
DEFINE_FIXED (int16, int16_t)
DEFINE_FIXED (int32, int32_t)
DEFINE_FIXED (int64, int64_t)
DEFINE_FIXED (float, float)
DEFINE_FIXED (double, double)
DEFINE_SIMPLE (nil)
DEFINE_SIMPLE (true)
DEFINE_SIMPLE (false)
DEFINE_VARIABLE (str)
DEFINE_VARIABLE (bin)
DEFINE_VARIABLE (ext)
/* clang-format on */

static no_object_t
check_root (bounds_t *bounds)
{
  return 0;
}

static int
check_array (bounds_t *bounds, unsigned int length, no_object_t *object)
{
  *object = 0;
  return length <= ANVIL_MAX_FRAME_ARRAY_LENGTH ? count_object (bounds) : -1;
}

static int
check_array_item (bounds_t *bounds, no_object_t *container, no_object_t item)
{
  return 0;
}

/* No frame has a map. */
static int
check_map (bounds_t *bounds, unsigned int length, no_object_t *object)
{
  *object = 0;
  return -1;
}

static int
check_map_item (bounds_t *bounds, no_object_t *container, no_object_t key, no_object_t value)
{
  return -1;
}

/* The names are the template's. NOLINTBEGIN(readability-identifier-naming) */
#define msgpack_unpack_struct(name) struct check##name
#define msgpack_unpack_func(result, name) static inline result template##name
#define msgpack_unpack_callback(name) check##name
#define msgpack_unpack_object no_object_t
#define msgpack_unpack_user bounds_t

/* NOLINTEND(readability-identifier-naming) */

#include <msgpack/unpack_template.h>

gboolean
anvil_frame_check_bounds (anvil_str_t bytes)
{
  struct check_context context;
  gsize offset = 0;

  if (bytes.length == 0)
    return FALSE;
  memset (&context, 0, sizeof context);
  template_init (&context);
  return template_execute (&context, bytes.data, bytes.length, &offset) > 0
         && offset == bytes.length;
}
