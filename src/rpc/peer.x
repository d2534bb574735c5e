/* Messages between routers.  Each is one-way: the RPC layer sends no reply,
   and messages may be lost, repeated or reordered.  Identifiers are 64-bit
   hashes of names and 0 means none; times and durations are microseconds, and
   times are on the sender's clock unless said otherwise; costs are in cost
   units.  */

/* Most elements, or bytes, of the arrays in one message.  */
const PEER_SUSPECTS = 8;
const PEER_ADDRESS_BYTES = 48;
const PEER_DEMANDS = 64;
const PEER_RUNNING = 64;
const PEER_TOTALS = 128;
const PEER_CELL_ENDPOINTS = 64;
const PEER_PART_BYTES = 4096;

/* A router that does not answer the sender's probes.  */
struct peer_suspect
{
  unsigned hyper node;
  unsigned hyper incarnation;
};

/* A probe or its acknowledgement, which repeats SEQUENCE.  */
struct peer_probe
{
  unsigned hyper sequence;
  unsigned hyper generation; /* Of the sender's configuration.  */
  bool stale;                /* The sender cannot read the log.  */
  opaque address<PEER_ADDRESS_BYTES>; /* The sender's, "IP:PORT".  */
  peer_suspect suspects<PEER_SUSPECTS>;
};

/* Numbers of TEAM's requests that wait, by lane.  */
struct peer_demand_item
{
  unsigned hyper team;
  unsigned interactive; /* Waiting in the interactive lane.  */
  unsigned batch;       /* Waiting in the long lane (MS_LANE_LONG).  */
  unsigned alone;       /* Waiting in the lane of suspects (MS_LANE_SUSPECT):
                           they may have crashed endpoints and run alone.  */
  unsigned hint; /* Cost that the caller of the first waiting request
                    expects; 0 if unknown.  */
};

/* Demand of an entry router, sent to the dispatcher of CELL.  */
struct peer_demand
{
  unsigned hyper cell;
  hyper sent_at;
  peer_demand_item items<PEER_DEMANDS>;
};

/* Permission to start one request of TEAM on ENDPOINT.  Sent again, with the
   same identifier GRANT, until the entry router replies.  */
struct peer_grant
{
  unsigned hyper grant;
  unsigned hyper cell;
  unsigned hyper team;
  unsigned hyper endpoint;
  unsigned lane;           /* enum ms_lane.  */
  bool warm;               /* The dispatcher takes ENDPOINT for warm.  */
  unsigned hyper start_id; /* Identifies the start of ENDPOINT's process.  */
  hyper echo; /* sent_at of the demand that the grant answers, so a time of
                 the receiver's clock: the grant's lifetime counts from it.  */
};

/* Whether the entry router starts a request on GRANT.  */
struct peer_grant_reply
{
  unsigned hyper grant;
  unsigned hyper cell;
  bool accepted;
};

/* The end of the attempt that ran on GRANT.  */
struct peer_done
{
  unsigned hyper grant;
  unsigned hyper cell;
  unsigned result; /* enum ms_result.  */
  unsigned cost;
  hyper duration;
};

struct peer_running_item
{
  unsigned hyper grant;
  unsigned cost; /* Used so far.  */
};

/* What the entry router runs on grants of CELL.  If COMPLETE, the receiver
   closes the grants that it issued at least a grant lifetime ago and that are
   not listed: their done message was lost.  */
struct peer_running
{
  unsigned hyper cell;
  hyper sent_at;
  bool complete; /* All of them are listed.  */
  peer_running_item items<PEER_RUNNING>;
};

/* Number of free slots in CELL, which its dispatcher offers to a few routers
   that may have waiting requests.  */
struct peer_idle
{
  unsigned hyper cell;
  unsigned slots;
};

/* Cost units that TEAM was charged.  */
struct peer_total
{
  unsigned hyper team;
  unsigned hyper units; /* A signed number, sent in two's complement.  */
};

/* What the teams were charged for SERVICE by the router OWNER, or, if OWNER
   is 0, by incarnations of routers that have ended.  */
struct peer_totals
{
  unsigned hyper service;
  unsigned hyper owner;
  unsigned hyper incarnation; /* Of OWNER.  */
  hyper sent_at;
  peer_total items<PEER_TOTALS>;
};

/* Asks for all totals of SERVICE that the receiver knows.  */
struct peer_totals_want
{
  unsigned hyper service;
};

/* Asks for the next part of the configuration text.  */
struct peer_config_want
{
  unsigned hyper generation; /* This or a later one.  */
  unsigned offset;           /* Bytes received so far.  */
};

/* Bytes of the configuration text from OFFSET on.  */
struct peer_config_part
{
  unsigned hyper generation;
  unsigned total; /* Length of the whole text, in bytes.  */
  unsigned offset;
  opaque data<PEER_PART_BYTES>;
};

struct peer_handover_item
{
  unsigned hyper endpoint;
  unsigned running; /* Upper bound on its requests; all bits set: unknown.  */
  unsigned limit;   /* Concurrent requests it may have.  */
  bool warm;
};

/* State of CELL's endpoints, from its former dispatcher to the one that holds
   the cell in TERM.  */
struct peer_handover
{
  unsigned hyper cell;
  unsigned hyper term;
  peer_handover_item items<PEER_CELL_ENDPOINTS>;
};

/* Reports endpoints that ended while they ran a request.  */
struct peer_death
{
  unsigned hyper fingerprint; /* Of the request.  */
  unsigned deaths; /* Endpoints that have ended while they ran it; 0 if many
                      ended at once, so that it is hardly the cause.  */
  bool cleared;    /* It ran to its end since; earlier deaths don't count.  */
};

enum peer_kind
{
  PEER_PROBE = 1,
  PEER_PROBE_ACK = 2,
  PEER_DEMAND = 3,
  PEER_GRANT = 4,
  PEER_GRANT_REPLY = 5,
  PEER_DONE = 6,
  PEER_RUNNING_LIST = 7,
  PEER_IDLE = 8,
  PEER_TOTALS_SHARE = 9,
  PEER_TOTALS_WANT = 10,
  PEER_CONFIG_WANT = 11,
  PEER_CONFIG_PART = 12,
  PEER_HANDOVER = 13,
  PEER_DEATH = 14
};

union peer_body switch (peer_kind kind)
{
case PEER_PROBE:
case PEER_PROBE_ACK:
  peer_probe probe;
case PEER_DEMAND:
  peer_demand demand;
case PEER_GRANT:
  peer_grant grant;
case PEER_GRANT_REPLY:
  peer_grant_reply reply;
case PEER_DONE:
  peer_done done;
case PEER_RUNNING_LIST:
  peer_running running;
case PEER_IDLE:
  peer_idle idle;
case PEER_TOTALS_SHARE:
  peer_totals totals;
case PEER_TOTALS_WANT:
  peer_totals_want totals_want;
case PEER_CONFIG_WANT:
  peer_config_want want;
case PEER_CONFIG_PART:
  peer_config_part part;
case PEER_HANDOVER:
  peer_handover handover;
case PEER_DEATH:
  peer_death death;
};

struct peer_message
{
  unsigned hyper from;        /* The sender.  */
  unsigned hyper incarnation; /* Of the sender.  */
  unsigned hyper applied; /* Next offset of the control stream that the
                             sender will apply.  */
  peer_body body;
};

program MS_PEER
{
  version MS_PEER_V1
  {
    void PEER_DELIVER (peer_message) = 1;
  } = 1;
} = 0x20004d53;
