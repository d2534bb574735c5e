#include "view/view.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/switches.h"
#include "view/internal.h"

/* A time long before the first event; half of the range, so that a difference
   from it does not overflow.  */
#define LONG_AGO (-MS_NEVER / 2)

struct ms_view *
ms_view_create (uint64_t self, uint64_t incarnation, uint64_t zone)
{
  struct ms_view *view = ms_new (sizeof *view);

  view->self = self;
  view->incarnation = incarnation;
  view->zone = zone;
  view->last_read_sent_at = LONG_AGO;
  return view;
}

static void
free_cells (struct ms_cell *cells, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    free (cells[i].endpoints);
  free (cells);
}

void
ms_view_destroy (struct ms_view *view)
{
  if (!view)
    return;
  free_cells (view->cells, view->cells_count);
  free (view->endpoints);
  ms_config_destroy (view->config);
  free (view);
}

/* Return the row with ID from a table of COUNT rows of SIZE bytes, or NULL.
   The rows are sorted by the 64-bit identifier that each starts with.  */
static void *
find_by_id (void *rows, size_t count, size_t size, uint64_t id)
{
  size_t low = 0;
  size_t high = count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      char *row = (char *)rows + middle * size;
      uint64_t row_id;

      memcpy (&row_id, row, sizeof row_id);
      if (row_id == id)
        return row;
      if (row_id < id)
        low = middle + 1;
      else
        high = middle;
    }
  return NULL;
}

struct ms_member *
ms_view_member (struct ms_view *view, uint64_t id)
{
  return find_by_id (view->members, view->members_count, sizeof *view->members,
                     id);
}

struct ms_member *
ms_view_member_incarnation (struct ms_view *view, uint64_t id,
                            uint64_t incarnation)
{
  struct ms_member *member = ms_view_member (view, id);

  return member && member->incarnation == incarnation ? member : NULL;
}

bool
ms_view_is_member (const struct ms_view *view)
{
  return ms_view_member_incarnation ((struct ms_view *)view, view->self,
                                     view->incarnation);
}

struct ms_cell *
ms_view_cell (struct ms_view *view, uint64_t id)
{
  return find_by_id (view->cells, view->cells_count, sizeof *view->cells, id);
}

struct ms_endpoint *
ms_view_endpoint (struct ms_view *view, uint64_t id)
{
  return find_by_id (view->endpoints, view->endpoints_count,
                     sizeof *view->endpoints, id);
}

struct ms_config *
ms_view_configure (struct ms_view *view, struct ms_config *config, ms_time now)
{
  struct ms_config *former = view->config;

  view->config = config;
  ms_view_rebuild_cells (view, now);
  return former;
}

static int
compare_endpoints (const void *a, const void *b)
{
  const struct ms_endpoint *left = a;
  const struct ms_endpoint *right = b;

  return left->id < right->id ? -1 : left->id > right->id;
}

void
ms_view_set_endpoints (struct ms_view *view, const struct ms_endpoint *list,
                       unsigned count)
{
  struct ms_endpoint *copy = ms_new_array (count, sizeof *copy);

  memcpy (copy, list, count * sizeof *copy);
  for (unsigned i = 0; i < count; i++)
    {
      const struct ms_endpoint *known = ms_view_endpoint (view, copy[i].id);

      copy[i].last_warm_grant_at
          = known ? known->last_warm_grant_at : LONG_AGO;
      copy[i].warm_start_id = known ? known->warm_start_id : 0;
    }
  qsort (copy, count, sizeof *copy, compare_endpoints);
  free (view->endpoints);
  view->endpoints = copy;
  view->endpoints_count = count;
  ms_view_link_endpoints (view);
}

bool
ms_view_usable (const struct ms_view *view, const struct ms_endpoint *endpoint)
{
  const struct ms_zone *zone;

  if (!view->config || (endpoint->leaving && ms_enabled (MS_LEAVING_CHECK)))
    return false;
  zone = ms_config_zone (view->config, endpoint->zone);
  return zone && (zone->in_service || !ms_enabled (MS_ZONE_CHECK));
}

bool
ms_view_stale (const struct ms_view *view, ms_time now)
{
  return now - view->last_read_sent_at > MS_STALE_AFTER;
}

unsigned
ms_view_count_stale_members (const struct ms_view *view, ms_time now)
{
  unsigned count = 0;

  for (unsigned i = 0; i < view->members_count; i++)
    {
      const struct ms_member *member = &view->members[i];

      count += member->id != view->self && member->stale
               && now - member->last_heard <= MS_MEMBER_REPORT_LIFETIME;
    }
  return count;
}

bool
ms_log_drops_soon (uint64_t offset, uint64_t first_kept, uint64_t end)
{
  if (!first_kept || end <= first_kept)
    return false;
  return offset < first_kept + (end - first_kept) / 2;
}

bool
ms_view_holds (const struct ms_view *view, const struct ms_cell *cell)
{
  return cell->holder == view->self && cell->incarnation == view->incarnation;
}
