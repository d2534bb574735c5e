#include "gateway/rollouts.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/alloc.h"
#include "base/event.h"
#include "gateway/metrics.h"
#include "gateway/rollout_states.h"
#include "rollout/versions.h"

/* Time between two counts of the endpoints of services with an order.  */
#define COUNT_PERIOD (50 * MS_MSEC)

/* Duration of orders that were removed before this router knew them: their age
   is known up to this.  */
#define MAX_AGE (86400 * MS_SEC)

/* An order that the operators' records have, or had.  */
struct entry
{
  uint64_t service;
  struct plat_order order; /* That the rollouts know, if PUT.  */
  bool put;
  bool in_records;
  bool offset_known; /* Of its record, which is part of its identity.  */
  bool state_read;   /* The store was read since it was put.  */
  bool learned;      /* By the read in progress.  */

  /* A change of the record that is not applied yet.  */
  bool changed;
  bool removed;
  struct plat_order next;
  bool appeared; /* This router saw it happen, at CHANGED_AT.  */
  ms_time changed_at;
  bool skip_logged;

  /* Versions that earlier orders have not completed, as the store has them or
     this router saw, the latest one first; their hashes; and whether the
     service has listed endpoints of others.  */
  struct ms_name excluded[PLAT_ROLLOUT_EXCLUDED];
  uint32_t excluded_hashes[PLAT_ROLLOUT_EXCLUDED];
  bool has_others;
  bool started_later; /* They were read when this router started: no stream
                         there is to go on.  */

  enum ms_rollout_phase logged_phase;
  const char *logged_reason;
  UT_hash_handle hh;
};

struct ms_rollout_driver
{
  struct ms_gateway *gw;
  struct ms_versions *versions;
  struct ms_rollout_states *states;
  struct entry *entries;
  bool endpoints_changed; /* Since versions were last noted.  */
  bool holding;           /* Versions are held, by the settings.  */
  ms_time counted_at;     /* When endpoints were last counted.  */
  uint64_t era;           /* Of the store, as last seen.  */
  bool renumber; /* The store came back from an older copy, and offsets have
                    not been learned again yet.  */
};

/* Values for settings that lack them.  */
#define DEFAULT_SHARE 0.1
#define DEFAULT_SLACK 50
#define DEFAULT_ROLLBACK_MS 5000

static struct ms_rollout_options
rollout_options (const struct ms_gateway *gw)
{
  const struct ms_gateway_settings *s = gw->settings;

  return (struct ms_rollout_options){
    .exposure_share
    = s->exposure_share > 0 ? s->exposure_share : DEFAULT_SHARE,
    .exposure_slack
    = s->exposure_share > 0 ? s->exposure_slack : DEFAULT_SLACK,
    .rollback_time
    = (ms_time)((s->rollback_ms > 0 ? s->rollback_ms : DEFAULT_ROLLBACK_MS)
                * MS_MSEC),
    .random_seed = gw->id ^ gw->incarnation,
  };
}

static void
on_admitted (void *context, uint64_t service, uint32_t version,
             ms_time held_for)
{
  const struct ms_rollout_driver *d = context;
  const struct ms_service_entry *named
      = d->gw->routes ? ms_routes_service (d->gw->routes, service) : NULL;

  ms_event (d->gw->now, "version", "service=%s version=%x held_ms=%lld",
            named ? named->name.data : "-", version,
            (long long)(held_for / MS_MSEC));
}

struct ms_rollout_driver *
ms_rollout_driver_create (struct ms_gateway *gw)
{
  struct ms_rollout_driver *d = ms_new (sizeof *d);
  const struct ms_rollout_options options = rollout_options (gw);

  d->gw = gw;
  gw->rollouts = ms_rollouts_create (&options);
  d->versions = ms_versions_create (on_admitted, d);
  d->states = ms_rollout_states_create (gw);
  d->holding = gw->settings->exposure_share > 0;
  return d;
}

void
ms_rollout_driver_destroy (struct ms_rollout_driver *d)
{
  struct entry *entry, *next;

  if (!d)
    return;
  HASH_ITER (hh, d->entries, entry, next)
  {
    HASH_DEL (d->entries, entry);
    free (entry);
  }
  ms_rollouts_destroy (d->gw->rollouts);
  d->gw->rollouts = NULL;
  ms_versions_destroy (d->versions);
  ms_rollout_states_destroy (d->states);
  free (d);
}

