#include "node/node.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/log.h"
#include "config/follower.h"
#include "member/liveness.h"
#include "node/internal.h"

/* Queue messages of the router to itself; pass all other effects on.  */
static void
route_effect (void *context, const struct ms_effect *effect)
{
  struct ms_node *node = context;

  if (effect->kind == MS_EFFECT_SEND && effect->send.node == node->view->self)
    {
      ms_node_queue_to_self (node, effect->send.message);
      return;
    }
  node->sink.emit (node->sink.context, effect);
}

struct ms_node *
ms_node_create (const struct ms_node_options *options,
                const struct ms_sink *sink)
{
  struct ms_node *node = ms_new (sizeof *node);

  node->sink = *sink;
  node->module_sink = (struct ms_sink){ route_effect, node };
  node->random.state = options->random_seed;
  node->view
      = ms_view_create (ms_id (ms_str (options->name)), options->incarnation,
                        ms_id (ms_str (options->zone)));
  node->liveness
      = ms_liveness_create (node->view, &node->module_sink, &node->random);
  node->follower
      = ms_follower_create (node->view, &node->module_sink, &node->random);
  node->dispatch
      = ms_dispatch_create (node->view, &node->module_sink, &node->random);
  node->guard = ms_guard_create ();
  node->once = ms_once_create (node->view->self, options->incarnation,
                               &node->module_sink);
  node->entry = ms_entry_create (node->view, &node->module_sink, &node->random,
                                 node->guard, node->once);
  node->own_record.kind = MS_RECORD_JOIN;
  node->own_record.node = ms_name (options->name);
  node->own_record.zone = ms_name (options->zone);
  node->own_record.incarnation = options->incarnation;
  strncpy (node->view->peer_address, options->peer_address,
           MS_ADDRESS_BYTES - 1);
  strncpy (node->own_record.peer_address, options->peer_address,
           MS_ADDRESS_BYTES - 1);
  strncpy (node->own_record.caller_address, options->caller_address,
           MS_ADDRESS_BYTES - 1);
  return node;
}

void
ms_node_destroy (struct ms_node *node)
{
  if (!node)
    return;
  ms_entry_destroy (node->entry);
  ms_once_destroy (node->once);
  ms_guard_destroy (node->guard);
  ms_dispatch_destroy (node->dispatch);
  ms_follower_destroy (node->follower);
  ms_liveness_destroy (node->liveness);
  ms_view_destroy (node->view);
  ms_node_drop_self_messages (node);
  free (node);
}

static void
handle_control_record (struct ms_node *node, const struct ms_event *event,
                       ms_time now)
{
  uint64_t offset = event->log_record.offset;
  struct ms_record record;

  if (offset < node->view->applied)
    return;
  node->view->applied = offset + 1;
  if (ms_record_parse (event->log_record.text, &record) != MS_OK)
    {
      ms_log (MS_WARN, "log",
              "skipped control record offset=%llu reason=\"%s\"",
              (unsigned long long)offset, ms_last_message ());
      return;
    }
  switch (record.kind)
    {
    case MS_RECORD_CONFIG:
    case MS_RECORD_CONFIG_COPY:
      ms_follower_apply_record (node->follower, &record, offset, now);
      break;
    case MS_RECORD_QUARANTINE:
      /* Two deaths are what quarantines a request; see guard.c.  */
      ms_guard_merge (node->guard, record.fingerprint, 2, false, now);
      break;
    default:
      ms_view_apply (node->view, &record, offset, now);
      break;
    }
  ms_record_clear (&record);
  ms_dispatch_view_changed (node->dispatch, now);
}

static void
handle_once_record (struct ms_node *node, const struct ms_event *event,
                    ms_time now)
{
  struct ms_once_verdict verdict;

  if (event->log_record.offset < node->once_next_offset)
    return;
  node->once_next_offset = event->log_record.offset + 1;
  if (ms_once_apply_record (node->once, event->log_record.text, &verdict))
    ms_entry_verdict (node->entry, &verdict, now);
}

static void
handle_log_read (struct ms_node *node, const struct ms_event *event)
{
  if (event->log_read.stream == MS_STREAM_ONCE)
    {
      if (event->log_read.at_end)
        ms_once_caught_up (node->once);
      return;
    }
  node->first_kept = event->log_read.first_kept;
  if (!event->log_read.at_end)
    return;
  node->view->log_caught_up = true;
  if (event->log_read.sent_at > node->view->last_read_sent_at)
    node->view->last_read_sent_at = event->log_read.sent_at;
}

