#pragma once

#include <glib.h>

/** anvil_measure_t - by how much a value counts; below 0 leaves it out */
typedef gint64 (*anvil_measure_t) (gconstpointer value);

/** anvil_find_largest - the value of a table, or the item of a set, with the largest measure; NULL
 * if there is none. Linear in the size of the table */
gpointer anvil_find_largest (GHashTable *table, anvil_measure_t measure);
