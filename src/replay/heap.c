#include "base/alloc.h"
#include "replay/internal.h"

/* Order of the heap: by time, then by the order of scheduling.  */
static bool
due_before (const struct item *a, const struct item *b)
{
  return a->at < b->at || (a->at == b->at && a->sequence < b->sequence);
}

static void
swap (struct item *a, struct item *b)
{
  struct item saved = *a;

  *a = *b;
  *b = saved;
}

void
world_push (struct world *world, struct item item)
{
  size_t i = world->heap_count++;

  if (world->heap_count > world->heap_capacity)
    {
      world->heap_capacity
          = world->heap_capacity ? world->heap_capacity * 2 : 1024;
      world->heap
          = ms_resize (world->heap, world->heap_capacity, sizeof *world->heap);
    }
  item.sequence = ++world->sequence;
  world->heap[i] = item;
  while (i && due_before (&world->heap[i], &world->heap[(i - 1) / 2]))
    {
      swap (&world->heap[i], &world->heap[(i - 1) / 2]);
      i = (i - 1) / 2;
    }
}

bool
world_pop (struct world *world, struct item *item)
{
  size_t i = 0;

  if (!world->heap_count)
    return false;
  *item = world->heap[0];
  world->heap[0] = world->heap[--world->heap_count];
  for (;;)
    {
      size_t least = i;
      size_t left = 2 * i + 1;

      if (left < world->heap_count
          && due_before (&world->heap[left], &world->heap[least]))
        least = left;
      if (left + 1 < world->heap_count
          && due_before (&world->heap[left + 1], &world->heap[least]))
        least = left + 1;
      if (least == i)
        return true;
      swap (&world->heap[i], &world->heap[least]);
      i = least;
    }
}