static void
handle_peer_message (struct ms_node *node, const peer_message *message,
                     ms_time now)
{
  ms_liveness_heard (node->liveness, message, now);
  switch (message->body.kind)
    {
    case PEER_PROBE:
    case PEER_PROBE_ACK:
      ms_follower_note_generation (node->follower, message->from,
                                   message->body.peer_body_u.probe.generation,
                                   now);
      break;
    case PEER_GRANT:
    case PEER_IDLE:
    case PEER_DEATH:
      ms_entry_message (node->entry, message, now);
      break;
    case PEER_CONFIG_WANT:
      ms_follower_send_part (node->follower, message);
      break;
    case PEER_CONFIG_PART:
      if (ms_follower_receive_part (node->follower, message, now))
        ms_dispatch_view_changed (node->dispatch, now);
      break;
    default:
      ms_dispatch_message (node->dispatch, message, now);
      break;
    }
}

static void
handle_event (struct ms_node *node, const struct ms_event *event, ms_time now)
{
  switch (event->kind)
    {
    case MS_EVENT_TICK:
      ms_node_tick (node, now);
      break;
    case MS_EVENT_ARRIVE:
      ms_entry_arrive (node->entry, &event->arrive, now);
      break;
    case MS_EVENT_CALLER_GONE:
      ms_entry_caller_gone (node->entry, event->caller_gone, now);
      break;
    case MS_EVENT_PROGRESS:
      ms_entry_progress (node->entry, event->progress.request,
                         event->progress.cost);
      break;
    case MS_EVENT_ATTEMPT_END:
      ms_entry_attempt_end (node->entry, &event->attempt_end, now);
      break;
    case MS_EVENT_PEER:
      handle_peer_message (node, event->peer, now);
      break;
    case MS_EVENT_LOG_RECORD:
      if (event->log_record.stream == MS_STREAM_CONTROL)
        handle_control_record (node, event, now);
      else
        handle_once_record (node, event, now);
      break;
    case MS_EVENT_LOG_READ:
      handle_log_read (node, event);
      break;
    case MS_EVENT_APPEND_FAILED:
      /* Nothing is done for the control stream: join, leave and expire
         records and configuration copies are appended again until they have
         been read back, a quarantine record only with the request's next
         death.  */
      if (event->append_failed.stream == MS_STREAM_ONCE)
        ms_once_append_failed (node->once, event->append_failed.tag);
      break;
    case MS_EVENT_ENDPOINTS:
      ms_view_set_endpoints (node->view, event->endpoints.list,
                             event->endpoints.count);
      ms_dispatch_view_changed (node->dispatch, now);
      break;
    case MS_EVENT_LOAD:
      ms_dispatch_load_report (node->dispatch, event->load.endpoint,
                               event->load.start_id, event->load.running, now);
      break;
    case MS_EVENT_DRAIN:
      ms_node_drain (node, now);
      break;
    }
}

void
ms_node_step (struct ms_node *node, const struct ms_event *event, ms_time now)
{
  peer_message message;

  handle_event (node, event, now);
  while (ms_node_next_self_message (node, &message))
    {
      handle_peer_message (node, &message, now);
      xdr_free ((xdrproc_t)xdr_peer_message, (char *)&message);
    }
}

bool
ms_node_ready (const struct ms_node *node)
{
  return node->view->config && node->view->log_caught_up
         && ms_view_is_member (node->view);
}

struct ms_node_status
ms_node_status (struct ms_node *node, ms_time now)
{
  struct ms_node_status status = {
    .generation = node->view->config ? node->view->config->generation : 0,
    .applied = node->view->applied,
    .members = node->view->members_count,
    .open = ms_entry_count_open (node->entry),
    .stale = ms_view_stale (node->view, now),
    .draining = node->draining,
    .dispatch = ms_dispatch_status (node->dispatch, now),
  };

  status.bytes = sizeof *node->view
                 + node->view->cells_count * sizeof (struct ms_cell)
                 + node->view->endpoints_count * sizeof (struct ms_endpoint)
                 + status.dispatch.bytes + ms_entry_bytes (node->entry)
                 + ms_once_bytes (node->once);
  return status;
}

bool
ms_node_explain (struct ms_node *node, uint64_t request, ms_time now,
                 struct ms_request_status *status)
{
  return ms_entry_status (node->entry, request, now, status);
}

const struct ms_view *
ms_node_view (const struct ms_node *node)
{
  return node->view;
}
