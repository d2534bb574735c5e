#ifndef VIEW_SEND_H
#define VIEW_SEND_H

#include "node/effect.h"
#include "view/view.h"

/* Emit MESSAGE to NODE through SINK.  Sender, incarnation and applied log
   offset are filled in.  Nothing is sent if NODE is neither a member nor
   this router.  A message to this router may have an empty address, since
   ms_node_step handles it without sending it.  */
void ms_view_send (struct ms_view *view, const struct ms_sink *sink,
                   uint64_t node, peer_message *message);

#endif
