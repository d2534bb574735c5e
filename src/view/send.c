#include "view/send.h"

void
ms_view_send (struct ms_view *view, const struct ms_sink *sink, uint64_t node,
              peer_message *message)
{
  const struct ms_member *member = ms_view_member (view, node);
  struct ms_effect effect
      = { .kind = MS_EFFECT_SEND,
          .send = { node, member ? member->peer_address : "", message } };

  if (!member && node != view->self)
    return;
  message->from = view->self;
  message->incarnation = view->incarnation;
  message->applied = view->applied;
  sink->emit (sink->context, &effect);
}
