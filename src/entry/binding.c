#include "base/metrics.h"
#include "base/switches.h"
#include "entry/internal.h"

/* Weight of the newest interval in the mean between grants.  */
#define INTERVAL_SHARE 8

static bool
tried (const struct request *request, uint64_t endpoint)
{
  for (unsigned i = 0; i < request->tried_count; i++)
    if (request->tried[i] == endpoint)
      return true;
  return false;
}

static struct request *
first_untried (struct queue *queue, enum ms_lane lane, uint64_t endpoint)
{
  for (struct request *r = queue->lanes[lane]; r; r = r->next)
    if (!tried (r, endpoint))
      return r;
  return NULL;
}

/* The request to run on GRANT's endpoint: of its lane, or else of the team's
   other lane.  A suspect runs only on a grant made for one.  */
static struct request *
choose (struct ms_entry *entry, const peer_grant *grant, uint64_t service)
{
  struct queue *queue = ms_entry_queue (entry, service, grant->team);
  struct request *request;

  if (grant->lane >= MS_LANES)
    return NULL;
  request = first_untried (queue, (enum ms_lane)grant->lane, grant->endpoint);
  if (!request && grant->lane != MS_LANE_INTERACTIVE)
    request = first_untried (queue, MS_LANE_INTERACTIVE, grant->endpoint);
  if (!request && grant->lane != MS_LANE_LONG)
    request = first_untried (queue, MS_LANE_LONG, grant->endpoint);
  return request;
}

static void
reply (struct ms_entry *entry, const peer_message *message, bool accepted)
{
  const peer_grant *grant = &message->body.peer_body_u.grant;
  peer_message answer = { .body = { .kind = PEER_GRANT_REPLY } };

  answer.body.peer_body_u.reply = (peer_grant_reply){ .grant = grant->grant,
                                                      .cell = grant->cell,
                                                      .accepted = accepted };
  if (!accepted)
    ms_count (MS_M_GRANTS_DECLINED, 1);
  ms_view_send (entry->view, entry->sink, message->from, &answer);
}

/* Whether the endpoint may still be given work on GRANT at NOW.  */
static bool
acceptable (struct ms_entry *entry, const peer_grant *grant, ms_time now)
{
  const struct ms_endpoint *endpoint
      = ms_view_endpoint (entry->view, grant->endpoint);

  if (!endpoint
      || (now - grant->echo > MS_GRANT_LIFETIME
          && ms_enabled (MS_GRANT_EXPIRY)))
    return false;
  return ms_view_usable (entry->view, endpoint);
}

static bool
seen_before (struct ms_entry *entry, uint64_t grant)
{
  for (unsigned i = 0; i < GRANTS_REMEMBERED; i++)
    if (entry->recent_grants[i] == grant)
      return true;
  entry->recent_grants[entry->recent_next] = grant;
  entry->recent_next = (entry->recent_next + 1) % GRANTS_REMEMBERED;
  return false;
}

/* Whether a request runs on GRANT.  */
static bool
is_running (const struct ms_entry *entry, uint64_t grant)
{
  for (const struct request *r = entry->requests; r; r = r->hh.next)
    if (r->state == REQUEST_RUNNING && r->grant == grant)
      return true;
  return false;
}

static void
note_interval (struct queue *queue, ms_time now)
{
  ms_time interval = now - queue->last_grant;

  if (queue->last_grant)
    queue->grant_interval
        += (interval - queue->grant_interval) / INTERVAL_SHARE;
  queue->last_grant = now;
}

static void
start (struct ms_entry *entry, struct request *request,
       const struct ms_endpoint *endpoint, ms_time start_by)
{
  struct ms_effect effect
      = { .kind = MS_EFFECT_START,
          .start = { request->id, request->attempts, endpoint->id,
                     endpoint->address, start_by } };

  ms_count (MS_M_ATTEMPTS, 1);
  entry->sink->emit (entry->sink->context, &effect);
}

/* Whether REQUEST spent most of its time waiting and would be cut off by its
   deadline.  */
