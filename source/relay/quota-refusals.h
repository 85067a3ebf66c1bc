#pragma once

#include "anvil/metrics.h"

/* Tenants with a metric of their own. */
#define ANVIL_QUOTA_REFUSALS_NAMED 20

/** anvil_quota_refusals_t - counts requests refused by quota, by tenant, with a bounded number of
 * metrics: those with most refusals have one each, the others share one */
typedef struct anvil_quota_refusals anvil_quota_refusals_t;

anvil_quota_refusals_t *anvil_quota_refusals_new (void);
void anvil_quota_refusals_drop (anvil_quota_refusals_t *refusals);

/** anvil_quota_refusals_add - counts a refused request of @tenant, a name or NULL */
void anvil_quota_refusals_add (anvil_quota_refusals_t *refusals, const char *tenant);

/** anvil_quota_refusals_publish - updates anvil_quota_refusals_total */
void anvil_quota_refusals_publish (anvil_quota_refusals_t *refusals, anvil_metrics_t *metrics);
