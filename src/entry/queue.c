#include "base/alloc.h"
#include "entry/internal.h"

/* Bounds of the time after which a refused caller is asked to retry.  */
#define MIN_RETRY_AFTER (1 * MS_SEC)
#define MAX_RETRY_AFTER (60 * MS_SEC)

struct queue *
ms_entry_get_queue (struct ms_entry *entry, uint64_t service, uint64_t team)
{
  struct queue_key key = { service, team };
  struct queue *queue;

  HASH_FIND (hh, entry->queues, &key, sizeof key, queue);
  if (queue)
    return queue;
  queue = ms_new (sizeof *queue);
  queue->key = key;
  HASH_ADD (hh, entry->queues, key, sizeof queue->key, queue);
  return queue;
}

unsigned
ms_queue_length (const struct queue *queue)
{
  unsigned length = 0;

  for (int lane = 0; lane < MS_LANES; lane++)
    length += queue->count[lane];
  return length;
}

static struct service_demand *
get_service_demand (struct ms_entry *entry, uint64_t service)
{
  struct service_demand *demand;

  HASH_FIND (hh, entry->demands, &service, sizeof service, demand);
  if (demand)
    return demand;
  demand = ms_new (sizeof *demand);
  demand->service = service;
  HASH_ADD (hh, entry->demands, service, sizeof demand->service, demand);
  return demand;
}

void
ms_entry_enqueue (struct ms_entry *entry, struct request *request,
                  bool at_head, ms_time now)
{
  struct queue *queue = request->queue;
  struct request **lane = &queue->lanes[request->lane];

  if (at_head)
    DL_PREPEND (*lane, request);
  else
    DL_APPEND (*lane, request);
  queue->count[request->lane]++;
  get_service_demand (entry, queue->key.service)->waiting++;
  request->state = REQUEST_WAITING;
  request->queued_at = now;
}

void
ms_entry_dequeue (struct ms_entry *entry, struct request *request)
{
  struct queue *queue = request->queue;
  struct request **lane = &queue->lanes[request->lane];

  DL_DELETE (*lane, request);
  queue->count[request->lane]--;
  get_service_demand (entry, queue->key.service)->waiting--;
}

ms_time
ms_entry_retry_after (const struct queue *queue)
{
  ms_time wait;

  if (!queue)
    return MIN_RETRY_AFTER;
  wait = queue->mean_grant_interval * (ms_time)ms_queue_length (queue) / 2;
  if (wait < MIN_RETRY_AFTER)
    return MIN_RETRY_AFTER;
  return wait > MAX_RETRY_AFTER ? MAX_RETRY_AFTER : wait;
}
