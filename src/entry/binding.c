#include "base/metrics.h"
#include "base/switches.h"
#include "entry/internal.h"

/* A new interval has a weight of 1 / 8 in the mean interval of grants.  */
#define GRANT_INTERVAL_DIVISOR 8

static bool
was_tried_on (const struct request *request, uint64_t endpoint)
{
  for (unsigned i = 0; i < request->tried_endpoints_count; i++)
    if (request->tried_endpoints[i] == endpoint)
      return true;
  return false;
}

static struct request *
find_untried (struct queue *queue, enum ms_lane lane, uint64_t endpoint)
{
  for (struct request *r = queue->lanes[lane]; r; r = r->next)
    if (!was_tried_on (r, endpoint))
      return r;
  return NULL;
}

/* Return the first request of GRANT's team that was not yet tried on GRANT's
   endpoint: from the lane granted, else from the interactive lane, else from
   the long one.  Requests suspected of crashing endpoints run only on grants
   for MS_LANE_SUSPECT, since the dispatcher keeps the endpoint free of other
   work for those.  */
static struct request *
choose_request (struct ms_entry *entry, const peer_grant *grant,
                uint64_t service)
{
  struct queue *queue = ms_entry_get_queue (entry, service, grant->team);
  struct request *request;

  if (grant->lane >= MS_LANES)
    return NULL;
  request = find_untried (queue, (enum ms_lane)grant->lane, grant->endpoint);
  if (!request && grant->lane != MS_LANE_INTERACTIVE)
    request = find_untried (queue, MS_LANE_INTERACTIVE, grant->endpoint);
  if (!request && grant->lane != MS_LANE_LONG)
    request = find_untried (queue, MS_LANE_LONG, grant->endpoint);
  return request;
}

static void
send_reply (struct ms_entry *entry, const peer_message *message, bool accepted)
{
  const peer_grant *grant = &message->body.peer_body_u.grant;
  peer_message reply = { .body = { .kind = PEER_GRANT_REPLY } };

  reply.body.peer_body_u.reply = (peer_grant_reply){ .grant = grant->grant,
                                                     .cell = grant->cell,
                                                     .accepted = accepted };
  if (!accepted)
    ms_count (MS_M_GRANTS_DECLINED, 1);
  ms_view_send (entry->view, entry->sink, message->from, &reply);
}

/* Return true if GRANT has not expired and its endpoint may get new work.
   GRANT's echo is the send time of the demand that it answers, by this
   router's clock.  */
static bool
is_acceptable (struct ms_entry *entry, const peer_grant *grant, ms_time now)
{
  const struct ms_endpoint *endpoint
      = ms_view_endpoint (entry->view, grant->endpoint);

  if (!endpoint
      || (now - grant->echo > MS_GRANT_LIFETIME
          && ms_enabled (MS_GRANT_EXPIRY)))
    return false;
  return ms_view_usable (entry->view, endpoint);
}

/* Return true if the grant with the identifier GRANT was received before; else
   remember it.  */
static bool
check_duplicate (struct ms_entry *entry, uint64_t grant)
{
  for (unsigned i = 0; i < RECENT_GRANTS; i++)
    if (entry->recent_grants[i] == grant)
      return true;
  entry->recent_grants[entry->next_recent_grant] = grant;
  entry->next_recent_grant = (entry->next_recent_grant + 1) % RECENT_GRANTS;
  return false;
}

/* Return true if a request runs on the grant with the identifier GRANT.  */
static bool
grant_is_running (const struct ms_entry *entry, uint64_t grant)
{
  for (const struct request *r = entry->requests; r; r = r->hh.next)
    if (r->state == REQUEST_RUNNING && r->grant == grant)
      return true;
  return false;
}

static void
update_grant_interval (struct queue *queue, ms_time now)
{
  ms_time interval = now - queue->last_grant_at;

  if (queue->last_grant_at)
    queue->mean_grant_interval
        += (interval - queue->mean_grant_interval) / GRANT_INTERVAL_DIVISOR;
  queue->last_grant_at = now;
}

static void
emit_start (struct ms_entry *entry, struct request *request,
            const struct ms_endpoint *endpoint, ms_time start_by)
{
  struct ms_effect effect
      = { .kind = MS_EFFECT_START,
          .start = { request->id, request->attempts, endpoint->id,
                     endpoint->address, start_by } };

  ms_count (MS_M_ATTEMPTS, 1);
  entry->sink->emit (entry->sink->context, &effect);
}

/* Return true if more than half of the time from REQUEST's arrival to its
   deadline has passed, and what is left is less than twice the mean run time
   of its lane.  The deadline would probably cut it off, and the slot is better
   used by another request.  */
static bool
would_miss_deadline (const struct request *request, ms_time now)
{
  ms_time left = request->arrival.deadline - now;
  ms_time needed = 2 * request->queue->mean_run_time[request->lane];

  return left < needed && now - request->arrived > left;
}

/* Return the request to run on GRANT, or NULL.  Requests that would miss
   their deadline are answered on the way.  Those of them that may have run are
   idempotent, since no others are retried, so their outcome is MS_FAILED.  */
