#pragma once

#include "anvil/str.h"

/**
 * anvil_upstream_load_speed - parses how long work takes on an upstream's VM
 * @value: value of the load header: the numbers of running and waiting requests and of slots, and
 * on some services, as the fourth figure, how long work takes now in percent of the usual time
 *
 * Return: percent, 1 to ANVIL_MAX_SPEED; 0 if there are not just four figures, or any of them isn't
 * a decimal number, or the fourth is out of this range.
 */
guint anvil_upstream_load_speed (anvil_str_t value);
