/* What gateways tell each other over UDP.  Identifiers are 64-bit hashes of
   names.  */

const DIGEST_LOADS = 128;
const DIGEST_MEMBERS = 64;
const DIGEST_DEATHS = 16;
const DIGEST_TEAMS = 64;
const DIGEST_ZONES = 16;

/* Work that the sender has at an endpoint.  */
struct digest_load
{
  unsigned hyper endpoint;
  unsigned int running;
  unsigned int prefill;
  unsigned int memory;
  unsigned int pace; /* Microseconds a token takes; 0 if not known.  */
  unsigned int limit; /* Requests that may run there; 0 if not known.  */
};

/* A router the sender knows of.  */
struct digest_member
{
  unsigned hyper id;
  unsigned hyper incarnation;
  unsigned hyper zone;
  unsigned int ip;
};

/* A request under which endpoints ended.  */
struct digest_death
{
  unsigned hyper fingerprint;
  unsigned int deaths;
};

/* What a team's callers asked of the sender lately, what of it was refused for
   want of room and what endpoints answered, in tokens a second.  */
struct digest_team
{
  unsigned hyper team;
  unsigned int asked;
  unsigned int refused;
  unsigned int ended;
};

/* The routers of a zone together, by one of them.  */
struct digest_zone
{
  unsigned hyper zone;
  unsigned hyper author;
  unsigned int sequence; /* The author's.  */
  digest_load loads<DIGEST_LOADS>;
  digest_team teams<DIGEST_TEAMS>;
  digest_member ready<DIGEST_MEMBERS>;
};

struct fleet_digest
{
  digest_member self;
  unsigned int sequence;
  bool ready;
  bool leaving;
  unsigned int capacity; /* Thousandths of a core.  */
  unsigned int rate;     /* Requests in ten seconds.  */
  digest_load loads<DIGEST_LOADS>;
  digest_member members<DIGEST_MEMBERS>;
  digest_death deaths<DIGEST_DEATHS>;
  digest_team teams<DIGEST_TEAMS>;
  digest_zone zones<DIGEST_ZONES>;
};
