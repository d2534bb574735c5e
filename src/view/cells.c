#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "view/internal.h"

uint64_t
ms_cell_id (uint64_t service, uint64_t zone, unsigned index)
{
  return ms_id_pair (ms_id_pair (service, zone), index + 1);
}

struct ms_member *
ms_view_best_member (struct ms_view *view, const struct ms_cell *cell,
                     bool (*eligible) (const struct ms_member *, ms_time),
                     ms_time now)
{
  struct ms_member *best = NULL;
  uint64_t best_score = 0;
  bool best_near = false;

  for (unsigned i = 0; i < view->members_count; i++)
    {
      struct ms_member *member = &view->members[i];
      bool near = member->zone == cell->zone;
      uint64_t score = ms_id_pair (cell->id, member->id);

      if (eligible && !eligible (member, now))
        continue;
      if (best
          && (near < best_near || (near == best_near && score <= best_score)))
        continue;
      best = member;
      best_score = score;
      best_near = near;
    }
  return best;
}

/* Add CELL's holder, if it has one, to its predecessors: the record at OFFSET
   replaces it.  */
static void
add_predecessor (struct ms_cell *cell, uint64_t offset)
{
  struct ms_predecessor *list = cell->predecessors;

  if (!cell->holder)
    return;
  if (cell->predecessors_count == MS_MAX_PREDECESSORS)
    {
      cell->predecessors_count--;
      memmove (list, list + 1, cell->predecessors_count * sizeof *list);
    }
  list[cell->predecessors_count++]
      = (struct ms_predecessor){ .node = cell->holder,
                                 .incarnation = cell->incarnation,
                                 .replaced_offset = offset };
}

/* Remove every incarnation of NODE, which becomes CELL's holder, from CELL's
   predecessors.  A node is no predecessor of itself, and if it joined in a new
   incarnation, its old process has ended.  */
static void
remove_from_predecessors (struct ms_cell *cell, uint64_t node)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < cell->predecessors_count; i++)
    if (cell->predecessors[i].node != node)
      cell->predecessors[kept++] = cell->predecessors[i];
  cell->predecessors_count = kept;
}

/* Choose CELL's holder again; if it changes, set its term to TERM.  A cell
   that has a holder changes it only with the members, not with the
   configuration.  TERM is then the offset of the record that changed the
   members, as add_predecessor needs it.  */
static void
assign_cell (struct ms_view *view, struct ms_cell *cell, uint64_t term,
             ms_time now)
{
  struct ms_member *member = ms_view_best_member (view, cell, NULL, now);
  uint64_t holder = member ? member->id : 0;
  uint64_t incarnation = member ? member->incarnation : 0;

  if (cell->holder == holder && cell->incarnation == incarnation)
    return;
  add_predecessor (cell, term);
  if (holder)
    remove_from_predecessors (cell, holder);
  cell->holder = holder;
  cell->incarnation = incarnation;
  cell->term = term;
  cell->holder_changed_at = now;
}

void
ms_view_assign_holders (struct ms_view *view, uint64_t term, ms_time now)
{
  for (unsigned i = 0; i < view->cells_count; i++)
    assign_cell (view, &view->cells[i], term, now);
}

void
ms_view_prune_predecessors (struct ms_view *view, struct ms_cell *cell)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < cell->predecessors_count; i++)
    {
      const struct ms_predecessor *p = &cell->predecessors[i];
      const struct ms_member *member = ms_view_member (view, p->node);
      bool replaced = member && member->incarnation != p->incarnation;
      bool informed = member && member->incarnation == p->incarnation
                      && member->applied > p->replaced_offset;

      if (!replaced && !informed)
        cell->predecessors[kept++] = *p;
    }
  cell->predecessors_count = kept;
}

static int
compare_cells (const void *a, const void *b)
{
  const struct ms_cell *left = a;
  const struct ms_cell *right = b;

  return left->id < right->id ? -1 : left->id > right->id;
}

static unsigned
count_cells (const struct ms_config *config)
{
  unsigned count = 0;

  for (unsigned i = 0; i < config->services_count; i++)
    count += config->services[i].cells_per_zone * config->zones_count;
  return count;
}

static unsigned
add_service_cells (struct ms_cell *cells, const struct ms_config *config,
                   const struct ms_service *service)
{
  unsigned count = 0;

  for (unsigned z = 0; z < config->zones_count; z++)
    for (unsigned i = 0; i < service->cells_per_zone; i++)
      {
        struct ms_cell *cell = &cells[count++];

        cell->service = service->id;
        cell->zone = config->zones[z].id;
        cell->index = i;
        cell->id = ms_cell_id (cell->service, cell->zone, i);
        cell->term = config->generation;
      }
  return count;
}

/* Copy the cells that exist already over those with the same id in the new
   table CELLS.  Their arrays of endpoints move too, emptied;
   ms_view_link_endpoints fills them in.  */
static void
carry_over_cells (struct ms_view *view, struct ms_cell *cells, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    {
      struct ms_cell *former = ms_view_cell (view, cells[i].id);

      if (!former)
        continue;
      cells[i] = *former;
      former->endpoints = NULL;
      cells[i].endpoints_count = 0;
    }
}

void
ms_view_rebuild_cells (struct ms_view *view, ms_time now)
{
  unsigned count = count_cells (view->config);
  struct ms_cell *cells = ms_new_array (count, sizeof *cells);
  unsigned used = 0;

  for (unsigned i = 0; i < view->config->services_count; i++)
    used += add_service_cells (cells + used, view->config,
                               &view->config->services[i]);
  qsort (cells, count, sizeof *cells, compare_cells);
  carry_over_cells (view, cells, count);
  for (unsigned i = 0; i < view->cells_count; i++)
    free (view->cells[i].endpoints);
  free (view->cells);
  view->cells = cells;
  view->cells_count = count;
  ms_view_assign_holders (view, view->config->generation, now);
  ms_view_link_endpoints (view);
}

void
ms_view_link_endpoints (struct ms_view *view)
{
  for (unsigned i = 0; i < view->cells_count; i++)
    view->cells[i].endpoints_count = 0;
  for (unsigned i = 0; i < view->endpoints_count; i++)
    {
      struct ms_endpoint *endpoint = &view->endpoints[i];
      const struct ms_service *service;
      struct ms_cell *cell;

      endpoint->cell = 0;
      if (!view->config)
        continue;
      service = ms_config_service (view->config, endpoint->service);
      if (!service)
        continue;
      cell = ms_view_cell (
          view,
          ms_cell_id (service->id, endpoint->zone,
                      (unsigned)(endpoint->id % service->cells_per_zone)));
      if (!cell)
        continue;
      cell->endpoints = ms_resize (
          cell->endpoints, (size_t)cell->endpoints_count + 1, sizeof (void *));
      cell->endpoints[cell->endpoints_count++] = endpoint;
      endpoint->cell = cell->id;
    }
}