static void
set_held (void *context, struct ms_endpoint_state *e)
{
  const struct ms_rollout_driver *d = context;

  e->held = d->holding
            && ms_versions_is_held (d->versions, e->entry.service,
                                    e->entry.version);
}

void
ms_rollout_driver_reload (struct ms_rollout_driver *d)
{
  const struct ms_rollout_options options = rollout_options (d->gw);

  ms_rollouts_set_options (d->gw->rollouts, &options);
  d->holding = d->gw->settings->exposure_share > 0;
  d->endpoints_changed = true;
  ms_place_each (d->gw->place, set_held, d);
}

static struct entry *
find_entry (const struct ms_rollout_driver *d, uint64_t service)
{
  struct entry *e;

  HASH_FIND (hh, d->entries, &service, sizeof service, e);
  return e;
}

static struct entry *
find_or_add_entry (struct ms_rollout_driver *d, uint64_t service)
{
  struct entry *e = find_entry (d, service);

  if (e)
    return e;
  e = ms_new (sizeof *e);
  e->service = service;
  HASH_ADD (hh, d->entries, service, sizeof e->service, e);
  return e;
}

/* Where the record of the order for SERVICE was written.  */
static uint64_t
record_offset (const struct ms_rollout_driver *d, const char *service)
{
  char key[PLAT_ROLLOUT_KEY_BYTES];

  plat_compose_rollout_key (key, sizeof key, service);
  return ms_replica_offset (ms_topic_replica (d->gw->operator_topic),
                            ms_str (key));
}

/* Return the identity of ORDER, whose record was written at OFFSET.  */
static uint64_t
identity (const struct plat_order *order, uint64_t offset)
{
  uint64_t content = ms_id_pair (order->version, (uint64_t)order->duration);
  uint64_t id = ms_id_pair (content, offset);

  return id ? id : 1;
}

/* Pass the order of E under ID to the rollouts.  */
static void
put_order (struct ms_rollout_driver *d, const struct entry *e, uint64_t id,
           bool appeared, ms_time at)
{
  const struct ms_rollout_order order = { .service = e->service,
                                          .version = e->order.version,
                                          .duration = e->order.duration,
                                          .id = id };

  ms_rollouts_put_order (d->gw->rollouts, &order, appeared, at);
}

static void
apply_removal (struct ms_rollout_driver *d, struct entry *e)
{
  if (!e->in_records)
    return;
  e->in_records = false;
  ms_event (d->gw->now, "rollout_removed", "service=%s to=%s",
            e->order.service.data, e->order.to.data);
  ms_rollouts_remove_order (d->gw->rollouts, e->service, d->gw->now);
}

static bool
is_excluded (const struct entry *e, uint32_t version)
{
  for (unsigned i = 0; i < PLAT_ROLLOUT_EXCLUDED; i++)
    if (version && e->excluded_hashes[i] == version)
      return true;
  return false;
}

/* Put the version TO of SERVICE first among those that E excludes.  */
static void
exclude_name (struct entry *e, const struct ms_name *to)
{
  uint32_t version = plat_version_hash (e->service, to->data);

  if (is_excluded (e, version))
    return;
  for (unsigned i = PLAT_ROLLOUT_EXCLUDED - 1; i > 0; i--)
    {
      e->excluded[i] = e->excluded[i - 1];
      e->excluded_hashes[i] = e->excluded_hashes[i - 1];
    }
  e->excluded[0] = *to;
  e->excluded_hashes[0] = version;
}

/* An order names VERSION: E excludes it no longer.  */
static void
admit_version (struct entry *e, uint32_t version)
{
  for (unsigned i = 0; i < PLAT_ROLLOUT_EXCLUDED; i++)
    if (e->excluded_hashes[i] == version)
      e->excluded_hashes[i] = 0;
}

/* The order of E is replaced: exclude its version if that was bad.  */
static void
exclude_former (struct ms_rollout_driver *d, struct entry *e)
{
  struct ms_rollout_state s;

  if (e->put && ms_rollouts_state (d->gw->rollouts, e->service, d->gw->now, &s)
      && (s.phase == MS_ROLLOUT_STOPPED || s.phase == MS_ROLLOUT_ROLLED_BACK)
      && s.order.version == e->order.version)
    exclude_name (e, &e->order.to);
}

