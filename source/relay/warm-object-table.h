#pragma once

#include "anvil/clock.h"
#include "anvil/str.h"

/*
 * The upstream that last answered a request of this entry, for each object.
 *
 * An upstream that has handled an object lately answers further requests for it
 * faster. Entries send these tables to a service's new holder, so that it keeps
 * sending an object's requests to the upstream that is warm for it.
 */

/* Capacity of the table, and of one message. */
#define ANVIL_MAX_WARM_OBJECTS 2048
#define ANVIL_MAX_MESSAGE_WARM_OBJECTS 128

/**
 * anvil_warm_object_t - an object and the upstream that is warm for it
 * @object: hash of the object
 * @upstream: key of the upstream
 */
typedef struct
{
  guint64 object;
  guint64 upstream;
} anvil_warm_object_t;

typedef struct anvil_warm_object_table anvil_warm_object_table_t;

anvil_warm_object_table_t *anvil_warm_object_table_new (void);
void anvil_warm_object_table_drop (anvil_warm_object_table_t *table);

/** anvil_warm_object_table_add - records that @upstream has answered a request for @object; does
 * nothing if @object is 0 */
void anvil_warm_object_table_add (anvil_warm_object_table_t *table,
                                  anvil_time_t now,
                                  const char *service,
                                  guint64 object,
                                  guint64 upstream);

/**
 * anvil_warm_object_table_list - copies the objects of a service
 * @list: result
 * @max: capacity of @list
 *
 * Leaves out entries so old that their upstream may be cold again.
 *
 * Return: number of objects written to @list.
 */
guint anvil_warm_object_table_list (anvil_warm_object_table_t *table,
                                    anvil_time_t now,
                                    const char *service,
                                    anvil_warm_object_t *list,
                                    guint max);

/** anvil_warm_objects_pack - appends the format that is stored and sent: two 64-bit numbers per
 * object, object and upstream, in network byte order */
void anvil_warm_objects_pack (const anvil_warm_object_t *objects, guint n_objects, GByteArray *out);

/** anvil_warm_objects_unpack - reads that format; an incomplete pair at the end is ignored.
 * Returns the number of objects read. */
guint
anvil_warm_objects_unpack (anvil_str_t bytes, anvil_warm_object_t *objects, guint max_objects);
