/* Digests, which routers send each other over UDP.  Identifiers are 64-bit
   hashes of names.  */

const DIGEST_LOADS = 128;
const DIGEST_MORE_LOADS = 1152;
const DIGEST_MEMBERS = 64;
const DIGEST_DEATHS = 16;
const DIGEST_PARTS = 64;
const DIGEST_TEAMS = 64;
const DIGEST_ZONES = 16;
const DIGEST_RATES = 256;
const DIGEST_DEMANDS = 16;
const DIGEST_STREAMS = 512;
const DIGEST_VERSIONS = 32;
const DIGEST_ROLLOUTS = 8;
const DIGEST_EVIDENCE = 24;
const DIGEST_SUSPECTS = 24;
const DIGEST_ENGINES = 128;
const DIGEST_ENGINE_SERVICES = 4;
const DIGEST_BINS = 8;
const DIGEST_WAIT_SUMS = 6;
const DIGEST_PACE_SUMS = 6;
const DIGEST_RETURNS = 64;
const DIGEST_COLDS = 512;

/* Work that the sender has in progress at an endpoint.  */
struct digest_load
{
  unsigned hyper endpoint;
  unsigned int running; /* Requests.  */
  unsigned int prefill; /* Uncached prompt tokens of requests whose first
                           token has not arrived.  */
  unsigned int memory;  /* Prompt and expected output tokens.  */
  unsigned int pace;    /* Microseconds for each token; 0 if unknown.  */
  unsigned int limit;   /* Requests that may run there at once; 0 if
                           unknown.  */
};

/* A router: the sender itself or one that it knows.  */
struct digest_member
{
  unsigned hyper id;
  unsigned hyper incarnation; /* Start of the router, Unix microseconds.  */
  unsigned hyper zone;
  unsigned int ip; /* IPv4, in host byte order.  */
};

/* A request, by its fingerprint, and the deaths of endpoints that count against
   it; 0 stands for one unconfirmed death.  */
struct digest_death
{
  unsigned hyper fingerprint;
  unsigned int deaths;
};

/* What the sender knows of a part of prompts: the death of ENDPOINT if that is
   not 0, else that DEATHS endpoints died because of it or, if that is 0, that an
   answer began.  */
struct digest_part
{
  unsigned hyper part;
  unsigned hyper endpoint;
  unsigned int deaths;
  unsigned int age; /* Milliseconds since.  */
};

/* Recent rates of a team's requests at the sender, in cost units per
   second.  */
struct digest_team
{
  unsigned hyper team;
  unsigned int asked;   /* Demand: all requests that arrived.  */
  unsigned int refused; /* Part of the demand that was within the team's share,
                           but found no free capacity.  */
  unsigned int ended;   /* Requests that endpoints answered completely.  */
};

/* Zone sums: sums over the live routers of a zone, computed by one of its
   readers.  */
struct digest_zone
{
  unsigned hyper zone;
  unsigned hyper author; /* The router that computed the sums.  */
  unsigned int sequence; /* Of the author's digest.  */
  digest_load loads<DIGEST_LOADS>;
  digest_team teams<DIGEST_TEAMS>;
  digest_member ready<DIGEST_MEMBERS>; /* Routers that accept callers.  */
};

/* More of a zone, for the entry of the same index in the digest's zones: the
   processor time of its live routers that accept callers, in thousandths of a
   core, and that of each router in READY; and the work at the endpoints for
   which LOADS has no space.  */
struct digest_room
{
  unsigned hyper zone;
  unsigned int capacity;
  unsigned int used;
  unsigned int routers; /* Live ones.  */
  unsigned int level;   /* Harmonic mean of theirs.  */
  unsigned int capacities<DIGEST_MEMBERS>;
  digest_load more_loads<DIGEST_MORE_LOADS>;
};

/* An endpoint that names a limit of requests, or has named one lately.  */
struct digest_rate
{
  unsigned hyper endpoint;
  unsigned int limit; /* Thousandths of requests per second; 2^32 - 1 if the
                         sender's last answer of it names none.  */
  unsigned int age;   /* Milliseconds since that answer; 2^32 - 1 if the sender
                         has had none.  */
  unsigned int sent;  /* Requests in the last four seconds.  */
};

/* Requests for a service in the last four seconds.  */
struct digest_demand
{
  unsigned hyper service;
  unsigned int arrived;
};

/* More of a zone, for the entry of the same index in the digest's zones.  */
struct digest_flow
{
  unsigned hyper zone;
  digest_rate rates<DIGEST_RATES>;
  digest_demand demands<DIGEST_DEMANDS>;
};

/* A stream, by the hash of the attempt ID that brought its first event, and the
   software version that began it.  */
struct digest_stream
{
  unsigned hyper stream;
  unsigned int software;
};

/* A software version that endpoints of a service have had.  */
struct digest_version
{
  unsigned hyper service;
  unsigned int software;
  unsigned int age; /* Milliseconds since it was last listed.  */
};

/* Answers on one route and in one zone since the order or the sender's start,
   of the ordered version and of the others.  */
struct digest_evidence
{
  unsigned hyper route;
  unsigned hyper zone;
  unsigned int answers; /* That ran; FAILED and TIMED are part of them.  */
  unsigned int failed;
  unsigned int timed; /* Have a ratio; SLOW is part of them.  */
  unsigned int slow;
  unsigned int other_answers;
  unsigned int other_failed;
  unsigned int other_timed;
  unsigned int other_slow;
  float log_ratio; /* Recent mean of the natural logarithm of the ratios of the
                      others.  */
};