static void
apply_order (struct ms_rollout_driver *d, struct entry *e)
{
  uint64_t offset = record_offset (d, e->next.service.data);
  uint64_t id = identity (&e->next, offset);

  exclude_former (d, e);
  admit_version (e, e->next.version);
  e->order = e->next;
  e->offset_known = offset != MS_NO_OFFSET;
  e->put = true;
  e->in_records = true;
  e->state_read = false;
  put_order (d, e, id, e->appeared, e->changed_at);
  ms_event (d->gw->now, "rollout_order",
            "service=%s to=%s duration_ms=%lld appeared=%d offset=%lld "
            "order=%016llx version=%x",
            e->order.service.data, e->order.to.data,
            (long long)(e->order.duration / MS_MSEC), e->appeared,
            e->offset_known ? (long long)offset : -1LL, (unsigned long long)id,
            e->order.version);
}

/* Whether the configuration names the service of E's next order; logs once if
   not.  */
static bool
is_named (const struct ms_rollout_driver *d, struct entry *e)
{
  if (d->gw->routes && ms_routes_service (d->gw->routes, e->service))
    return true;
  if (d->gw->routes && !e->skip_logged)
    ms_event (d->gw->now, "rollout_skipped",
              "service=%s error=\"no configuration names it\"",
              e->next.service.data);
  e->skip_logged = d->gw->routes != NULL;
  return false;
}

/* Apply changes of records.  After the store came back from an older copy, its
   records are believed only once the operators have written again what they
   had written since.  */
static void
apply_changes (struct ms_rollout_driver *d)
{
  struct entry *e, *next;

  if (ms_replica_settling (ms_topic_replica (d->gw->operator_topic),
                           d->gw->now))
    return;
  HASH_ITER (hh, d->entries, e, next)
  {
    if (!e->changed || (!e->removed && !is_named (d, e)))
      continue;
    e->changed = false;
    e->skip_logged = false;
    if (e->removed)
      apply_removal (d, e);
    else
      apply_order (d, e);
  }
}

/* Note a change of E's record, whose order is ORDER, or NULL if it was
   removed.  */
static void
note_change (struct ms_rollout_driver *d, struct entry *e,
             const struct plat_order *order)
{
  e->changed = true;
  e->removed = !order;
  if (order)
    e->next = *order;
  /* Records of the first snapshot are older than this router.  */
  e->appeared = ms_replica_loaded (ms_topic_replica (d->gw->operator_topic));
  e->changed_at = d->gw->now;
  apply_changes (d);
}

void
ms_rollout_driver_change (struct ms_rollout_driver *d, struct ms_str service,
                          struct ms_str value, bool removed)
{
  struct plat_order order;

  if (removed)
    {
      struct entry *e = find_entry (d, ms_id (service));

      if (e)
        note_change (d, e, NULL);
    }
  else if (plat_decode_order (service, value, &order) == MS_OK)
    note_change (d, find_or_add_entry (d, order.service_id), &order);
  else
    ms_event (d->gw->now, "rollout_skipped", "error=\"%s\"",
              ms_last_message ());
}

void
ms_rollout_driver_repeat (struct ms_rollout_driver *d, struct ms_str service)
{
  struct entry *e = find_entry (d, ms_id (service));

  if (e && !e->changed && e->in_records)
    note_change (d, e, &e->order);
}

void
ms_rollout_driver_configure (struct ms_rollout_driver *d)
{
  apply_changes (d);
}

void
ms_rollout_driver_note_endpoint (struct ms_rollout_driver *d,
                                 struct ms_endpoint_state *endpoint)
{
  if (endpoint)
    endpoint->held
        = d->holding
          && ms_versions_is_held (d->versions, endpoint->entry.service,
                                  endpoint->entry.version);
  d->endpoints_changed = true;
}

static void
note_version (void *context, struct ms_endpoint_state *e)
{
  struct ms_rollout_driver *d = context;

  if (e->listed)
    ms_versions_note (d->versions, e->entry.service, e->entry.version,
                      e->entry.born, d->gw->now);
}