static bool
is_too_late (const struct request *request, ms_time now)
{
  ms_time left = request->arrival.deadline - now;
  ms_time needed = 2 * request->queue->run_time[request->lane];

  return left < needed && now - request->arrived > left;
}

/* The request to run on GRANT; those that come too late get their answer.  */
static struct request *
choose_in_time (struct ms_entry *entry, const peer_grant *grant,
                uint64_t service, ms_time now)
{
  struct request *request = choose (entry, grant, service);

  while (request && is_too_late (request, now))
    {
      ms_entry_answer (entry, request,
                       request->may_have_run ? MS_FAILED : MS_NOT_RUN,
                       MS_REASON_DEADLINE, now);
      request = choose (entry, grant, service);
    }
  return request;
}

/* The deadline, or the longest run of the service if that is sooner.  */
static ms_time
latest_end (const struct ms_entry *entry, const struct request *request,
            ms_time now)
{
  const struct ms_service *service
      = ms_config_service (entry->view->config, request->arrival.service);
  ms_time longest = now + (ms_time)service->max_run_ms * MS_MSEC;

  return longest < request->arrival.deadline ? longest
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

  if (seen_before (entry, grant->grant))
    {
      reply (entry, message, is_running (entry, grant->grant));
      return;
    }
  ms_count (MS_M_GRANTS, 1);
  if (cell && acceptable (entry, grant, now))
    request = choose_in_time (entry, grant, cell->service, now);
  if (!request)
    {
      reply (entry, message, false);
      return;
    }
  if (grant->warm)
    {
      endpoint->warm_seen = now;
      endpoint->warm_start_id = grant->start_id;
    }
  note_interval (request->queue, now);
  ms_entry_dequeue (entry, request);
  request->state = REQUEST_RUNNING;
  request->cancelled = false;
  request->attempts++;
  request->grant = grant->grant;
  request->grantor = message->from;
  request->cell = grant->cell;
  request->endpoint = grant->endpoint;
  request->must_end = latest_end (entry, request, now);
  request->cost = 0;
  reply (entry, message, true);
  start (entry, request, endpoint, grant->echo + MS_GRANT_LIFETIME);
}

static void
tell_end (struct ms_entry *entry, const struct told_end *end)
{
  peer_message message = { .body = { .kind = PEER_DONE } };

  message.body.peer_body_u.done = end->done;
  ms_view_send (entry->view, entry->sink, end->grantor, &message);
}

void
ms_binding_done (struct ms_entry *entry, const struct request *request,
                 enum ms_result result, ms_time duration)
{
  const struct told_end end = { .grantor = request->grantor,
                                .done = { .grant = request->grant,
                                          .cell = request->cell,
                                          .result = result,
                                          .cost = request->cost,
                                          .duration = duration } };

  tell_end (entry, &end);
  if (entry->ends_count < MAX_ENDS_TOLD)
    entry->ends[entry->ends_count++] = end;
}

void
ms_binding_repeat_ends (struct ms_entry *entry)
{
  for (unsigned i = 0; i < entry->ends_count; i++)
    if (entry->ends[i].grantor != entry->view->self)
      tell_end (entry, &entry->ends[i]);
  entry->ends_count = 0;
}

/* The running requests of one cell, as one grantor knows them.  */
static void
send_list (struct ms_entry *entry, uint64_t cell, uint64_t grantor,
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

/* Whether an earlier request in the table has the same cell and grantor.  */
static bool
listed_before (const struct ms_entry *entry, const struct request *request)
{
  for (struct request *r = entry->requests; r != request; r = r->hh.next)
    if (r->state == REQUEST_RUNNING && r->cell == request->cell
        && r->grantor == request->grantor)
      return true;
  return false;
}

void
ms_binding_running (struct ms_entry *entry, ms_time now)
{
  for (struct request *r = entry->requests; r; r = r->hh.next)
    if (r->state == REQUEST_RUNNING && !listed_before (entry, r))
      send_list (entry, r->cell, r->grantor, now);
}
