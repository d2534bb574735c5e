#include "gateway/rollout_states.h"

#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "base/alloc.h"
#include "base/event.h"
#include "gateway/exchange.h"
#include "gateway/metrics.h"
#include "gateway/rollouts.h"

/* Before a state is written or read, a random time up to this, so that the
   readers of all zones, or all routers that start, do not come at once.  Most
   then find that the state was written, or that a peer told it.  */
#define SPREAD (300 * MS_MSEC)

/* The same after another router has written meanwhile.  */
#define CONFLICT_SPREAD (50 * MS_MSEC)

/* Delay after a failed call, and time limit of a call.  */
#define RETRY_DELAY (500 * MS_MSEC)
#define CALL_TIMEOUT (1500 * MS_MSEC)

struct ms_rollout_states
{
  struct ms_gateway *gw;
  struct ms_exchange *exchange;
  struct sockaddr_in store;
  char path[PLAT_AFTER_BYTES + 256];
  char record[1024];
  bool read;                    /* The states were read at least once.  */
  bool planned;                 /* A call is due at NEXT_CALL.  */
  ms_time next_call;            /* No call starts before this time.  */
  char after[PLAT_AFTER_BYTES]; /* The next page starts after this key.  */
  uint64_t end;   /* Offset at which the topic ended when it was read.  */
  bool may_write; /* It was read for a state that is to be written.  */
  struct ms_rollout_state written; /* The one that is being written.  */
};

static void
learn_state (void *context, const struct plat_record *record)
{
  struct ms_rollout_states *s = context;
  struct plat_rollout_state state;
  struct ms_str service;

  if (record->removed || !plat_rollout_key (record->key, &service))
    return;
  if (plat_decode_state (service, record->value, &state) == MS_OK)
    ms_rollout_driver_learn (s->gw->rollout_driver, ms_id (service), &state,
                             !s->read, s->gw->now);
  else
    ms_event (s->gw->now, "rollout_state_invalid", "error=\"%s\"",
              ms_last_message ());
}

/* A call failed with CODE, 0 if there was no answer: try again later.  */
static void
call_failed (struct ms_rollout_states *s, const char *event, unsigned code)
{
  ms_event (s->gw->now, event, "code=%u", code);
  s->after[0] = '\0';
  s->may_write = false;
  s->next_call = s->gw->now + RETRY_DELAY;
}

static void
on_read (void *context, enum ms_status status, unsigned code,
         struct ms_str body, ms_time sent_at)
{
  struct ms_rollout_states *s = context;
  struct ms_gateway *gw = s->gw;
  bool first_page = !s->after[0];
  bool more = false;
  uint64_t end = 0;

  (void)sent_at;
  /* 404: nothing was written yet.  */
  if (status != MS_OK
      || (code != 404
          && (code != 200
              || plat_decode_newest (body, learn_state, s, &end, &more,
                                     s->after, sizeof s->after)
                     != MS_OK)))
    {
      call_failed (s, "rollout_state_unread", status == MS_OK ? code : 0);
      return;
    }
  if (first_page)
    s->end = end;
  if (more)
    return;
  s->after[0] = '\0';
  ms_rollout_driver_read_all (gw->rollout_driver, gw->now);
  s->read = true;
  s->may_write = true;
}

/* Note that the store has the state that was written.  */
static void
note_written (struct ms_rollout_states *s)
{
  const struct ms_rollout_state *w = &s->written;
  const struct plat_order *order
      = ms_rollout_driver_order (s->gw->rollout_driver, w->order.service);
  ms_time now = s->gw->now;

  ms_metric_rollout_write ();
  ms_event (now, "rollout_state", "service=%s to=%s state=%s at=%llu",
            order ? order->service.data : "-", order ? order->to.data : "-",
            w->phase == MS_ROLLOUT_CANARY ? "running"
                                          : ms_rollout_phase_name (w->phase),
            (unsigned long long)s->end);
  ms_rollouts_learn_state (s->gw->rollouts, w->order.service, w->order.version,
                           w->order.id, w->phase,
                           w->started_at ? now - w->started_at : -1, now);
}

static void
on_written (void *context, enum ms_status status, unsigned code,
            struct ms_str body, ms_time sent_at)
{
  struct ms_rollout_states *s = context;