/* Update which versions are held.  */
static void
update_held (struct ms_rollout_driver *d, ms_time now)
{
  const struct ms_replica *replica = ms_topic_replica (d->gw->operator_topic);
  struct entry *e, *next;

  if (!d->holding
      || (!d->endpoints_changed && !ms_versions_any_held (d->versions)))
    return;
  d->endpoints_changed = false;
  ms_place_each (d->gw->place, note_version, d);
  HASH_ITER (hh, d->entries, e, next)
  {
    if (e->put)
      ms_versions_note_order (d->versions, e->service, e->order.version);
  }
  /* Until the states were read, a version may be one that an earlier order has
     excluded.  */
  ms_versions_update (d->versions,
                      ms_replica_settling (replica, now)
                              || !ms_rollout_states_were_read (d->states)
                          ? 0
                          : ms_replica_read_at (replica),
                      now);
  ms_place_each (d->gw->place, set_held, d);
}

static uint64_t
mark_endpoint (const void *context, uint64_t service, uint64_t id)
{
  return ms_rollouts_mark (context, service, id);
}

/* An entry, and the phase of its order.  */
struct entry_phase
{
  struct entry *entry;
  enum ms_rollout_phase phase;
};

static void
note_others (void *context, struct ms_endpoint_state *endpoint)
{
  struct entry *e = ((const struct entry_phase *)context)->entry;

  if (endpoint->entry.service == e->service && endpoint->listed
      && !is_excluded (e, endpoint->entry.version))
    e->has_others = true;
}

/* Mark ENDPOINT if the order sends no new requests to it: then it is no
   capacity for the teams' shares.  */
static void
set_unused (void *context, struct ms_endpoint_state *endpoint)
{
  const struct entry_phase *p = context;
  const struct entry *e = p->entry;

  if (endpoint->entry.service != e->service)
    return;
  if (endpoint->entry.version != e->order.version)
    endpoint->unused
        = p->phase == MS_ROLLOUT_COMPLETED
          || (e->has_others && is_excluded (e, endpoint->entry.version));
  else if (p->phase == MS_ROLLOUT_CANARY)
    endpoint->unused = !endpoint->in_canary;
  else
    endpoint->unused
        = p->phase == MS_ROLLOUT_STOPPED || p->phase == MS_ROLLOUT_ROLLED_BACK;
}

/* Find out which endpoints of the services with orders may be used.  */
static void
mark_endpoints (struct ms_rollout_driver *d, ms_time now)
{
  struct ms_rollout_state s;
  struct entry *e, *next;

  HASH_ITER (hh, d->entries, e, next)
  {
    struct entry_phase p = { e, MS_ROLLOUT_NONE };

    if (ms_rollouts_state (d->gw->rollouts, e->service, now, &s))
      p.phase = s.phase;
    e->has_others = false;
    ms_place_each (d->gw->place, note_others, &p);
    ms_place_each (d->gw->place, set_unused, &p);
  }
}

/* Tell the rollouts of the endpoints of services with an order, and mark those
   of canaries.  */
static void
count_endpoints (struct ms_rollout_driver *d, ms_time now)
{
  struct ms_rollouts *rollouts = d->gw->rollouts;
  unsigned count;
  const uint64_t *services = ms_rollouts_services (rollouts, &count);

  if (now - d->counted_at < COUNT_PERIOD)
    return;
  d->counted_at = now;
  for (unsigned i = 0; i < count; i++)
    {
      const struct entry *e = find_entry (d, services[i]);
      struct ms_canary canary = { .mark = mark_endpoint, .context = rollouts };
      struct ms_version_use use;

      if (!e)
        continue;
      use = ms_place_version_use (d->gw->place, e->service, e->order.version,
                                  now);
      ms_rollouts_set_endpoints (rollouts, e->service, use.usable, use.others,
                                 use.running_here, use.running_elsewhere);
      canary.service = e->service;
      canary.version = e->order.version;
      canary.size = ms_rollouts_canary_size (rollouts, e->service, use.usable);
      ms_place_set_canary (d->gw->place, &canary, now);
    }
  mark_endpoints (d, now);
}

