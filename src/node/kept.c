#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "node/internal.h"
#include "rpc/codec.h"

/* Queue of the messages that the router sends to itself.  They are kept
   encoded, since an effect's pointers are valid only during the call of
   emit.  */

void
ms_node_queue_to_self (struct ms_node *node, const peer_message *message)
{
  char data[MS_MESSAGE_BYTES];
  unsigned length = ms_message_encode (message, data, sizeof data);
  struct self_message *item = ms_new (sizeof *item + length);

  item->next = NULL;
  item->length = length;
  memcpy (item->data, data, length);
  if (!node->first_self_message)
    node->last_self_message_link = &node->first_self_message;
  *node->last_self_message_link = item;
  node->last_self_message_link = &item->next;
}

bool
ms_node_next_self_message (struct ms_node *node, peer_message *message)
{
  struct self_message *item = node->first_self_message;
  bool decoded;

  if (!item)
    return false;
  node->first_self_message = item->next;
  decoded = ms_message_decode (item->data, item->length, message);
  free (item);
  /* This router encoded the message itself, so it must decode.  */
  if (!decoded)
    abort ();
  return true;
}

void
ms_node_drop_self_messages (struct ms_node *node)
{
  while (node->first_self_message)
    {
      struct self_message *item = node->first_self_message;

      node->first_self_message = item->next;
      free (item);
    }
}
