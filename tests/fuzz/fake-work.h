#pragma once

#include "fake-net.h"

/** fake_work_mark_reported - FALSE if the entry has already received a result of this attempt */
gboolean fake_work_mark_reported (fake_net_t *net, guint64 attempt);
