#ifndef VIEW_INTERNAL_H
#define VIEW_INTERNAL_H

#include "view/view.h"

/* Return the identifier of cell number INDEX of SERVICE in ZONE.  */
uint64_t ms_cell_id (uint64_t service, uint64_t zone, unsigned index);

/* Rebuild the cells from the configuration.  Cells that exist already keep
   their holder, term and predecessors.  */
void ms_view_rebuild_cells (struct ms_view *view, ms_time now);

/* Choose the holder of each cell again after a change of the members or the
   configuration.  Cells whose holder changes get TERM as their term: the
   offset of the record that changed the members, or the generation of the
   configuration.  */
void ms_view_assign_holders (struct ms_view *view, uint64_t term, ms_time now);

/* Assign each endpoint to its cell, and fill in the endpoints of cells.  */
void ms_view_link_endpoints (struct ms_view *view);

/* Return the best member for CELL, or NULL: members of the cell's own
   availability zone first, then by rendezvous hash, so that a member that
   leaves moves only its own cells.  If ELIGIBLE is not NULL, only members
   that it accepts count.  */
struct ms_member *
ms_view_best_member (struct ms_view *view, const struct ms_cell *cell,
                     bool (*eligible) (const struct ms_member *, ms_time),
                     ms_time now);

#endif
