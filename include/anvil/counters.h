#pragma once

#include <glib.h>

/**
 * anvil_counters_t - the metrics of a process: counters, gauges and histograms
 *
 * Belongs to one thread. A metric is named as Prometheus wants it and may
 * carry one preformatted label set, such as `service="galeria"`.
 */
typedef struct anvil_counters anvil_counters_t;

anvil_counters_t *anvil_counters_new (void);
void anvil_counters_drop (anvil_counters_t *counters);

/** anvil_counters_add - adds @amount to a counter, which starts at 0 */
void anvil_counters_add (anvil_counters_t *counters,
                         const char *name,
                         const char *labels,
                         guint64 amount);

/** anvil_counters_set - sets a gauge */
void anvil_counters_set (anvil_counters_t *counters,
                         const char *name,
                         const char *labels,
                         gdouble value);

/** anvil_counters_observe - counts a duration, in seconds, in a histogram of fixed bounds (1 ms to
 * 60 s) */
void anvil_counters_observe (anvil_counters_t *counters,
                             const char *name,
                             const char *labels,
                             gdouble seconds);

/** anvil_counters_value - value of a counter or gauge, 0 if it was never touched */
gdouble
anvil_counters_value (const anvil_counters_t *counters, const char *name, const char *labels);

/** anvil_counters_render - appends all metrics as Prometheus text, sorted by name */
void anvil_counters_render (const anvil_counters_t *counters, GString *out);
