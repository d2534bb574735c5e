#ifndef VIEW_INTERNAL_H
#define VIEW_INTERNAL_H

#include "view/view.h"

/* Identifier of cell INDEX of a service in a zone.  */
uint64_t ms_cell_id (uint64_t service, uint64_t zone, unsigned index);

/* Rebuild the cells from the configuration, keeping known terms.  */
void ms_view_rebuild_cells (struct ms_view *view, ms_time now);

/* Choose each cell's holder again after members changed at OFFSET.  */
void ms_view_assign (struct ms_view *view, uint64_t offset, ms_time now);

/* Point each endpoint and cell at one another.  */
void ms_view_link (struct ms_view *view);

/* The best member for CELL among those ELIGIBLE accepts, or NULL.  */
struct ms_member *
ms_view_rank (struct ms_view *view, const struct ms_cell *cell,
              bool (*eligible) (const struct ms_member *, ms_time),
              ms_time now);

#endif
