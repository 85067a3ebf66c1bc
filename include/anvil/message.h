#pragma once

#include "anvil/clock.h"
#include "anvil/node.h"
#include "anvil/str.h"

/* Version of the protocol between entries; a peer of another version is refused. */
#define ANVIL_PROTOCOL_VERSION 1

#define ANVIL_MAX_GOSSIP_MEMBERS 16
#define ANVIL_MAX_GOSSIP_ROWS 16
#define ANVIL_MAX_GOSSIP_DRAINS 32
#define ANVIL_MAX_SPARE_SLOT_RECORDS 16
#define ANVIL_MAX_LOAN_SLOTS 16
#define ANVIL_MAX_NAME_BYTES 64

/** anvil_message_kind_t - kinds of message between the decision cores of two entries */
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

/** anvil_member_state_t - what is known of a member; a larger state wins at the same version */
typedef enum
{
  ANVIL_MEMBER_ALIVE = 0,
  ANVIL_MEMBER_LEAVING = 1,
  ANVIL_MEMBER_DEAD = 2,
} anvil_member_state_t;

/**
 * anvil_spare_slots_t - slots that an entry could lend, a hint that may be stale
 * @service: index under the sender's generation
 * @half: half that owns the upstreams
 * @n_slots: free slots
 */
typedef struct
{
  guint16 service;
  guint16 half;
  guint16 n_slots;
} anvil_spare_slots_t;

/**
 * anvil_member_t - what an entry tells about itself, passed on by others
 * @node: its address
 * @incarnation: grows with every start of the process
 * @version: grows with every heartbeat of one incarnation
 * @state: alive, leaving or dead
 * @zone_hash: hash of its zone's name
 * @generation: configuration in force there
 * @caller_port: port for callers, on the node's address
 * @admin_port: port for administration
 * @load_permille: requests under way and waiting, per mille of what it could run
 * @spare_slots: slots it could lend
 * @n_spare_slots: how many
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
 * anvil_seat_row_t - who holds a seat, as the platform's table has it
 * @seat: number of the seat
 * @epoch: version of the row, the fencing token; 0 if the row doesn't exist
 * @holder: node that holds it, ANVIL_NO_NODE if it was released
 * @incarnation: incarnation of the holder
 * @list_version: version of the VM list in which the holder saw itself
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
 * anvil_drain_t - an upstream that takes no new work, or takes it again
 * @upstream: its key
 * @lamport_time: wall clock of who learnt it, microseconds; the latest wins
 * @draining: whether it drains
 */
typedef struct
{
  guint64 upstream;
  guint64 lamport_time;
  gboolean draining;
} anvil_drain_t;

/** anvil_gossip_t - a heartbeat with news; the sender's own record comes first */
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
 * anvil_grant_request_t - asks a witness for the use of a seat for a term
 * @seat: the seat
 * @epoch: epoch of the seat's row that the asker knows
 * @incarnation: incarnation of the asker
 * @generation: configuration in force at the asker
 * @requested_at: asker's clock, echoed in the answer
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
 * anvil_grant_response_t - answer of a witness
 * @seat: the seat asked for
 * @witness: number of the seat whose holder answers
 * @incarnation: echo of the asker's incarnation
 * @granted: whether the asker may count on this witness until asked_at plus the term
 * @exclusive_since: asker's clock at the first grant since which this witness has granted the seat
 * to nobody else; 0 if it never has
 * @requested_at: echo
 * @generation: configuration in force at the witness
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
 * anvil_grant_release_t - the sender stops using a seat before its term ends
 * @seat: the seat
 * @incarnation: incarnation of the sender
 * @released_at: sender's clock; grants asked for up to then are void
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
 * @ANVIL_LOAN_RATE: bits or requests of a rate budget
 */
typedef enum
{
  ANVIL_LOAN_SLOTS = 0,
  ANVIL_LOAN_RATE = 1,
} anvil_loan_kind_t;

/**
 * anvil_loan_request_t - asks a peer for a part of its share
 * @kind: what is asked for
 * @nonce: tells the answers of one asker apart
 * @incarnation: incarnation of the asker
 * @generation: configuration in force at the asker; a lender of another generation lends nothing
 * @requested_at: asker's clock, echoed
 * @service: index of the service, for slots
 * @half: index of the half, for slots
 * @n_slots: slots wanted
 * @budget_hash: hash of the rate budget's name
 * @amount: units wanted of the rate budget
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
 * @term: how long after @requested_at work may be started under the loan, microseconds
 * @amount: units of a rate budget; they are the borrower's from now on
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

/** anvil_loan_return_t - slots whose work has ended and that the borrower uses no more */
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
