#ifndef VIEW_SEND_H
#define VIEW_SEND_H

#include "node/effect.h"
#include "view/view.h"

/* Emit MESSAGE to NODE, from this router and with the log offset it has
   applied.  A NODE that is neither a member nor this router gets nothing.  */
void ms_view_send (struct ms_view *view, const struct ms_sink *sink,
                   uint64_t node, peer_message *message);

#endif
