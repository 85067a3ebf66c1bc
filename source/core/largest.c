#include "anvil/largest.h"

gpointer
anvil_find_largest (GHashTable *table, anvil_measure_t measure)
{
  gpointer largest = NULL;
  gint64 largest_measure = -1;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gint64 value_measure = measure (value);

      if (value_measure > largest_measure)
        {
          largest = value;
          largest_measure = value_measure;
        }
    }
  return largest;
}
