#pragma once

#include "fake-net.h"

/**
 * common_results_t - results of one strategy in one scenario
 * @p50: median latency of the answered requests other than uploads, microseconds
 * @p99: 99th percentile of the same, microseconds
 * @upload_p99: 99th percentile of the latency of uploads, microseconds
 * @link_headroom: lowest free part of a link in any second, per cent
 * @region_headroom: lowest free part of a region's slots in any second, per cent
 * @submitted: number of requests
 * @refused_percent: refused requests, per cent
 * @unknown_percent: requests whose outcome is unknown, per cent
 * @slot_overruns: dispatches to an upstream without a free slot
 * @link_overruns: seconds in which the traffic of a link exceeded its capacity
 * @shift_overruns: seconds in which a shift exceeded its cap
 * @drain_time: longest time from the start of a drain to the end of the last run, microseconds
 * @last_dispatch_delay: longest time from the start of a drain to a dispatch, microseconds
 * @recovery_time: time after the fault until every seat was usable, microseconds, or -1 if not
 * measured
 */
typedef struct
{
  anvil_time_t p50;
  anvil_time_t p99;
  anvil_time_t upload_p99;
  gdouble link_headroom;
  gdouble region_headroom;
  guint64 submitted;
  gdouble refused_percent;
  gdouble unknown_percent;
  guint64 slot_overruns;
  guint64 link_overruns;
  guint64 shift_overruns;
  anvil_time_t drain_time;
  anvil_time_t last_dispatch_delay;
  anvil_time_t recovery_time;
} common_results_t;

/** common_measure_t - collects the results from the records of a run */
typedef struct common_measure common_measure_t;

/** common_measure_new - ignores what happens before the virtual time @from */
common_measure_t *common_measure_new (const anvil_config_t *config, anvil_time_t from);
void common_measure_drop (common_measure_t *measure);

void common_measure_record (common_measure_t *measure, const fake_record_t *record);

/**
 * common_request_info_t - a request from a caller to an entry
 * @request_id: id of the request
 * @service: its service
 * @network_time: round-trip time between caller and entry
 * @request_link: link that the request crosses on its way to the entry, or ANVIL_NO_INDEX
 * @response_link: link that the response crosses on its way to the caller, or ANVIL_NO_INDEX
 */
typedef struct
{
  guint64 request_id;
  guint service;
  anvil_time_t network_time;
  guint request_link;
  guint response_link;
} common_request_info_t;

/** common_measure_request_submitted - records that a request arrives at its entry */
void common_measure_request_submitted (common_measure_t *measure,
                                       anvil_time_t now,
                                       const common_request_info_t *info);

/** common_measure_drain_changed - records that an upstream starts or stops draining */
void common_measure_drain_changed (common_measure_t *measure,
                                   anvil_time_t now,
                                   guint upstream,
                                   gboolean drains);

/** common_measure_results - computes the results of the run */
common_results_t common_measure_results (common_measure_t *measure, anvil_time_t now);
