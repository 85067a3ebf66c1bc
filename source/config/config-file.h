#pragma once

#include <cyaml/cyaml.h>

/*
 * The configuration file as parsed by libcyaml. Scalars are kept as text, because
 * libcyaml would read "5 Mbit" as 5, 010 as 8 and "maybe" as true; the validation
 * converts them strictly. The members are named like the keys of the file.
 */

#define CONFIG_MAX_HALVES 8
#define CONFIG_MAX_REGIONS 64
#define CONFIG_MAX_ZONES_PER_REGION 64
#define CONFIG_MAX_SERVICES 1024
#define CONFIG_MAX_HOSTS_PER_SERVICE 64
#define CONFIG_MAX_GROUPS 65536
#define CONFIG_MAX_UPSTREAMS 65536
#define CONFIG_MAX_UPSTREAMS_PER_GROUP 1024
#define CONFIG_MAX_SHIFTS 256
#define CONFIG_MAX_SEATS 4096

typedef struct
{
  char *name;
} file_half_t;

typedef struct
{
  char *name;
  char *half;
  char **zones;
  unsigned n_zones;
  char **clients;
  unsigned n_clients;
} file_region_t;

typedef struct
{
  char **between;
  unsigned n_between;
  char *mbit_per_s;
  char *delay_ms;
} file_link_t;

typedef struct
{
  char *half;
  char *percent;
} file_share_t;

typedef struct
{
  char *name;
  char **hosts;
  unsigned n_hosts;
  char *owner;
  file_share_t *shares;
  unsigned n_shares;
  char *idempotent;
  char *deadline_ms;
  char *queue;
  char *request_kb;
  char *response_kb;
  char *max_request_kb;
  char *prefer;
} file_service_t;

typedef struct
{
  char *service;
  char *half;
  char *zone;
  char *address;
  char *port;
  char *count;
  char *slots;
  char *connections;
  char *draining;
  char **drain;
  unsigned n_drain;
} file_upstream_group_t;

typedef struct
{
  char *name;
  char *service;
  char *from;
  char *to;
  char *percent;
  char *cap_mbit_per_s;
  char *cap_requests_per_s;
  char *ramp_s;
} file_shift_t;

typedef struct
{
  char *zone;
  char *count;
} file_seat_group_t;

/** config_file_t - the root mapping of the file */
typedef struct
{
  char *deployment;
  file_half_t *halves;
  unsigned n_halves;
  file_region_t *regions;
  unsigned n_regions;
  file_link_t *links;
  unsigned n_links;
  file_service_t *services;
  unsigned n_services;
  file_upstream_group_t *upstreams;
  unsigned n_upstreams;
  file_shift_t *shifts;
  unsigned n_shifts;
  file_seat_group_t *seats;
  unsigned n_seats;
} config_file_t;

/** anvil_config_schema - libcyaml's schema of config_file_t */
extern const cyaml_schema_value_t anvil_config_schema;
