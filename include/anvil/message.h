#pragma once

#include "anvil/clock.h"
#include "anvil/node.h"
#include "anvil/str.h"

/* Version of the protocol between entries; links from peers of another version are closed. */
#define ANVIL_PROTOCOL_VERSION 1

/* Limits on the arrays of messages. */
#define ANVIL_MAX_GOSSIP_MEMBERS 16
#define ANVIL_MAX_GOSSIP_ROWS 16
#define ANVIL_MAX_GOSSIP_DRAINS 32
#define ANVIL_MAX_SPARE_SLOT_RECORDS 16
#define ANVIL_MAX_LOAN_SLOTS 16
/* Limit on the length of a name, bytes. */
#define ANVIL_MAX_NAME_BYTES 64

/** anvil_message_kind_t - type of a message between the decision cores of two entries */
typedef enum
{
  ANVIL_MESSAGE_GOSSIP = 1,
  ANVIL_MESSAGE_GRANT_REQUEST = 2,
  ANVIL_MESSAGE_GRANT_RESPONSE = 3,
  ANVIL_MESSAGE_GRANT_RELEASE = 4,
  ANVIL_MESSAGE_LOAN_REQUEST = 5,
  ANVIL_MESSAGE_LOAN_RESPONSE = 6,
  ANVIL_MESSAGE_LOAN_RETURN = 7,
} anvil_message_kind_t;

/** anvil_member_state_t - state of a member; at the same version, the larger value wins */
typedef enum
{
  ANVIL_MEMBER_ALIVE = 0,
  ANVIL_MEMBER_LEAVING = 1,
  ANVIL_MEMBER_DEAD = 2,
} anvil_member_state_t;

/**
 * anvil_spare_slots_t - free slots that an entry could lend; a hint that may be out of date
 * @service: index of the service in the sender's configuration
 * @half: index of the half that owns the upstreams
 * @n_slots: number of free slots
 */
typedef struct
{
  guint16 service;
  guint16 half;
  guint16 n_slots;
} anvil_spare_slots_t;

/**
 * anvil_member_t - record that an entry publishes about itself; others pass it on
 * @node: its address
 * @incarnation: grows with every start of the process
 * @version: grows with every heartbeat of one incarnation
 * @state: alive, leaving or dead
 * @zone_hash: hash of its zone's name
 * @generation: generation of the configuration in force there
 * @caller_port: port for callers, on the node's address
 * @admin_port: port for administration
 * @load_permille: requests running and waiting, per mille of these and the free slots
 * @n_spare_slots: number of @spare_slots
 * @spare_slots: slots it could lend, by service and half
 */
typedef struct
{
  anvil_node_t node;
  guint64 incarnation;
  guint64 version;
  anvil_member_state_t state;
  guint64 zone_hash;
  guint64 generation;
  guint16 caller_port;
  guint16 admin_port;
  guint16 load_permille;
  guint8 n_spare_slots;
  anvil_spare_slots_t spare_slots[ANVIL_MAX_SPARE_SLOT_RECORDS];
} anvil_member_t;

/**
 * anvil_seat_row_t - a seat's row of the platform's table
 * @seat: number of the seat
 * @epoch: version of the row, used as fencing token; 0 if the row doesn't exist
 * @holder: entry that holds the seat, ANVIL_NO_NODE if it was released
 * @incarnation: incarnation of the holder
 * @list_version: version of the VM list that had the holder in it
 */
typedef struct
{
  guint16 seat;
  guint64 epoch;
  anvil_node_t holder;
  guint64 incarnation;
  guint64 list_version;
} anvil_seat_row_t;

/**
 * anvil_drain_t - whether an upstream is draining, that is takes no new work
 * @upstream: key of the upstream
 * @lamport_time: Lamport timestamp of the change; the record with the highest one wins
 * @draining: whether it is draining
 */
typedef struct
{
  guint64 upstream;
  guint64 lamport_time;
  gboolean draining;
} anvil_drain_t;

/** anvil_gossip_t - a heartbeat with recent changes; the first member is the sender */
typedef struct
{
  guint n_members;
  anvil_member_t members[ANVIL_MAX_GOSSIP_MEMBERS];
  guint n_rows;
  anvil_seat_row_t rows[ANVIL_MAX_GOSSIP_ROWS];
  guint n_drains;
  anvil_drain_t drains[ANVIL_MAX_GOSSIP_DRAINS];
} anvil_gossip_t;