  (void)body;
  (void)sent_at;
  if (status == MS_OK && code == 200)
    note_written (s);
  else if (status == MS_OK && code == 412)
    s->next_call
        = s->gw->now
          + (ms_time)ms_random_below (&s->gw->random, CONFLICT_SPREAD);
  else
    /* Without an answer it may have been written: the read will tell.  */
    call_failed (s, "rollout_state_unwritten", status == MS_OK ? code : 0);
}

static void
start_read (struct ms_rollout_states *s)
{
  plat_newest_path (s->path, sizeof s->path, PLAT_TOPIC_STATUS, s->after);
  ms_exchange_call (s->exchange, &s->store, "GET", s->path,
                    (struct ms_str){ "", 0 }, CALL_TIMEOUT, on_read, s);
}

/* Write STATE, provided that nothing was written since the read.  */
static void
start_write (struct ms_rollout_states *s, const struct ms_rollout_state *state,
             const struct plat_order *order)
{
  ms_time now = s->gw->now;
  struct plat_rollout_state encoded = {
    .service = order->service,
    .to = order->to,
    .phase = state->phase == MS_ROLLOUT_COMPLETED ? PLAT_ROLLOUT_COMPLETED
             : state->phase == MS_ROLLOUT_ROLLED_BACK
                 ? PLAT_ROLLOUT_ROLLED_BACK
                 : PLAT_ROLLOUT_RUNNING,
    .started_ms
    = state->started_at
          ? (ms_gateway_unix_us () - (now - state->started_at)) / MS_MSEC
          : 0,
    .order = state->order.id,
  };
  size_t length;

  ms_rollout_driver_fill_excluded (s->gw->rollout_driver, &encoded);
  length = plat_encode_state (s->record, sizeof s->record, &encoded);
  s->written = *state;
  plat_append_at_path (s->path, sizeof s->path, PLAT_TOPIC_STATUS, s->end);
  ms_exchange_call (s->exchange, &s->store, "POST", s->path,
                    (struct ms_str){ s->record, length }, CALL_TIMEOUT,
                    on_written, s);
}

/* Whether a state is to be written by this router, *STATE of *ORDER.  */
static bool
find_unwritten (const struct ms_rollout_states *s,
                struct ms_rollout_state *state,
                const struct plat_order **order, ms_time now)
{
  if (!ms_fleet_reads_store (s->gw->fleet, now)
      || !ms_rollouts_unwritten (s->gw->rollouts, now, state))
    return false;
  *order
      = ms_rollout_driver_order (s->gw->rollout_driver, state->order.service);
  return *order != NULL;
}

/* Whether this router is to read the states for itself: those of orders whose
   state is not known, or at its start for versions that are excluded though
   their order was removed.  */
static bool
needs_read (const struct ms_rollout_states *s)
{
  return ms_rollout_driver_needs_state (s->gw->rollout_driver)
         || (!s->read && s->gw->settings->exposure_share > 0
             && ms_replica_loaded (ms_topic_replica (s->gw->operator_topic)));
}

bool
ms_rollout_states_were_read (const struct ms_rollout_states *s)
{
  return s->read;
}

void
ms_rollout_states_tick (struct ms_rollout_states *s, ms_time now)
{
  struct ms_rollout_state state;
  const struct plat_order *order;
  bool unwritten;

  if (ms_exchange_busy (s->exchange) || now < s->next_call)
    return;
  unwritten = find_unwritten (s, &state, &order, now);
  if (!unwritten && !needs_read (s) && !s->after[0])
    {
      s->planned = false;
      s->may_write = false;
      return;
    }
  if (!s->planned)
    {
      s->planned = true;
      s->next_call = now + (ms_time)ms_random_below (&s->gw->random, SPREAD);
      return;
    }
  if (!unwritten || !s->may_write)
    {
      start_read (s);
      return;
    }
  s->may_write = false;
  start_write (s, &state, order);
}

struct ms_rollout_states *
ms_rollout_states_create (struct ms_gateway *gw)
{
  struct ms_rollout_states *s = ms_new (sizeof *s);

  s->gw = gw;
  /* Cannot fail: the settings were checked for a valid address.  */
  ms_address_parse (gw->settings->store_address, &s->store);
  s->exchange = ms_exchange_create (&gw->loop, &gw->clock);
  return s;
}

void
ms_rollout_states_destroy (struct ms_rollout_states *s)
{
  if (!s)
    return;
  ms_exchange_destroy (s->exchange);
  free (s);
}