/* Bad answers of an endpoint of the ordered version.  */
struct digest_suspect
{
  unsigned hyper endpoint;
  unsigned int answers;
  unsigned int bad;
};

/* What the sender knows of an order to move a service to another version.  */
struct digest_rollout
{
  unsigned hyper service;
  unsigned hyper order;
  unsigned int software; /* Version that it names.  */
  unsigned int age;     /* Milliseconds since the order; 2^32 - 1 if it is not
                           known.  */
  unsigned int phase;   /* enum ms_rollout_phase.  */
  bool confirmed;       /* The store has that phase.  */
  unsigned int sent;        /* Requests to the ordered version.  */
  unsigned int other_sent;  /* To the others.  */
  unsigned int running_old; /* Requests in progress at the others.  */
  unsigned int routers;     /* That this is of.  */
  unsigned int unmoved;     /* Those of them that may still send requests to
                               the others.  */
  digest_evidence evidence<DIGEST_EVIDENCE>;
  digest_suspect suspects<DIGEST_SUSPECTS>;
};

/* The same of a zone, added up over its routers by one of its readers.  */
struct digest_zone_rollouts
{
  unsigned hyper zone;
  unsigned hyper author;
  unsigned int sequence; /* Of the author's digest.  */
  digest_rollout rollouts<DIGEST_ROLLOUTS>;
};

/* What answers of a model endpoint tell of its speed.  */
struct digest_engine
{
  unsigned hyper endpoint;
  unsigned int start; /* Tells the endpoint's starts apart.  */
  float read;         /* Tokens of prompts whose answers began lately.  */
  float fastest_tokens;
  float fastest_ms; /* 0 if there is none.  */
  float pace_samples;
  float pace_expected; /* Milliseconds.  */
  float pace_ms;
};

/* The fastest of COUNT answers to prompts of about the same size.  */
struct digest_bin
{
  float count;
  float fastest_tokens;
  float fastest_ms;
};

/* The same of a service, by its model endpoints together.  */
struct digest_engine_service
{
  unsigned hyper service;
  digest_bin bins[DIGEST_BINS];
  float wait[DIGEST_WAIT_SUMS];
  float pace[DIGEST_PACE_SUMS];
};

/* The same of a zone, added up over its routers by one of its readers.  */
struct digest_zone_engines
{
  unsigned hyper zone;
  unsigned hyper author;
  unsigned int sequence; /* Of the author's digest.  */
  /* Not encoded if this and what follows is empty.  */
  digest_engine engines<DIGEST_ENGINES>;
  digest_engine_service services<DIGEST_ENGINE_SERVICES>;
};

/* A request that the sender has refused, by the hash of its team, API key and
   content.  */
struct digest_return
{
  unsigned hyper key;
  unsigned int age;  /* Milliseconds since it first arrived.  */
  unsigned int wait; /* Milliseconds from then until its promise can be
                        claimed; 0 if it has none, 2^32 - 1 if the promise was
                        claimed.  */
  unsigned int size; /* Of the promise, in cost units.  */
};

/* What an endpoint said when the sender asked it.  */
struct digest_cold
{
  unsigned hyper endpoint;
  unsigned int left; /* Milliseconds for which it stays cold; 0 if it is not. */
  unsigned int age;  /* Milliseconds since it was asked.  */
};

struct fleet_digest
{
  digest_member self;
  unsigned int sequence;
  bool ready;
  bool leaving;
  unsigned int capacity; /* Thousandths of a CPU core.  */
  unsigned int rate;     /* Requests in the last ten seconds.  */
  digest_load loads<DIGEST_LOADS>;
  digest_member members<DIGEST_MEMBERS>;
  digest_death deaths<DIGEST_DEATHS>;
  digest_team teams<DIGEST_TEAMS>;
  digest_zone zones<DIGEST_ZONES>;
  /* Routers of earlier versions do not send what follows.  */
  unsigned int used;  /* Of CAPACITY.  */
  unsigned int level; /* The share level as computed by the sender, in cost
                         units per second; 0 if there is none.  */
  digest_room rooms<DIGEST_ZONES>;
  digest_part parts<DIGEST_PARTS>;
  digest_rate rates<DIGEST_RATES>;
  digest_demand demands<DIGEST_DEMANDS>;
  digest_flow flows<DIGEST_ZONES>;
  digest_stream streams<DIGEST_STREAMS>;
  digest_version versions<DIGEST_VERSIONS>;
  unsigned int known_for; /* Milliseconds in which no other versions were
                             listed.  */
  digest_rollout rollouts<DIGEST_ROLLOUTS>;
  digest_zone_rollouts zone_rollouts<DIGEST_ZONES>;
  /* Not encoded if this and what follows is empty.  */
  digest_engine engines<DIGEST_ENGINES>;
  digest_engine_service engine_services<DIGEST_ENGINE_SERVICES>;
  digest_zone_engines zone_engines<DIGEST_ZONES>;
  digest_return returns<DIGEST_RETURNS>;
  digest_cold colds<DIGEST_COLDS>;
  unsigned int doubted; /* Milliseconds for which the sender has doubted, by its
                           own reads, that its list of endpoints is up to date;
                           0 if it does not.  */
};
