#pragma once

#include <glib.h>

/** common_meter_cpu - processor time of this process, nanoseconds */
gint64 common_meter_cpu (void);

/** common_meter_memory - allocated heap memory, bytes */
gsize common_meter_memory (void);