/* Log the changes of phases.  */
static void
log_phases (struct ms_rollout_driver *d, ms_time now)
{
  struct ms_rollout_state s;
  struct entry *e, *next;

  HASH_ITER (hh, d->entries, e, next)
  {
    if (!ms_rollouts_state (d->gw->rollouts, e->service, now, &s))
      {
        e->logged_phase = MS_ROLLOUT_NONE;
        continue;
      }
    if (s.phase == e->logged_phase && s.reason == e->logged_reason)
      continue;
    e->logged_phase = s.phase;
    e->logged_reason = s.reason;
    ms_metric_rollout_change ();
    ms_event (now, "rollout",
              "service=%s to=%s phase=%s reason=%s confirmed=%d age_ms=%lld "
              "duration_ms=%lld sent=%u sent_others=%u answers=%u failed=%u "
              "slow=%u answers_others=%u failed_others=%u slow_others=%u "
              "score=%.2f order=%016llx",
              e->order.service.data, e->order.to.data,
              ms_rollout_phase_name (s.phase), s.reason, s.confirmed,
              s.started_at ? (long long)((now - s.started_at) / MS_MSEC)
                           : -1LL,
              (long long)(s.order.duration / MS_MSEC), s.sent[0], s.sent[1],
              s.answers[0], s.failed[0], s.slow[0], s.answers[1], s.failed[1],
              s.slow[1], s.score, (unsigned long long)s.order.id);
  }
}

/* Forget entries of records that are gone, once the rollouts have.  */
static void
forget_entries (struct ms_rollout_driver *d, ms_time now)
{
  struct ms_rollout_state s;
  struct entry *e, *next;

  HASH_ITER (hh, d->entries, e, next)
  {
    struct entry_phase gone = { e, MS_ROLLOUT_NONE };

    if (e->in_records || e->changed
        || ms_rollouts_state (d->gw->rollouts, e->service, now, &s))
      continue;
    e->has_others = false;
    ms_place_each (d->gw->place, set_unused, &gone);
    HASH_DEL (d->entries, e);
    free (e);
  }
}

/* If the store has come back from an older copy since, it may lack the states;
   and the records of orders have other offsets, which are learned once the
   operators have written theirs again.  */
static void
check_era (struct ms_rollout_driver *d, ms_time now)
{
  const struct ms_replica *replica = ms_topic_replica (d->gw->operator_topic);
  uint64_t era = ms_replica_era (replica);
  struct entry *e, *next;

  if (era > d->era)
    {
      d->renumber = d->era != 0;
      d->era = era;
      if (d->renumber)
        ms_rollouts_forget_stored (d->gw->rollouts);
    }
  if (!d->renumber || ms_replica_settling (replica, now))
    return;
  d->renumber = false;
  HASH_ITER (hh, d->entries, e, next)
  {
    if (e->in_records && !e->changed)
      note_change (d, e, &e->order);
  }
}

/* Count the failures by crashes that no request has turned out to cause.  */
static void
note_crashes (struct ms_rollout_driver *d, ms_time now)
{
  struct ms_rollout_answer answer;

  while (ms_crashes_release (d->gw->crashes, &answer, now))
    ms_rollouts_note (d->gw->rollouts, &answer, now);
}

void
ms_rollout_driver_tick (struct ms_rollout_driver *d, ms_time now)
{
  check_era (d, now);
  note_crashes (d, now);
  apply_changes (d);
  update_held (d, now);
  if (!d->entries)
    {
      ms_rollout_states_tick (d->states, now);
      return;
    }
  count_endpoints (d, now);
  ms_rollouts_tick (d->gw->rollouts, now);
  ms_rollout_states_tick (d->states, now);
  log_phases (d, now);
  forget_entries (d, now);
}

unsigned
ms_rollout_driver_running (const struct ms_rollout_driver *d)
{
  struct ms_rollout_state s;
  unsigned running = 0;

  for (const struct entry *e = d->entries; e; e = e->hh.next)
    running += ms_rollouts_state (d->gw->rollouts, e->service, d->gw->now, &s)
               && s.phase != MS_ROLLOUT_COMPLETED
               && s.phase != MS_ROLLOUT_ROLLED_BACK;
  return running;
}

void
ms_rollout_driver_report (struct ms_rollout_driver *d,
                          struct ms_rollout_list *list, ms_time now)
{
  static struct ms_rollout_report reports[MS_ROLLOUTS];
  unsigned count = ms_rollouts_report (d->gw->rollouts, reports, now);

  /* The evidence on an order that has ended is of no use to others.  */
  for (unsigned i = 0; i < count; i++)
    if (reports[i].confirmed
        && (reports[i].phase == MS_ROLLOUT_COMPLETED
            || reports[i].phase == MS_ROLLOUT_ROLLED_BACK))
      reports[i].strata_count = reports[i].suspects_count = 0;
  ms_rollout_list_fill (list, reports, count, 0);
}

