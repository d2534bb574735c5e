#include "check.h"

#include "admit/waiting.h"

#define SERVICE 1
#define TICK (20 * MS_MSEC)
#define WAIT (75 * MS_SEC)

/* The requests of one service in WAITING, a queue that several services may
   share, and the free capacity of that service.  */
struct service_queue
{
  struct ms_waiting *waiting;
  unsigned capacity;
  unsigned tries; /* Since the test set it to 0.  */
  unsigned given_up;
};

struct entry
{
  struct service_queue *queue;
  struct ms_waiter waiter;
  unsigned tries;
  bool placed;
};

static bool
try_entry (void *owner)
{
  struct entry *e = owner;

  e->queue->tries++;
  e->tries++;
  e->placed = e->queue->capacity > 0;
  if (e->placed)
    e->queue->capacity--;
  else
    ms_waiting_add (e->queue->waiting, &e->waiter);
  return e->placed;
}

static void
give_up_entry (void *owner)
{
  ((struct entry *)owner)->queue->given_up++;
}

static const struct ms_waiting_callbacks callbacks
    = { .try = try_entry, .give_up = give_up_entry };

static void
add_entry (struct service_queue *queue, struct entry *e, uint64_t service,
           unsigned priority, ms_time give_up_at)
{
  *e = (struct entry){ .queue = queue };
  e->waiter = (struct ms_waiter){ .owner = e,
                                  .service = service,
                                  .priority = priority,
                                  .give_up_at = give_up_at };
  ms_waiting_add (queue->waiting, &e->waiter);
}

/* Guards against a router that spends its time trying requests again while
   many wait: a pass over 500 requests makes at most ten tries, yet each
   request is tried, and given up when its time is over.  */
static void
test_tries_per_pass_are_bounded (void **state)
{
  struct service_queue queue = { ms_waiting_create (&callbacks), 0, 0, 0 };
  struct entry entries[500];
  unsigned most = 0;

  (void)state;
  for (unsigned i = 0; i < 500; i++)
    add_entry (&queue, &entries[i], SERVICE, 1, WAIT);
  for (ms_time now = TICK; now <= WAIT; now += TICK)
    {
      queue.tries = 0;
      ms_waiting_tick (queue.waiting, now);
      if (queue.tries > most)
        most = queue.tries;
    }
  assert_true (most > 0 && most <= 10);
  for (unsigned i = 0; i < 500; i++)
    assert_true (entries[i].tries > 0);
  assert_int_equal (queue.given_up, 500);
  ms_waiting_destroy (queue.waiting);
}

/* Free capacity goes to the highest priority, then to the requests that were
   added first.  A service without capacity delays no other in the same
   queue.  */
static void
test_capacity_goes_by_priority_then_age (void **state)
{
  struct service_queue full = { ms_waiting_create (&callbacks), 0, 0, 0 };
  struct service_queue open = { full.waiting, 3, 0, 0 };
  struct entry others[40];
  struct entry entries[4];
  static const unsigned priorities[] = { 2, 1, 1, 0 };

  (void)state;
  for (unsigned i = 0; i < 40; i++)
    add_entry (&full, &others[i], SERVICE, 0, MS_SEC);
  for (unsigned i = 0; i < 4; i++)
    add_entry (&open, &entries[i], SERVICE + 1, priorities[i], MS_SEC);
  ms_waiting_tick (full.waiting, TICK);
  assert_true (entries[3].placed && entries[1].placed && entries[2].placed);
  assert_false (entries[0].placed);
  assert_int_equal (entries[0].tries, 1);
  open.capacity = 1;
  ms_waiting_tick (full.waiting, 2 * TICK);
  assert_true (entries[0].placed);
  ms_waiting_destroy (full.waiting);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_tries_per_pass_are_bounded),
    cmocka_unit_test (test_capacity_goes_by_priority_then_age),
  };

  return RUN (tests);
}
