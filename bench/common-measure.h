#pragma once

#include "fake-net.h"

/**
 * common_figures_t - what one way did in one scene
 * @p50: latency that half of the answered interactive requests stay below, microseconds
 * @p99: latency that 99 % of them stay below, microseconds
 * @upload_p99: the same for uploads
 * @link_headroom: least part of a link left free
 * in any second, per cent
 * @region_headroom: least part of a region's slots left free in any second, per cent
 * @submitted: requests
 * @refused: per cent of them that were refused
 * @failed: per cent of them that ended unknown
 * @slot_overruns: dispatches to an upstream whose slots were all in use
 * @link_overruns: seconds in which a link was charged more than it can carry
 * @shift_overruns: seconds in which a shift was above its cap
 * @drain_time: longest time from the begin of a drain to the end of the last work, microseconds
 * @late_work: longest time from the begin of a drain to the last dispatch, microseconds
 * @recovery: time until all slots of a lost entry were in use again, microseconds, or -1
 */
typedef struct
{
  anvil_time_t p50;
  anvil_time_t p99;
  anvil_time_t upload_p99;
  gdouble link_headroom;
  gdouble region_headroom;
  guint64 submitted;
  gdouble refused;
  gdouble failed;
  guint64 slot_overruns;
  guint64 link_overruns;
  guint64 shift_overruns;
  anvil_time_t drain_time;
  anvil_time_t late_work;
  anvil_time_t recovery;
} common_figures_t;

/** common_measure_t - collects the figures from the history of a run */
typedef struct common_measure common_measure_t;

/** common_measure_new - counts from the virtual time @from on */
common_measure_t *common_measure_new (const anvil_config_t *config, anvil_time_t from);
void common_measure_drop (common_measure_t *measure);

void common_measure_record (common_measure_t *measure, const fake_record_t *record);

/**
 * common_measure_arrival_t - a request that a caller sends to an entry
 * @number: number of the request
 * @service: its service
 * @travel: time between caller and entry, both ways
 * @link_in: link that the request crosses on its way to the entry, or ANVIL_NO_INDEX
 * @link_out: link that the answer crosses on its way to the caller, or ANVIL_NO_INDEX
 */
typedef struct
{
  guint64 number;
  guint service;
  anvil_time_t travel;
  guint link_in;
  guint link_out;
} common_measure_arrival_t;

/** common_measure_submitted - a request arrives */
void common_measure_submitted (common_measure_t *measure,
                               anvil_time_t now,
                               const common_measure_arrival_t *arrival);

/** common_measure_drain - an upstream begins to drain, or has come back */
void
common_measure_drain (common_measure_t *measure, anvil_time_t now, guint upstream, gboolean drains);

/** common_measure_figures - the figures of the run */
common_figures_t common_measure_figures (common_measure_t *measure, anvil_time_t now);