/* Whether the order of E is known by another ID elsewhere, as far as this
   router can tell, which does not know its record's offset.  */
static bool
may_have_id (const struct ms_rollout_driver *d, const struct entry *e,
             uint32_t version, uint64_t id, ms_time now)
{
  struct ms_rollout_state s;

  return e->in_records && !e->offset_known && id && version == e->order.version
         && ms_rollouts_state (d->gw->rollouts, e->service, now, &s)
         && s.phase == MS_ROLLOUT_UNKNOWN && s.order.id != id;
}

/* Whether REPORT tells of an order that was rolled back and removed before
   this router knew it: E is what it knows of the service, or NULL.  */
static bool
is_withdrawn (const struct ms_rollout_driver *d, const struct entry *e,
              const struct ms_rollout_report *report, ms_time now)
{
  struct ms_rollout_state s;

  if (!report->confirmed || report->phase != MS_ROLLOUT_ROLLED_BACK)
    return false;
  if (!e)
    return true;
  if (e->in_records || e->changed || e->order.version == report->version)
    return false;
  /* Of two removed orders, the later one counts.  */
  return !ms_rollouts_state (d->gw->rollouts, e->service, now, &s)
         || (s.started_at && report->age >= 0
             && now - report->age > s.started_at);
}

/* Let the rollouts exclude the version of ORDER, which was rolled back under
   ID and removed, while its endpoints are listed.  */
static void
exclude_version (struct ms_rollout_driver *d, const struct plat_order *order,
                 uint64_t id, ms_time age, ms_time now)
{
  struct entry *e = find_or_add_entry (d, order->service_id);

  e->order = *order;
  e->put = true;
  put_order (d, e, id ? id : 1, false, now);
  ms_rollouts_learn_state (d->gw->rollouts, e->service, e->order.version, id,
                           MS_ROLLOUT_ROLLED_BACK, age, now);
  ms_rollouts_remove_order (d->gw->rollouts, e->service, now);
}

/* The same for that of REPORT.  */
static void
exclude_reported (struct ms_rollout_driver *d,
                  const struct ms_rollout_report *report, ms_time now)
{
  const struct ms_service_entry *service
      = d->gw->routes ? ms_routes_service (d->gw->routes, report->service)
                      : NULL;
  struct plat_order order = { .service_id = report->service,
                              .version = report->version,
                              .duration = MAX_AGE };

  if (!service)
    return;
  order.service = service->name;
  order.to = ms_name ("-");
  exclude_version (d, &order, report->order, report->age, now);
}

void
ms_rollout_driver_merge (struct ms_rollout_driver *d, uint64_t source,
                         const struct ms_rollout_report *reports,
                         unsigned count, ms_time elapsed, ms_time now)
{
  for (unsigned i = 0; i < count; i++)
    {
      struct ms_rollout_report report = reports[i];
      const struct entry *e = find_entry (d, report.service);

      if (report.age >= 0)
        report.age += elapsed;
      if (is_withdrawn (d, e, &report, now))
        exclude_reported (d, &report, now);
      if (!e || !e->put)
        continue;
      if (may_have_id (d, e, report.version, report.order, now))
        put_order (d, e, report.order, false, now);
      ms_rollouts_merge (d->gw->rollouts, source, &report, now);
    }
}

const struct plat_order *
ms_rollout_driver_order (const struct ms_rollout_driver *d, uint64_t service)
{
  const struct entry *e = find_entry (d, service);

  return e && e->put ? &e->order : NULL;
}

struct ms_rollout_choice
ms_rollout_driver_choose (const struct ms_rollout_driver *d, uint64_t service,
                          bool again, ms_time now)
{
  struct ms_rollout_choice choice
      = ms_rollouts_choose (d->gw->rollouts, service, again, now);
  const struct entry *e = find_entry (d, service);

  if (!e || !e->has_others)
    return choice;
  /* The first place is that of the ordered version.  */
  for (unsigned i = 0; i < PLAT_ROLLOUT_EXCLUDED; i++)
    for (unsigned j = 1; e->excluded_hashes[i] && j < MS_ROLLOUT_EXCLUDED; j++)
      if (!choice.except[j] || choice.except[j] == e->excluded_hashes[i])
        {
          choice.except[j] = e->excluded_hashes[i];
          break;
        }
  return choice;
}

