#include "base/alloc.h"
#include "member/liveness.h"

#include <stdlib.h>
#include <string.h>

/* Every PROBE_PERIOD, up to PROBES_PER_PERIOD random members are probed.  */
#define PROBE_PERIOD (1 * MS_SEC)
#define PROBES_PER_PERIOD 3

/* Members with an unanswered probe are probed again at this interval.  */
#define REPROBE_PERIOD (400 * MS_MSEC)

/* A member is silent after this many unanswered probes, the first of them
   sent at least SILENT_AFTER ago.  */
#define SILENT_PROBES 3
#define SILENT_AFTER (1200 * MS_MSEC)

/* Another router's report that a member is silent counts for this long.  */
#define SUSPICION_LIFETIME (5 * MS_SEC)

/* Minimum interval between appends of expire records, while the router waits
   to read the first ones back.  */
#define EXPIRE_APPEND_PERIOD (3 * MS_SEC)

/* A router is connected if last_heard of a member in another zone is at most
   this long ago.  */
#define CONNECTED_WITHIN (4 * MS_SEC)

struct ms_liveness
{
  struct ms_view *view;
  const struct ms_sink *sink;
  struct ms_random *random;
  ms_time next_probe;
  ms_time next_reprobe;
  ms_time last_expire_at;
  uint64_t sequence;
};

struct ms_liveness *
ms_liveness_create (struct ms_view *view, const struct ms_sink *sink,
                    struct ms_random *random)
{
  struct ms_liveness *liveness = ms_new (sizeof *liveness);

  liveness->view = view;
  liveness->sink = sink;
  liveness->random = random;
  return liveness;
}

void
ms_liveness_destroy (struct ms_liveness *liveness)
{
  free (liveness);
}

bool
ms_liveness_silent (const struct ms_member *member, ms_time now)
{
  return member->first_probe_sent_at
         && member->probes_unanswered >= SILENT_PROBES
         && now - member->first_probe_sent_at >= SILENT_AFTER;
}

/* Fill SUSPECTS with up to PEER_SUSPECTS silent members, and return their
   number.  */
static unsigned
collect_suspects (struct ms_liveness *liveness, peer_suspect *suspects,
                  ms_time now)
{
  struct ms_view *view = liveness->view;
  unsigned count = 0;

  for (unsigned i = 0; i < view->members_count && count < PEER_SUSPECTS; i++)
    if (view->members[i].id != view->self
        && ms_liveness_silent (&view->members[i], now))
      suspects[count++] = (peer_suspect){
        .node = view->members[i].id,
        .incarnation = view->members[i].incarnation,
      };
  return count;
}

/* Send NODE at ADDRESS a probe, or the acknowledgement of one, as KIND
   says.  */
static void
send_probe (struct ms_liveness *liveness, uint64_t node, const char *address,
            peer_kind kind, uint64_t sequence, ms_time now)
{
  struct ms_view *view = liveness->view;
  peer_suspect suspects[PEER_SUSPECTS];
  peer_message message = {
    .from = view->self,
    .incarnation = view->incarnation,
    .applied = view->applied,
    .body = { .kind = kind },
  };
  peer_probe *probe = &message.body.peer_body_u.probe;
  struct ms_effect effect
      = { .kind = MS_EFFECT_SEND, .send = { node, address, &message } };

  probe->sequence = sequence;
  probe->generation = view->config ? view->config->generation : 0;
  probe->stale = ms_view_stale (view, now);
  probe->address.address_val = view->peer_address;
  probe->address.address_len = (u_int)strlen (view->peer_address);
  probe->suspects.suspects_val = suspects;
  probe->suspects.suspects_len = collect_suspects (liveness, suspects, now);
  liveness->sink->emit (liveness->sink->context, &effect);
}

static void
probe_member (struct ms_liveness *liveness, struct ms_member *member,
              ms_time now)
{
  if (!member->first_probe_sent_at)
    member->first_probe_sent_at = now;
  member->probes_unanswered++;
  send_probe (liveness, member->id, member->peer_address, PEER_PROBE,
              ++liveness->sequence, now);
}

/* Probe a few random members.  The number is fixed, so that the cost per
   router does not grow with the fleet.  Members with an unanswered probe are
   left to reprobe_suspects.  */
static void
probe_random_members (struct ms_liveness *liveness, ms_time now)
{
  struct ms_view *view = liveness->view;

  for (int i = 0; i < PROBES_PER_PERIOD && view->members_count > 1; i++)
    {
      uint64_t pick = ms_random_below (liveness->random, view->members_count);
      struct ms_member *member = &view->members[pick];

      if (member->id != view->self && !member->first_probe_sent_at)
        probe_member (liveness, member, now);
    }
}

/* Probe members that have not answered their last probe, and members that
   another router reported as silent and that this one has not heard for
   longer than PROBE_PERIOD.  */
static void
reprobe_suspects (struct ms_liveness *liveness, ms_time now)
{
  struct ms_view *view = liveness->view;

  for (unsigned i = 0; i < view->members_count; i++)
    {
      struct ms_member *member = &view->members[i];
      bool reported = member->suspicions_count
                      && now - member->last_heard > PROBE_PERIOD;

      if (member->id != view->self
          && (member->first_probe_sent_at || reported))
        probe_member (liveness, member, now);
    }
}

/* Return true if all members but MEMBER are in this router's zone.  Then no
   router of a second zone can confirm that MEMBER is silent, and two routers
   of one zone are enough.  */
