#include "check.h"

#include <stdlib.h>
#include <string.h>

#include "base/random.h"
#include "rpc/codec.h"

/* Encode a demand message with COUNT items.  Returns the length, or 0.  */
static unsigned
encode_demand (unsigned count, char *data, size_t size)
{
  peer_demand_item items[PEER_DEMANDS + 1] = { 0 };
  peer_message message = { .from = 7, .body = { .kind = PEER_DEMAND } };

  message.body.peer_body_u.demand.cell = 9;
  message.body.peer_body_u.demand.items.items_val = items;
  message.body.peer_body_u.demand.items.items_len = count;
  return ms_message_encode (&message, data, size);
}

static void
test_decode_restores_message (void **state)
{
  char data[MS_MESSAGE_BYTES];
  unsigned length = encode_demand (3, data, sizeof data);
  peer_message message;

  (void)state;
  assert_true (ms_message_decode (data, length, &message));
  assert_int_equal (message.from, 7);
  assert_int_equal (message.body.peer_body_u.demand.items.items_len, 3);
  xdr_free ((xdrproc_t)xdr_peer_message, (char *)&message);
}

static void
test_encode_refuses_excess (void **state)
{
  char data[MS_MESSAGE_BYTES];

  (void)state;
  assert_int_not_equal (encode_demand (PEER_DEMANDS, data, sizeof data), 0);
  assert_int_equal (encode_demand (PEER_DEMANDS + 1, data, sizeof data), 0);
  assert_int_equal (encode_demand (3, data, 16), 0);
}

/* Messages arrive over UDP and may be truncated or altered.  The decoder must
   refuse or decode each, without a crash or an access beyond the data.  */
static void
test_decode_survives_damage (void **state)
{
  struct ms_random random = { 5 };
  char data[MS_MESSAGE_BYTES];
  unsigned length = encode_demand (5, data, sizeof data);

  (void)state;
  for (int i = 0; i < 20000; i++)
    {
      char damaged[MS_MESSAGE_BYTES];
      unsigned cut = 1 + (unsigned)ms_random_below (&random, length);
      peer_message message;

      memcpy (damaged, data, length);
      damaged[ms_random_below (&random, length)]
          ^= (char)(1 + ms_random_below (&random, 255));
      if (ms_message_decode (damaged, cut, &message))
        xdr_free ((xdrproc_t)xdr_peer_message, (char *)&message);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_decode_restores_message),
    cmocka_unit_test (test_encode_refuses_excess),
    cmocka_unit_test (test_decode_survives_damage),
  };

  return RUN (tests);
}
