#pragma once

#include "anvil/client-blocks.h"
#include "anvil/clock.h"
#include "anvil/str.h"

/* Largest configuration file accepted, bytes. */
#define ANVIL_CONFIG_MAX_BYTES (4u << 20)
/* Maximum number of slots of one upstream; a set of slots fits in 64 bits. */
#define ANVIL_MAX_SLOTS 64

/** anvil_preference_t - what matters most when an upstream is chosen */
typedef enum
{
  ANVIL_PREFER_LATENCY,
  ANVIL_PREFER_HEADROOM,
} anvil_preference_t;

/** anvil_half_t - one half of the company, which owns services, regions and upstreams */
typedef struct
{
  anvil_str_t name;
} anvil_half_t;

/** anvil_region_t - a region; @half is its owner, or ANVIL_NO_INDEX if all halves share it */
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
 * @from: index of the source region
 * @to: index of the destination region
 * @bits_per_s: capacity, never to be exceeded
 * @delay: one-way delay, microseconds
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
 * @name: unique name, which is also accepted as a host name
 * @hosts: further host names
 * @n_hosts: number of further host names
 * @owner: index of the half that owns the service; it gets the per cent not given to other halves
 * @half_percents: per cent of the clients by half; the sum is 100
 * @idempotent: whether requests other than GET, HEAD and OPTIONS may be repeated
 * @deadline: default and longest time for one request, microseconds
 * @max_queued: maximum number of requests that wait at one entry
 * @request_bits: expected size of a request
 * @response_bits: expected size of a response, charged to the link before it starts
 * @max_request_bytes: largest request body accepted
 * @preference: what matters most when an upstream is chosen
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
 * @name: unique name, made of service, zone and a number: "galeria-zapad-a-1"
 * @service: index of the service
 * @half: index of the half that owns it
 * @zone: index of its zone
 * @address: IPv4 in host order
 * @port: TCP port
 * @slots: maximum number of requests that it runs at the same time
 * @max_connections: maximum number of connections that it accepts
 * @draining: the file takes it out of service; it gets no new requests
 * @key: hash of address and port, which identifies the upstream in all generations; its name may
 *   change
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
 * @from: index of the half that loses traffic
 * @to: index of the half that gains traffic
 * @percent: per cent of the service's clients that have moved when the ramp is complete
 * @cap_bits_per_s: maximum rate of moved traffic, 0 if the cap is in requests
 * @cap_requests_per_s: maximum rate of moved requests, 0 if the cap is in bits
 * @ramp: time over which the moved part grows from 0 to @percent, microseconds
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

/**
 * anvil_seat_t - a seat: a part of all slots and rates, which one entry at a time leases
 * @zone: index of the zone in which the seat is
 *
 * Seats are numbered from 0 in the order of the file.
 */
typedef struct
{
  guint zone;
} anvil_seat_t;

/**
 * anvil_config_t - the content of a configuration file, validated and indexed; immutable
 * @strings: storage of all strings
 * @index: hash tables for the lookups below
 *
 * Indexes refer to arrays of the same configuration and differ between
 * generations; use names, or the keys of upstreams, to find an element in
 * another generation.
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
 * anvil_config_load - parses and validates a configuration file
 * @file: file name for error messages
 * @text: the YAML text
 * @error: "FILE:LINE: FIELD: what is wrong, expected what", one line
 *
 * Return: a new configuration, or NULL.
 */
anvil_config_t *anvil_config_load (const char *file, anvil_str_t text, GError **error);

anvil_config_t *anvil_config_keep (anvil_config_t *config);
void anvil_config_drop (anvil_config_t *config);

/** anvil_config_lookup_zone - index of a zone by name, or ANVIL_NO_INDEX; likewise below */
guint anvil_config_lookup_zone (const anvil_config_t *config, anvil_str_t name);
guint anvil_config_lookup_service (const anvil_config_t *config, anvil_str_t name);
guint anvil_config_lookup_upstream (const anvil_config_t *config, anvil_str_t name);

/** anvil_config_lookup_upstream_key - index of an upstream by its key, or ANVIL_NO_INDEX */
guint anvil_config_lookup_upstream_key (const anvil_config_t *config, guint64 key);

/** anvil_config_lookup_host - service of a host name without port, or ANVIL_NO_INDEX */
guint anvil_config_lookup_host (const anvil_config_t *config, anvil_str_t host);

/** anvil_config_lookup_link - index of the link from one region to another, or
 * ANVIL_NO_INDEX */
guint anvil_config_lookup_link (const anvil_config_t *config, guint from, guint to);

/** anvil_config_lookup_client_region - region of the client block with the longest prefix that
 * contains @address, or ANVIL_NO_INDEX */
guint anvil_config_lookup_client_region (const anvil_config_t *config, guint32 address);

/** anvil_config_upstream_region - region of an upstream */
guint anvil_config_upstream_region (const anvil_config_t *config, guint upstream);

/**
 * anvil_config_diff - lists changes, one per line: "galeria: deadline 2000 ms -> 1500 ms"
 * @out: the lines are appended to it
 *
 * Return: number of lines.
 */
guint anvil_config_diff (const anvil_config_t *before, const anvil_config_t *after, GString *out);