static bool
only_own_zone_left (const struct ms_view *view, const struct ms_member *member)
{
  for (unsigned i = 0; i < view->members_count; i++)
    if (&view->members[i] != member && view->members[i].zone != view->zone)
      return false;
  return true;
}

/* Return true if another router reported within SUSPICION_LIFETIME that
   MEMBER is silent.  The report must come from another zone, unless
   only_own_zone_left.  */
static bool
is_silence_confirmed (const struct ms_liveness *liveness,
                      const struct ms_member *member, ms_time now)
{
  const struct ms_view *view = liveness->view;

  for (unsigned i = 0; i < member->suspicions_count; i++)
    {
      const struct ms_suspicion *s = &member->suspicions[i];

      if (now - s->reported_at > SUSPICION_LIFETIME
          || s->reporter == view->self)
        continue;
      if (s->zone != view->zone || only_own_zone_left (view, member))
        return true;
    }
  return false;
}

static void
append_expire (struct ms_liveness *liveness, const struct ms_member *member)
{
  struct ms_record record = { .kind = MS_RECORD_EXPIRE,
                              .node = member->name,
                              .incarnation = member->incarnation };
  char *text = ms_record_print (&record);
  struct ms_effect effect
      = { .kind = MS_EFFECT_APPEND, .append = { MS_STREAM_CONTROL, 0, text } };

  liveness->sink->emit (liveness->sink->context, &effect);
  free (text);
}

static void
expire_silent_members (struct ms_liveness *liveness, ms_time now)
{
  struct ms_view *view = liveness->view;
  bool appended = false;

  if (now - liveness->last_expire_at < EXPIRE_APPEND_PERIOD)
    return;
  for (unsigned i = 0; i < view->members_count; i++)
    {
      struct ms_member *member = &view->members[i];

      if (member->id == view->self || !ms_liveness_silent (member, now)
          || !is_silence_confirmed (liveness, member, now))
        continue;
      append_expire (liveness, member);
      appended = true;
    }
  if (appended)
    liveness->last_expire_at = now;
}

void
ms_liveness_tick (struct ms_liveness *liveness, ms_time now)
{
  if (now >= liveness->next_reprobe)
    {
      reprobe_suspects (liveness, now);
      liveness->next_reprobe = now + REPROBE_PERIOD;
    }
  if (now >= liveness->next_probe)
    {
      probe_random_members (liveness, now);
      liveness->next_probe = now + PROBE_PERIOD;
    }
  expire_silent_members (liveness, now);
}

/* Record that REPORTER finds the member in SUSPECT silent.  The report is
   dropped if MS_MAX_SUSPICIONS others are kept already.  */
static void
note_suspicion (struct ms_liveness *liveness, const struct ms_member *reporter,
                const peer_suspect *suspect, ms_time now)
{
  struct ms_member *member = ms_view_member (liveness->view, suspect->node);
  struct ms_suspicion *slot = NULL;

  if (!member || member->incarnation != suspect->incarnation)
    return;
  for (unsigned i = 0; i < member->suspicions_count; i++)
    if (member->suspicions[i].reporter == reporter->id)
      slot = &member->suspicions[i];
  if (!slot && member->suspicions_count < MS_MAX_SUSPICIONS)
    slot = &member->suspicions[member->suspicions_count++];
  if (slot)
    *slot = (struct ms_suspicion){ reporter->id, reporter->zone, now };
}

/* Keep what MEMBER says in MESSAGE, a probe or an acknowledgement, about
   itself and about members that it finds silent.  */
static void
note_probe (struct ms_liveness *liveness, struct ms_member *member,
            const peer_message *message, ms_time now)
{
  const peer_probe *probe = &message->body.peer_body_u.probe;

  member->generation = probe->generation;
  member->stale = probe->stale;
  for (unsigned i = 0; i < probe->suspects.suspects_len; i++)
    note_suspicion (liveness, member, &probe->suspects.suspects_val[i], now);
}

/* Answer the probe in MESSAGE, even if its sender is no member: from the
   answer, a router that was expired learns that it is connected again and may
   join.  */
static void
answer_probe (struct ms_liveness *liveness, const peer_message *message,
              ms_time now)
{
  const peer_probe *probe = &message->body.peer_body_u.probe;
  char address[MS_ADDRESS_BYTES] = "";

  if (probe->address.address_len >= sizeof address)
    return;
  memcpy (address, probe->address.address_val, probe->address.address_len);
  send_probe (liveness, message->from, address, PEER_PROBE_ACK,
              probe->sequence, now);
}

void
ms_liveness_heard (struct ms_liveness *liveness, const peer_message *message,
                   ms_time now)
{
  struct ms_member *member = ms_view_member_incarnation (
      liveness->view, message->from, message->incarnation);

  if (message->body.kind == PEER_PROBE)
    answer_probe (liveness, message, now);
  if (!member)
    return;
  member->last_heard = now;
  member->first_probe_sent_at = 0;
  member->probes_unanswered = 0;
  member->suspicions_count = 0;
  if (message->applied > member->applied)
    member->applied = message->applied;
  if (message->body.kind == PEER_PROBE || message->body.kind == PEER_PROBE_ACK)
    note_probe (liveness, member, message, now);
}

bool
ms_liveness_connected (const struct ms_liveness *liveness, ms_time now)
{
  const struct ms_view *view = liveness->view;
  bool has_other_zone = false;

  for (unsigned i = 0; i < view->members_count; i++)
    {
      if (view->members[i].zone == view->zone)
        continue;
      has_other_zone = true;
      if (now - view->members[i].last_heard <= CONNECTED_WITHIN)
        return true;
    }
  return !has_other_zone;
}
