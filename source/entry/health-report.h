#pragma once

#include "anvil/str.h"

/**
 * anvil_health_report_t - load and health that an upstream reports
 * @running: number of requests that it is running
 */
typedef struct
{
  guint running;
  gboolean healthy;
  gboolean draining;
} anvil_health_report_t;

/** anvil_health_report_parse - parses {"running":N,"healthy":bool,"draining":bool} */
gboolean anvil_health_report_parse (anvil_str_t text, anvil_health_report_t *report);