bool
ms_rollout_driver_allows (const struct ms_rollout_driver *d, uint64_t service,
                          uint32_t version, ms_time now)
{
  const struct entry *e = find_entry (d, service);

  return ms_rollouts_allows (d->gw->rollouts, service, version, now)
         && !(e && e->has_others && e->started_later
              && is_excluded (e, version));
}

void
ms_rollout_driver_fill_excluded (const struct ms_rollout_driver *d,
                                 struct plat_rollout_state *state)
{
  const struct entry *e = find_entry (d, ms_id (ms_str (state->service.data)));

  state->excluded_count = 0;
  for (unsigned i = 0; e && i < PLAT_ROLLOUT_EXCLUDED; i++)
    if (e->excluded_hashes[i])
      state->excluded[state->excluded_count++] = e->excluded[i];
}

/* Take over what STATE, of the service of E, says of versions that earlier
   orders have not completed.  */
static void
learn_excluded (struct entry *e, const struct plat_rollout_state *state)
{
  for (unsigned i = state->excluded_count; i-- > 0;)
    exclude_name (e, &state->excluded[i]);
  if (state->phase == PLAT_ROLLOUT_ROLLED_BACK)
    exclude_name (e, &state->to);
  e->started_later = true;
  admit_version (e, e->order.version);
}

/* Return the time since the order of STATE began, below 0 if it is not
   stated.  Clocks may differ.  */
static ms_time
age_of (const struct plat_rollout_state *state)
{
  ms_time age = ms_gateway_unix_us () - (ms_time)state->started_ms * MS_MSEC;

  if (!state->started_ms)
    return -1;
  return age > 0 ? age : 0;
}

/* The operators have removed the order of STATE, which was rolled back.  */
static void
exclude_stored (struct ms_rollout_driver *d,
                const struct plat_rollout_state *state, ms_time now)
{
  struct plat_order order
      = { .service = state->service,
          .to = state->to,
          .service_id = ms_id (ms_str (state->service.data)),
          .duration = MAX_AGE };

  order.version = plat_version_hash (order.service_id, state->to.data);
  exclude_version (d, &order, state->order, age_of (state), now);
}

void
ms_rollout_driver_learn (struct ms_rollout_driver *d, uint64_t service,
                         const struct plat_rollout_state *state, bool at_start,
                         ms_time now)
{
  static const enum ms_rollout_phase phases[]
      = { MS_ROLLOUT_CANARY, MS_ROLLOUT_COMPLETED, MS_ROLLOUT_ROLLED_BACK };
  struct entry *e = find_entry (d, service);
  uint32_t version = plat_version_hash (service, state->to.data);

  if (!e && at_start && state->phase == PLAT_ROLLOUT_ROLLED_BACK)
    {
      exclude_stored (d, state, now);
      learn_excluded (find_entry (d, service), state);
      return;
    }
  /* Its order may still wait for the configuration.  */
  if (e && at_start)
    learn_excluded (e, state);
  if (!e || !e->put)
    return;
  e->learned = true;
  if (may_have_id (d, e, version, state->order, now))
    put_order (d, e, state->order, false, now);
  ms_rollouts_learn_state (d->gw->rollouts, service, version, state->order,
                           phases[state->phase], age_of (state), now);
}

bool
ms_rollout_driver_needs_state (const struct ms_rollout_driver *d)
{
  struct ms_rollout_state s;
  const struct entry *e;

  for (e = d->entries; e; e = e->hh.next)
    if (e->put && !e->state_read
        && ms_rollouts_state (d->gw->rollouts, e->service, d->gw->now, &s)
        && s.phase == MS_ROLLOUT_UNKNOWN)
      return true;
  return false;
}

void
ms_rollout_driver_read_all (struct ms_rollout_driver *d, ms_time now)
{
  struct entry *e, *next;

  HASH_ITER (hh, d->entries, e, next)
  {
    if (e->put && !e->learned)
      ms_rollouts_learn_state (d->gw->rollouts, e->service, e->order.version,
                               0, MS_ROLLOUT_NONE, -1, now);
    e->state_read = e->state_read || e->put;
    e->learned = false;
  }
}
