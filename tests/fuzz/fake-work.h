#pragma once

#include "fake-net.h"

/** fake_work_mark_reported - TRUE for the first result of an attempt, which the entry gets */
gboolean fake_work_mark_reported (fake_net_t *net, guint64 attempt);