/**
 * anvil_grant_request_t - requests a grant from one of a seat's witnesses
 * @seat: the seat
 * @epoch: epoch of the seat's row that the requester knows
 * @incarnation: incarnation of the requester
 * @generation: generation of the configuration in force at the requester
 * @requested_at: requester's clock, echoed in the response
 *
 * A seat may be used while a majority of its witnesses grants it.
 */
typedef struct
{
  guint16 seat;
  guint64 epoch;
  guint64 incarnation;
  guint64 generation;
  anvil_time_t requested_at;
} anvil_grant_request_t;

/**
 * anvil_grant_response_t - response of a witness
 * @seat: the seat requested
 * @witness: number of the seat whose holder responds
 * @incarnation: incarnation of the requester, echoed
 * @granted: whether this witness grants the seat for a term that begins at @requested_at
 * @exclusive_since: requester's clock at the first of its grants since which this witness has
 *   granted the seat to nobody else; 0 if it never granted it to another
 * @requested_at: echoed
 * @generation: generation of the configuration in force at the witness
 */
typedef struct
{
  guint16 seat;
  guint16 witness;
  guint64 incarnation;
  gboolean granted;
  anvil_time_t exclusive_since;
  anvil_time_t requested_at;
  guint64 generation;
} anvil_grant_response_t;

/**
 * anvil_grant_release_t - ends the sender's grant of a seat early
 * @seat: the seat
 * @incarnation: incarnation of the sender
 * @released_at: sender's clock; grants requested up to then are void
 */
typedef struct
{
  guint16 seat;
  guint64 incarnation;
  anvil_time_t released_at;
} anvil_grant_release_t;

/**
 * anvil_loan_kind_t - what is lent
 * @ANVIL_LOAN_SLOTS: slots of upstreams of one service and half
 * @ANVIL_LOAN_RATE: bits or requests of a rate limit
 */
typedef enum
{
  ANVIL_LOAN_SLOTS = 0,
  ANVIL_LOAN_RATE = 1,
} anvil_loan_kind_t;

/**
 * anvil_loan_request_t - asks a peer to lend a part of its share
 * @kind: what is requested
 * @nonce: identifies the request, echoed in the response
 * @incarnation: incarnation of the requester
 * @generation: generation of the configuration in force at the requester; a peer with another one
 *   lends nothing
 * @requested_at: requester's clock, echoed in the response
 * @service: index of the service, for slots
 * @half: index of the half, for slots
 * @n_slots: number of slots wanted
 * @budget_hash: hash of the name of the rate limit's budget
 * @amount: units of the budget wanted
 */
typedef struct
{
  anvil_loan_kind_t kind;
  guint64 nonce;
  guint64 incarnation;
  guint64 generation;
  anvil_time_t requested_at;
  guint16 service;
  guint16 half;
  guint16 n_slots;
  guint64 budget_hash;
  gint64 amount;
} anvil_loan_request_t;

/** anvil_loan_slot_t - one slot of an upstream, by the upstream's key */
typedef struct
{
  guint64 upstream;
  guint8 slot;
} anvil_loan_slot_t;

/**
 * anvil_loan_response_t - what a peer lends
 * @kind: as requested
 * @nonce: echoed
 * @incarnation: incarnation of the requester, echoed
 * @requested_at: echoed
 * @term: how long after @requested_at requests may be started on the slots
 * @budget_hash: as requested
 * @amount: units of the budget; they are transferred and never returned
 * @n_slots: number of @slots
 * @slots: slots lent
 */
typedef struct
{
  anvil_loan_kind_t kind;
  guint64 nonce;
  guint64 incarnation;
  anvil_time_t requested_at;
  anvil_time_t term;
  guint64 budget_hash;
  gint64 amount;
  guint8 n_slots;
  anvil_loan_slot_t slots[ANVIL_MAX_LOAN_SLOTS];
} anvil_loan_response_t;

/** anvil_loan_return_t - gives back borrowed slots on which no request runs any more */
typedef struct
{
  guint64 nonce;
  guint64 incarnation;
  guint8 n_slots;
  anvil_loan_slot_t slots[ANVIL_MAX_LOAN_SLOTS];
} anvil_loan_return_t;

/** anvil_message_t - a message between two decision cores */
typedef struct
{
  anvil_message_kind_t kind;
  union
  {
    anvil_gossip_t gossip;
    anvil_grant_request_t grant_request;
    anvil_grant_response_t grant_response;
    anvil_grant_release_t grant_release;
    anvil_loan_request_t loan_request;
    anvil_loan_response_t loan_response;
    anvil_loan_return_t loan_return;
  };
} anvil_message_t;
