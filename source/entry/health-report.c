#include "health-report.h"

#include <jansson.h>

gboolean
anvil_health_report_parse (anvil_str_t text, anvil_health_report_t *report)
{
  json_t *json = json_loadb (text.data, text.length, 0, NULL);
  json_int_t running = 0;
  int healthy = 1;
  int draining = 0;
  gboolean valid;

  valid = json != NULL
          && json_unpack (json, "{s:I, s?b, s?b}", "running", &running, "healthy", &healthy,
                          "draining", &draining)
                 == 0
          && running >= 0 && running <= G_MAXUINT16;
  json_decref (json);
  if (valid)
    *report = (anvil_health_report_t){ .running = (guint) running,
                                       .healthy = healthy != 0,
                                       .draining = draining != 0 };
  return valid;
}
