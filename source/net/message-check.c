#include "message-check.h"

#include "anvil/codec.h"

#include <assert.h>
#include <string.h>

/* The parser template of msgpack sizes its stack by this constant. */
#define MSGPACK_EMBED_STACK_SIZE ANVIL_MAX_FRAME_DEPTH

#include <msgpack/pack_define.h>
#include <msgpack/sysdep.h>
#include <msgpack/unpack.h>
#include <msgpack/unpack_define.h>

/* Objects are counted, their values are ignored. */
typedef int ignored_object_t;

typedef struct
{
  guint n_objects;
} checker_t;

static int
count_object (checker_t *checker)
{
  checker->n_objects++;
  return checker->n_objects <= ANVIL_MAX_FRAME_OBJECTS ? 0 : -1;
}

#define DEFINE_NUMBER_CHECK(kind, type)                                                            \
  static int check_##kind (checker_t *checker, type value, ignored_object_t *object)               \
  {                                                                                                \
    *object = 0;                                                                                   \
    return count_object (checker);                                                                 \
  }

#define DEFINE_CONSTANT_CHECK(kind)                                                                \
  static int check_##kind (checker_t *checker, ignored_object_t *object)                           \
  {                                                                                                \
    *object = 0;                                                                                   \
    return count_object (checker);                                                                 \
  }

#define DEFINE_BYTES_CHECK(kind)                                                                   \
  static int check_##kind (checker_t *checker, const char *base, const char *start,                \
                           unsigned int length, ignored_object_t *object)                          \
  {                                                                                                \
    *object = 0;                                                                                   \
    return count_object (checker);                                                                 \
  }

/* clang-format off */
DEFINE_NUMBER_CHECK (uint8, uint8_t)
DEFINE_NUMBER_CHECK (uint16, uint16_t)
DEFINE_NUMBER_CHECK (uint32, uint32_t)
DEFINE_NUMBER_CHECK (uint64, uint64_t)
DEFINE_NUMBER_CHECK (int8, int8_t)
DEFINE_NUMBER_CHECK (int16, int16_t)
DEFINE_NUMBER_CHECK (int32, int32_t)
DEFINE_NUMBER_CHECK (int64, int64_t)
DEFINE_NUMBER_CHECK (float, float)
DEFINE_NUMBER_CHECK (double, double)
DEFINE_CONSTANT_CHECK (nil)
DEFINE_CONSTANT_CHECK (true)
DEFINE_CONSTANT_CHECK (false)
DEFINE_BYTES_CHECK (str)
DEFINE_BYTES_CHECK (bin)
DEFINE_BYTES_CHECK (ext)
/* clang-format on */

static ignored_object_t
check_root (checker_t *checker)
{
  return 0;
}

static int
check_array (checker_t *checker, unsigned int length, ignored_object_t *object)
{
  *object = 0;
  return length <= ANVIL_MAX_FRAME_ARRAY_LENGTH ? count_object (checker) : -1;
}

static int
check_array_item (checker_t *checker, ignored_object_t *container, ignored_object_t item)
{
  return 0;
}

/* Frames contain no maps. */
static int
check_map (checker_t *checker, unsigned int length, ignored_object_t *object)
{
  *object = 0;
  return -1;
}

static int
check_map_item (checker_t *checker,
                ignored_object_t *container,
                ignored_object_t key,
                ignored_object_t value)
{
  return -1;
}

/* Names prescribed by the template. NOLINTBEGIN(readability-identifier-naming) */
#define msgpack_unpack_struct(name) struct check##name
#define msgpack_unpack_func(result, name) static inline result template##name
#define msgpack_unpack_callback(name) check##name
#define msgpack_unpack_object ignored_object_t
#define msgpack_unpack_user checker_t

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
