#pragma once

#include "fake-net.h"

/** fake_work_take_result - TRUE for the first result of an attempt, which the entry gets */
gboolean fake_work_take_result (fake_net_t *net, guint64 attempt);
