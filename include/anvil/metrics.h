#pragma once

#include <glib.h>

/**
 * anvil_metrics_t - the metrics of a process: counters, gauges and histograms
 *
 * Must be used from one thread only. Names follow the rules of Prometheus.
 * Labels are one formatted text such as `service="galeria"`, or NULL for none.
 */
typedef struct anvil_metrics anvil_metrics_t;

anvil_metrics_t *anvil_metrics_new (void);
void anvil_metrics_drop (anvil_metrics_t *metrics);

/** anvil_metrics_add_counter - adds @amount to a counter, which starts at 0 */
void anvil_metrics_add_counter (anvil_metrics_t *metrics,
                                const char *name,
                                const char *labels,
                                guint64 amount);

/** anvil_metrics_set_gauge - sets a gauge */
void anvil_metrics_set_gauge (anvil_metrics_t *metrics,
                              const char *name,
                              const char *labels,
                              gdouble value);

/** anvil_metrics_observe_histogram - adds a duration to a histogram from 1 ms to 60 s */
void anvil_metrics_observe_histogram (anvil_metrics_t *metrics,
                                      const char *name,
                                      const char *labels,
                                      gdouble seconds);

/** anvil_metrics_remove - removes a metric with all its labels */
void anvil_metrics_remove (anvil_metrics_t *metrics, const char *name);

/** anvil_metrics_value - value of a counter or gauge, 0 if it doesn't exist */
gdouble anvil_metrics_value (const anvil_metrics_t *metrics, const char *name, const char *labels);

/** anvil_metrics_render - appends all metrics in the text format of Prometheus, sorted by name */
void anvil_metrics_render (const anvil_metrics_t *metrics, GString *out);
