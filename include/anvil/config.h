#pragma once

#include "anvil/client-blocks.h"
#include "anvil/clock.h"
#include "anvil/str.h"

/* Largest file that is read at all, bytes. */
#define ANVIL_CONFIG_MAX_BYTES (4u << 20)
/* Most slots of one upstream; a slot set fits in 64 bits. */
#define ANVIL_MAX_SLOTS 64

/** anvil_preference_t - what the operators weigh most when an upstream is chosen */
typedef enum
{
  ANVIL_PREFER_LATENCY,
  ANVIL_PREFER_HEADROOM,
} anvil_preference_t;

/** anvil_half_t - one half of the company */
typedef struct
{
  anvil_str_t name;
} anvil_half_t;

/** anvil_region_t - a region; @half owns it, or ANVIL_NO_INDEX when both halves use it */
typedef struct
{
  anvil_str_t name;
  guint half;
} anvil_region_t;

/** anvil_zone_t - an availability zone and the region it is in */
typedef struct
{
  anvil_str_t name;
  guint region;
} anvil_zone_t;

/**
 * anvil_link_t - a directed link between two regions
 * @from: region it leaves
 * @to: region it enters
 * @bits_per_s: its hard limit
 * @delay: one way, microseconds
 */
typedef struct
{
  guint from;
  guint to;
  gint64 bits_per_s;
  anvil_time_t delay;
} anvil_link_t;

/**
 * anvil_service_t - a service and how its requests are treated
 * @name: its name, also the host name that always works
 * @hosts: further host names
 * @n_hosts: how many
 * @owner: half that owns the service; it gets the share that no other half has
 * @half_percents: per cent of client blocks by half, sums to 100
 * @idempotent: whether requests other than GET, HEAD and OPTIONS may be repeated
 * @deadline: default and longest time for one request, microseconds
 * @max_queued: most requests that wait at one entry
 * @request_bits: expected size of a request
 * @response_bits: expected size of a response, charged to the link before it starts
 * @max_request_bytes: largest body accepted
 * @preference: operators' weight for this service
 */
typedef struct
{
  anvil_str_t name;
  anvil_str_t *hosts;
  guint n_hosts;
  guint owner;
  guint *half_percents;
  gboolean idempotent;
  anvil_time_t deadline;
  guint max_queued;
  gint64 request_bits;
  gint64 response_bits;
  gint64 max_request_bytes;
  anvil_preference_t preference;
} anvil_service_t;

/**
 * anvil_upstream_t - one upstream VM
 * @name: unique and stable between files, "galeria-zapad-a-1"
 * @service: index of the service
 * @half: index of the half that owns it
 * @zone: index of its zone
 * @address: IPv4 in host order
 * @port: TCP port
 * @slots: requests it runs at a time
 * @max_connections: most connections it accepts
 * @draining: the file takes it out; no new work
 * @key: hash of address and port; tells the machine in every file, whatever its name there
 */
typedef struct
{
  anvil_str_t name;
  guint service;
  guint half;
  guint zone;
  guint32 address;
  guint16 port;
  guint slots;
  guint max_connections;
  gboolean draining;
  guint64 key;
} anvil_upstream_t;

/**
 * anvil_shift_t - a planned move of a service's traffic between halves
 * @name: unique name
 * @service: index of the service
 * @from: half that gives
 * @to: half that receives
 * @percent: per cent of the service's client blocks that move in the end
 * @cap_bits_per_s: most traffic of the shift, 0 if the cap is in requests
 * @cap_requests_per_s: most requests of the shift, 0 if the cap is in bits
 * @ramp: time from nothing to the whole share, microseconds
 */
typedef struct
{
  anvil_str_t name;
  guint service;
  guint from;
  guint to;
  guint percent;
  gint64 cap_bits_per_s;
  gint64 cap_requests_per_s;
  anvil_time_t ramp;
} anvil_shift_t;

/** anvil_seat_t - one seat; seats are numbered from 0 in the order of the file */
typedef struct
{
  guint zone;
} anvil_seat_t;

/**
 * anvil_config_t - one operators' file, checked and indexed; never changes
 *
 * Indexes refer to the arrays of the same configuration. Names are the only
 * thing that two generations have in common.
 */
typedef struct
{
  GStringChunk *strings;
  struct anvil_config_index *index;
  anvil_str_t deployment;
  anvil_half_t *halves;
  anvil_region_t *regions;
  anvil_zone_t *zones;
  anvil_client_block_t *blocks;
  anvil_link_t *links;
  anvil_service_t *services;
  anvil_upstream_t *upstreams;
  anvil_shift_t *shifts;
  anvil_seat_t *seats;
  guint n_halves;
  guint n_regions;
  guint n_zones;
  guint n_blocks;
  guint n_links;
  guint n_services;
  guint n_upstreams;
  guint n_shifts;
  guint n_seats;
  gint references;
} anvil_config_t;

/**
 * anvil_config_load - parses and checks an operators' file
 * @file: name for messages
 * @text: the YAML text
 * @error: "FILE:LINE: FIELD: what is wrong and what was expected", one line
 *
 * Return: a new configuration, or NULL.
 */
anvil_config_t *anvil_config_load (const char *file, anvil_str_t text, GError **error);

anvil_config_t *anvil_config_keep (anvil_config_t *config);
void anvil_config_drop (anvil_config_t *config);

/** anvil_config_lookup_zone - index of a zone by name, or ANVIL_NO_INDEX; alike below */
guint anvil_config_lookup_zone (const anvil_config_t *config, anvil_str_t name);
guint anvil_config_lookup_service (const anvil_config_t *config, anvil_str_t name);
guint anvil_config_lookup_upstream (const anvil_config_t *config, anvil_str_t name);

/** anvil_config_lookup_upstream_key - index of an upstream by its key, or ANVIL_NO_INDEX */
guint anvil_config_lookup_upstream_key (const anvil_config_t *config, guint64 key);

/** anvil_config_lookup_host - service that answers for a Host header's name (port cut off), or
 * ANVIL_NO_INDEX */
guint anvil_config_lookup_host (const anvil_config_t *config, anvil_str_t host);

/** anvil_config_lookup_link - directed link between two regions, or ANVIL_NO_INDEX within one
 * region */
guint anvil_config_lookup_link (const anvil_config_t *config, guint from, guint to);

/** anvil_config_lookup_client_region - region nearest to a client address by longest prefix, or
 * ANVIL_NO_INDEX
 */
guint anvil_config_lookup_client_region (const anvil_config_t *config, guint32 address);

/** anvil_config_upstream_region - region of an upstream */
guint anvil_config_upstream_region (const anvil_config_t *config, guint upstream);

/**
 * anvil_config_diff - what a new file changes, a line each, "galeria: deadline 2000 ms -> 1500 ms"
 * @out: lines are appended
 *
 * Return: how many lines.
 */
guint anvil_config_diff (const anvil_config_t *before, const anvil_config_t *after, GString *out);