static struct request *
choose_before_deadline (struct ms_entry *entry, const peer_grant *grant,
                        uint64_t service, ms_time now)
{
  struct request *request = choose_request (entry, grant, service);

  while (request && would_miss_deadline (request, now))
    {
      ms_entry_answer (entry, request,
                       request->may_have_run ? MS_FAILED : MS_NOT_RUN,
                       MS_REASON_DEADLINE, now);
      request = choose_request (entry, grant, service);
    }
  return request;
}

/* Return when to cancel an attempt that starts at NOW: at the request's
   deadline, or after the service's max_run_ms if that is earlier.  */
static ms_time
compute_run_deadline (const struct ms_entry *entry,
                      const struct request *request, ms_time now)
{
  const struct ms_service *service
      = ms_config_service (entry->view->config, request->arrival.service);
  ms_time run_end = now + (ms_time)service->max_run_ms * MS_MSEC;

  return run_end < request->arrival.deadline ? run_end
                                             : request->arrival.deadline;
}

void
ms_binding_grant (struct ms_entry *entry, const peer_message *message,
                  ms_time now)
{
  const peer_grant *grant = &message->body.peer_body_u.grant;
  const struct ms_cell *cell = ms_view_cell (entry->view, grant->cell);
  struct ms_endpoint *endpoint
      = ms_view_endpoint (entry->view, grant->endpoint);
  struct request *request = NULL;

  if (check_duplicate (entry, grant->grant))
    {
      send_reply (entry, message, grant_is_running (entry, grant->grant));
      return;
    }
  ms_count (MS_M_GRANTS, 1);
  if (cell && is_acceptable (entry, grant, now))
    request = choose_before_deadline (entry, grant, cell->service, now);
  if (!request)
    {
      send_reply (entry, message, false);
      return;
    }
  if (grant->warm)
    {
      endpoint->last_warm_grant_at = now;
      endpoint->warm_start_id = grant->start_id;
    }
  update_grant_interval (request->queue, now);
  ms_entry_dequeue (entry, request);
  request->state = REQUEST_RUNNING;
  request->cancelled = false;
  request->attempts++;
  request->grant = grant->grant;
  request->grantor = message->from;
  request->cell = grant->cell;
  request->endpoint = grant->endpoint;
  request->run_deadline = compute_run_deadline (entry, request, now);
  request->cost = 0;
  send_reply (entry, message, true);
  emit_start (entry, request, endpoint, grant->echo + MS_GRANT_LIFETIME);
}

static void
send_done (struct ms_entry *entry, const struct done_notice *notice)
{
  peer_message message = { .body = { .kind = PEER_DONE } };

  message.body.peer_body_u.done = notice->done;
  ms_view_send (entry->view, entry->sink, notice->grantor, &message);
}

void
ms_binding_report_done (struct ms_entry *entry, const struct request *request,
                        enum ms_result result, ms_time duration)
{
  const struct done_notice notice = { .grantor = request->grantor,
                                      .done = { .grant = request->grant,
                                                .cell = request->cell,
                                                .result = result,
                                                .cost = request->cost,
                                                .duration = duration } };

  send_done (entry, &notice);
  if (entry->done_notices_count < MAX_DONE_NOTICES)
    entry->done_notices[entry->done_notices_count++] = notice;
}

void
ms_binding_repeat_done (struct ms_entry *entry)
{
  for (unsigned i = 0; i < entry->done_notices_count; i++)
    if (entry->done_notices[i].grantor != entry->view->self)
      send_done (entry, &entry->done_notices[i]);
  entry->done_notices_count = 0;
}

/* Send GRANTOR the list of its grants in CELL that requests run on.  It is
   marked as incomplete if there are more than PEER_RUNNING.  */
static void
send_running_list (struct ms_entry *entry, uint64_t cell, uint64_t grantor,
                   ms_time now)
{
  peer_running_item items[PEER_RUNNING];
  peer_message message = { .body = { .kind = PEER_RUNNING_LIST } };
  peer_running *running = &message.body.peer_body_u.running;
  unsigned count = 0;
  bool complete = true;

  for (struct request *r = entry->requests; r; r = r->hh.next)
    {
      if (r->state != REQUEST_RUNNING || r->cell != cell
          || r->grantor != grantor)
        continue;
      if (count < PEER_RUNNING)
        items[count++] = (peer_running_item){ r->grant, r->cost };
      else
        complete = false;
    }
  running->cell = cell;
  running->sent_at = now;
  running->complete = complete;
  running->items.items_val = items;
  running->items.items_len = count;
  ms_view_send (entry->view, entry->sink, grantor, &message);
}

/* Return true if an earlier running request in the table has the same cell
   and grantor, so that its list was already sent.  */
static bool
has_earlier_match (const struct ms_entry *entry, const struct request *request)
{
  for (struct request *r = entry->requests; r != request; r = r->hh.next)
    if (r->state == REQUEST_RUNNING && r->cell == request->cell
        && r->grantor == request->grantor)
      return true;
  return false;
}

void
ms_binding_report_running (struct ms_entry *entry, ms_time now)
{
  for (struct request *r = entry->requests; r; r = r->hh.next)
    if (r->state == REQUEST_RUNNING && !has_earlier_match (entry, r))
      send_running_list (entry, r->cell, r->grantor, now);
}
