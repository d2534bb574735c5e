/* Messages between routers.  Each is sent one way; none is answered by the
   RPC layer.  Identifiers are 64-bit hashes of names; times are microseconds
   on the sender's clock.  */

const PEER_SUSPECTS = 8;
const PEER_ADDRESS_BYTES = 48;
const PEER_DEMANDS = 64;
const PEER_RUNNING = 64;
const PEER_TOTALS = 128;
const PEER_CELL_ENDPOINTS = 64;
const PEER_PART_BYTES = 4096;

struct peer_suspect
{
  unsigned hyper node;
  unsigned hyper incarnation;
};

struct peer_probe
{
  unsigned hyper sequence;
  unsigned hyper generation;
  bool stale;
  opaque address<PEER_ADDRESS_BYTES>;
  peer_suspect suspects<PEER_SUSPECTS>;
};

/* How many requests of TEAM wait: interactive ones, long ones (BATCH), and
   suspects that must run ALONE.  HINT is the first one's expected cost.  */
struct peer_demand_item
{
  unsigned hyper team;
  unsigned interactive;
  unsigned batch;
  unsigned alone;
  unsigned hint;
};

struct peer_demand
{
  unsigned hyper cell;
  hyper sent_at;
  peer_demand_item items<PEER_DEMANDS>;
};

struct peer_grant
{
  unsigned hyper grant;
  unsigned hyper cell;
  unsigned hyper team;
  unsigned hyper endpoint;
  unsigned lane;
  bool warm;
  unsigned hyper start_id;
  hyper echo;
};

struct peer_grant_reply
{
  unsigned hyper grant;
  unsigned hyper cell;
  bool accepted;
};

struct peer_done
{
  unsigned hyper grant;
  unsigned hyper cell;
  unsigned result;
  unsigned cost;
  hyper duration;
};

struct peer_running_item
{
  unsigned hyper grant;
  unsigned cost;
};

struct peer_running
{
  unsigned hyper cell;
  hyper sent_at;
  bool complete;
  peer_running_item items<PEER_RUNNING>;
};

struct peer_idle
{
  unsigned hyper cell;
  unsigned slots;
};

struct peer_total
{
  unsigned hyper team;
  unsigned hyper units;
};

struct peer_totals
{
  unsigned hyper service;
  unsigned hyper owner;
  unsigned hyper incarnation;
  hyper sent_at;
  peer_total items<PEER_TOTALS>;
};

struct peer_totals_want
{
  unsigned hyper service;
};

struct peer_config_want
{
  unsigned hyper generation;
  unsigned offset;
};

struct peer_config_part
{
  unsigned hyper generation;
  unsigned total;
  unsigned offset;
  opaque data<PEER_PART_BYTES>;
};

/* RUNNING bounds the requests on the endpoint; all bits set: not known.  */
struct peer_handover_item
{
  unsigned hyper endpoint;
  unsigned running;
  unsigned limit;
  bool warm;
};

struct peer_handover
{
  unsigned hyper cell;
  unsigned hyper term;
  peer_handover_item items<PEER_CELL_ENDPOINTS>;
};

struct peer_death
{
  unsigned hyper fingerprint;
  unsigned deaths;
  bool cleared;
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
  unsigned hyper from;
  unsigned hyper incarnation;
  unsigned hyper applied;
  peer_body body;
};

program MS_PEER
{
  version MS_PEER_V1
  {
    void PEER_DELIVER (peer_message) = 1;
  } = 1;
} = 0x20004d53;
