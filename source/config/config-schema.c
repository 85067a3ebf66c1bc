#include "config/config-file.h"

#define REQUIRED CYAML_FLAG_POINTER
#define OPTIONAL (CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL)

/* Schema of a scalar and of a list, whose key is the name of the struct's member. */
#define TEXT(structure, member, flags)                                                             \
  CYAML_FIELD_STRING_PTR (#member, flags, structure, member, 0, CYAML_UNLIMITED)
#define LIST(structure, member, flags, entry, minimum, maximum)                                    \
  CYAML_FIELD_SEQUENCE_COUNT (#member, flags, structure, member, n_##member, entry, minimum,       \
                              maximum)

static const cyaml_schema_value_t text
    = { CYAML_VALUE_STRING (CYAML_FLAG_POINTER, char *, 0, CYAML_UNLIMITED) };

static const cyaml_schema_field_t half_fields[] = {
  TEXT (file_half_t, name, REQUIRED),
  CYAML_FIELD_END,
};

static const cyaml_schema_value_t half
    = { CYAML_VALUE_MAPPING (CYAML_FLAG_DEFAULT, file_half_t, half_fields) };

static const cyaml_schema_field_t region_fields[] = {
  TEXT (file_region_t, name, REQUIRED),
  TEXT (file_region_t, half, OPTIONAL),
  LIST (file_region_t, zones, REQUIRED, &text, 1, CONFIG_MAX_ZONES_PER_REGION),
  LIST (file_region_t, clients, OPTIONAL, &text, 0, CYAML_UNLIMITED),
  CYAML_FIELD_END,
};

static const cyaml_schema_value_t region
    = { CYAML_VALUE_MAPPING (CYAML_FLAG_DEFAULT, file_region_t, region_fields) };

static const cyaml_schema_field_t link_fields[] = {
  LIST (file_link_t, between, REQUIRED, &text, 2, 2),
  TEXT (file_link_t, mbit_per_s, REQUIRED),
  TEXT (file_link_t, delay_ms, REQUIRED),
  CYAML_FIELD_END,
};

static const cyaml_schema_value_t link_schema
    = { CYAML_VALUE_MAPPING (CYAML_FLAG_DEFAULT, file_link_t, link_fields) };

static const cyaml_schema_field_t share_fields[] = {
  TEXT (file_share_t, half, REQUIRED),
  TEXT (file_share_t, percent, REQUIRED),
  CYAML_FIELD_END,
};

static const cyaml_schema_value_t share
    = { CYAML_VALUE_MAPPING (CYAML_FLAG_DEFAULT, file_share_t, share_fields) };

static const cyaml_schema_field_t service_fields[] = {
  TEXT (file_service_t, name, REQUIRED),
  LIST (file_service_t, hosts, OPTIONAL, &text, 0, CONFIG_MAX_HOSTS_PER_SERVICE),
  TEXT (file_service_t, owner, REQUIRED),
  LIST (file_service_t, shares, OPTIONAL, &share, 0, CONFIG_MAX_HALVES),
  TEXT (file_service_t, idempotent, REQUIRED),
  TEXT (file_service_t, deadline_ms, REQUIRED),
  TEXT (file_service_t, queue, REQUIRED),
  TEXT (file_service_t, request_kb, REQUIRED),
  TEXT (file_service_t, response_kb, REQUIRED),
  TEXT (file_service_t, max_request_kb, REQUIRED),
  TEXT (file_service_t, prefer, REQUIRED),
  CYAML_FIELD_END,
};

static const cyaml_schema_value_t service
    = { CYAML_VALUE_MAPPING (CYAML_FLAG_DEFAULT, file_service_t, service_fields) };

static const cyaml_schema_field_t group_fields[] = {
  TEXT (file_upstream_group_t, service, REQUIRED),
  TEXT (file_upstream_group_t, half, REQUIRED),
  TEXT (file_upstream_group_t, zone, REQUIRED),
  TEXT (file_upstream_group_t, address, REQUIRED),
  TEXT (file_upstream_group_t, port, REQUIRED),
  TEXT (file_upstream_group_t, count, OPTIONAL),
  TEXT (file_upstream_group_t, slots, REQUIRED),
  TEXT (file_upstream_group_t, connections, REQUIRED),
  TEXT (file_upstream_group_t, draining, OPTIONAL),
  LIST (file_upstream_group_t, drain, OPTIONAL, &text, 0, CONFIG_MAX_UPSTREAMS_PER_GROUP),
  CYAML_FIELD_END,
};

static const cyaml_schema_value_t group
    = { CYAML_VALUE_MAPPING (CYAML_FLAG_DEFAULT, file_upstream_group_t, group_fields) };

static const cyaml_schema_field_t shift_fields[] = {
  TEXT (file_shift_t, name, REQUIRED),
  TEXT (file_shift_t, service, REQUIRED),
  TEXT (file_shift_t, from, REQUIRED),
  TEXT (file_shift_t, to, REQUIRED),
  TEXT (file_shift_t, percent, REQUIRED),
  TEXT (file_shift_t, cap_mbit_per_s, OPTIONAL),
  TEXT (file_shift_t, cap_requests_per_s, OPTIONAL),
  TEXT (file_shift_t, ramp_s, REQUIRED),
  CYAML_FIELD_END,
};

static const cyaml_schema_value_t shift
    = { CYAML_VALUE_MAPPING (CYAML_FLAG_DEFAULT, file_shift_t, shift_fields) };

static const cyaml_schema_field_t seats_fields[] = {
  TEXT (file_seat_group_t, zone, REQUIRED),
  TEXT (file_seat_group_t, count, OPTIONAL),
  CYAML_FIELD_END,
};

static const cyaml_schema_value_t seats
    = { CYAML_VALUE_MAPPING (CYAML_FLAG_DEFAULT, file_seat_group_t, seats_fields) };

static const cyaml_schema_field_t file_fields[] = {
  TEXT (config_file_t, deployment, REQUIRED),
  LIST (config_file_t, halves, REQUIRED, &half, 1, CONFIG_MAX_HALVES),
  LIST (config_file_t, regions, REQUIRED, &region, 1, CONFIG_MAX_REGIONS),
  LIST (config_file_t, links, OPTIONAL, &link_schema, 0, CYAML_UNLIMITED),
  LIST (config_file_t, services, REQUIRED, &service, 1, CONFIG_MAX_SERVICES),
  LIST (config_file_t, upstreams, REQUIRED, &group, 1, CONFIG_MAX_GROUPS),
  LIST (config_file_t, shifts, OPTIONAL, &shift, 0, CONFIG_MAX_SHIFTS),
  LIST (config_file_t, seats, REQUIRED, &seats, 1, CONFIG_MAX_SEATS),
  CYAML_FIELD_END,
};

const cyaml_schema_value_t anvil_config_schema
    = { CYAML_VALUE_MAPPING (CYAML_FLAG_POINTER, config_file_t, file_fields) };
