#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "node/internal.h"
#include "rpc/codec.h"

void
ms_node_keep (struct ms_node *node, const peer_message *message)
{
  char data[MS_MESSAGE_BYTES];
  unsigned length = ms_message_encode (message, data, sizeof data);
  struct kept *kept = ms_new (sizeof *kept + length);

  kept->next = NULL;
  kept->length = length;
  memcpy (kept->data, data, length);
  if (!node->first_kept_message)
    node->last_kept_message = &node->first_kept_message;
  *node->last_kept_message = kept;
  node->last_kept_message = &kept->next;
}

bool
ms_node_next_kept (struct ms_node *node, peer_message *message)
{
  struct kept *kept = node->first_kept_message;
  bool decoded;

  if (!kept)
    return false;
  node->first_kept_message = kept->next;
  decoded = ms_message_decode (kept->data, kept->length, message);
  free (kept);
  if (!decoded)
    abort ();
  return true;
}

void
ms_node_drop_kept (struct ms_node *node)
{
  while (node->first_kept_message)
    {
      struct kept *kept = node->first_kept_message;

      node->first_kept_message = kept->next;
      free (kept);
    }
}
