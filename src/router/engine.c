#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "base/alloc.h"
#include "base/log.h"
#include "base/metrics.h"
#include "journal/journal.h"
#include "router/router.h"

/* Passes events to the node and carries out the effects that it emits.  */

ms_time
ms_router_now (const struct ms_router *router)
{
  return ms_now (&router->clock);
}

void
ms_router_step_locked (struct ms_router *router, const struct ms_event *event)
{
  ms_time now = ms_router_now (router);

  if (router->journal)
    ms_journal_event (router->journal, event, now);
  ms_node_step (router->node, event, now);
}

void
ms_router_step (struct ms_router *router, const struct ms_event *event)
{
  pthread_mutex_lock (&router->lock);
  ms_router_step_locked (router, event);
  pthread_mutex_unlock (&router->lock);
}

static struct ms_call *
find_call (struct ms_router *router, uint64_t id)
{
  struct ms_call *call;

  HASH_FIND (hh, router->calls, &id, sizeof id, call);
  return call;
}

/* Wake the caller thread to run the attempt.  */
static void
start_attempt (struct ms_router *router, const struct ms_effect *effect)
{
  struct ms_call *call = find_call (router, effect->start.request);

  if (!call)
    return;
  call->attempt_ready = true;
  call->attempt = effect->start.attempt;
  call->endpoint = effect->start.endpoint;
  call->start_by = effect->start.start_by;
  /* The call was zeroed, and the last byte is never written.  */
  strncpy (call->address, effect->start.address, MS_ADDRESS_BYTES - 1);
  atomic_store (&call->cancel_requested, false);
  pthread_cond_signal (&call->changed);
}

/* Ask the caller thread to end the attempt, unless that has ended already
   and another one runs.  */
static void
cancel_attempt (struct ms_router *router, const struct ms_effect *effect)
{
  struct ms_call *call = find_call (router, effect->cancel.request);

  if (call && call->attempt == effect->cancel.attempt)
    atomic_store (&call->cancel_requested, true);
}

/* Set the final answer and wake the caller thread to send it.  */
static void
set_answer (struct ms_router *router, const struct ms_effect *effect)
{
  struct ms_call *call = find_call (router, effect->answer.request);

  if (!call)
    return;
  call->answered = true;
  call->outcome = effect->answer.outcome;
  call->reason = effect->answer.reason;
  call->retry_after = effect->answer.retry_after;
  pthread_cond_signal (&call->changed);
}

/* If the queue is full the record is dropped and counted; the node gets no
   event.  */
static void
queue_append (struct ms_router *router, const struct ms_effect *effect)
{
  unsigned i = (router->appends_first + router->appends_count)
               % MS_MAX_QUEUED_APPENDS;

  if (router->appends_count == MS_MAX_QUEUED_APPENDS)
    {
      ms_count (MS_M_APPEND_ERRORS, 1);
      return;
    }
  router->appends[i].stream = effect->append.stream;
  router->appends[i].tag = effect->append.tag;
  router->appends[i].text
      = ms_copy (effect->append.text, strlen (effect->append.text));
  router->appends_count++;
  pthread_cond_signal (&router->append_queued);
}

void
ms_router_emit (void *context, const struct ms_effect *effect)
{
  struct ms_router *router = context;

  if (router->journal)
    ms_journal_effect (router->journal, effect);
  switch (effect->kind)
    {
    case MS_EFFECT_SEND:
      ms_transport_send (router->transport, effect->send.address,
                         effect->send.message);
      break;
    case MS_EFFECT_APPEND:
      queue_append (router, effect);
      break;
    case MS_EFFECT_START:
      start_attempt (router, effect);
      break;
    case MS_EFFECT_CANCEL:
      cancel_attempt (router, effect);
      break;
    case MS_EFFECT_ANSWER:
      set_answer (router, effect);
      break;
    case MS_EFFECT_DRAINED:
      router->drained = true;
      break;
    }
}

/* The copy is parsed from the text of the configuration, which was accepted
   before, so that parsing cannot fail.  */
void
ms_router_update_caller_config (struct ms_router *router)
{
  const struct ms_view *view = ms_node_view (router->node);
  struct ms_config *former = router->caller_config;
  struct ms_config *copy;
  struct ms_str text;

  pthread_mutex_lock (&router->lock);
  if (!view->config
      || (former && former->generation == view->config->generation))
    {
      pthread_mutex_unlock (&router->lock);
      return;
    }
  text = (struct ms_str){ view->config->text, view->config->text_length };
  if (ms_config_parse (text, "configuration", &copy) != MS_OK)
    abort ();
  copy->generation = view->config->generation;
  pthread_mutex_unlock (&router->lock);
  rcu_assign_pointer (router->caller_config, copy);
  ms_log (MS_INFO, "config", "in force generation=%llu",
          (unsigned long long)copy->generation);
  synchronize_rcu ();
  ms_config_destroy (former);
}

uint64_t
ms_router_caller_generation (struct ms_router *router)
{
  const struct ms_config *config;
  uint64_t generation;

  rcu_read_lock ();
  config = rcu_dereference (router->caller_config);
  generation = config ? config->generation : 0;
  rcu_read_unlock ();
  return generation;
}
