#include "check.h"

#include <arpa/inet.h>
#include <endian.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/gateway_fixture.h"

/* A stream that its caller takes up at another router goes on at the version
   that began it, also if that router was cut off or did not run while
   endpoints of a new version joined.  The test plays the store.  */

#define MEMORY_MB 100
#define DEADLINE_MS 10000
#define LIFETIME_MS 61000 /* After which all versions are known.  */
#define LIST_END 5        /* Of the store's list of endpoints.  */
#define PEERS 4

struct resume_test
{
  struct fixture *f;
  int store;
  char store_address[32];
};

/* Start a gateway that knows one version.  Its list of endpoints was confirmed
   LIST_AGE_MS ago.  */
static struct resume_test
create (long list_age_ms)
{
  struct resume_test t = { 0 };
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;
  struct ms_gateway *gw;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  t.store = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (bind (t.store, (struct sockaddr *)&address, length), 0);
  assert_int_equal (listen (t.store, 16), 0);
  fcntl (t.store, F_SETFL, O_NONBLOCK);
  getsockname (t.store, (struct sockaddr *)&address, &length);
  snprintf (t.store_address, sizeof t.store_address, "127.0.0.1:%u",
            ntohs (address.sin_port));
  t.f = fixture_create_with_store (MEMORY_MB, t.store_address);
  gw = t.f->gw;
  fixture_advance (t.f, LIFETIME_MS);
  ms_gateway_update_time (gw);
  ms_streams_note_version (gw->streams, ms_id (ms_str ("app")), 1, gw->now);
  ms_replica_complete (ms_topic_replica (gw->endpoint_topic), LIST_END, 0,
                       gw->now, gw->now);
  fixture_advance (t.f, list_age_ms);
  ms_gateway_update_time (gw);
  return t;
}

static void
destroy (struct resume_test *t)
{
  close (t->store);
  fixture_destroy (t->f);
}

/* Connect a caller that takes up a stream which began elsewhere.  */
static int
take_up (struct resume_test *t)
{
  static const char text[]
      = "GET /events/x HTTP/1.1\r\nHost: h\r\nX-Request-Attempt-Id: t\r\n"
        "Last-Event-Id: 3\r\nResumes: first\r\n"
        "X-Deadline-Remaining-Ms: 10000\r\n\r\n";
  int caller = fixture_connect_caller (t->f);

  fixture_send (t->f, caller, text, sizeof text - 1);
  for (unsigned i = 0; i < 100; i++)
    fixture_step (t->f);
  return caller;
}

/* Answer the next read of the list with an entry of another version if
   NEW_VERSION, else without news.  */
static void
answer_read (struct resume_test *t, bool new_version)
{
  static const char entry[]
      = "\2e9{\"service\":\"app\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\","
        "\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,"
        "\"sequence\":1,\"version\":\"v2\"}";
  uint32_t entry_length = htobe32 (sizeof entry - 1);
  uint64_t end = htobe64 (LIST_END + new_version);
  char text[4096] = "";
  int fd = -1;

  for (unsigned i = 0; i < FIXTURE_WAIT_MS && fd < 0; i++)
    {
      fixture_tick (t->f);
      usleep (1000);
      fd = accept (t->store, NULL, NULL);
    }
  assert_true (fd >= 0);
  fcntl (fd, F_SETFL, O_NONBLOCK);
  while (!strstr (text, "\r\n\r\n"))
    assert_true (fixture_receive (t->f, fd, text, sizeof text));
  assert_non_null (strstr (text, "GET /log-read?topic=keyed.servers"));
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n",
            16 + (new_version ? 4 + sizeof entry - 1 : 0));
  fixture_send (t->f, fd, text, strlen (text));
  fixture_send (t->f, fd, (const char *)&end, sizeof end);
  end = 0;
  fixture_send (t->f, fd, (const char *)&end, sizeof end);
  if (new_version)
    {
      fixture_send (t->f, fd, (const char *)&entry_length,
                    sizeof entry_length);
      fixture_send (t->f, fd, entry, sizeof entry - 1);
    }
  close (fd);
}

/* Let a digest arrive from each of the first COUNT peers.  */
static void
receive_digests (struct resume_test *t, unsigned count)
{
  struct ms_gateway *gw = t->f->gw;

  for (unsigned i = 0; i < count; i++)
    {
      struct fleet_digest digest = { 0 };

      digest.self = (digest_member){ 100 + i, 1, 7, 0x0a000001 + i };
      digest.sequence = (unsigned)(gw->now / MS_MSEC);
      assert_true (ms_fleet_receive (gw->fleet, &digest, gw->now));
    }
}

static void
expect_refused (struct resume_test *t, int caller)
{
  char text[1024] = "";

  assert_true (fixture_receive (t->f, caller, text, sizeof text));
  assert_non_null (strstr (text, "HTTP/1.1 503 "));
  assert_non_null (strstr (text, "version_unknown"));
  close (caller);
}

static void
expect_run (struct resume_test *t, int caller)
{
  int run = fixture_accept_request (t->f);

  assert_true (run >= 0);
  close (run);
  close (caller);
}

static void
test_goes_on_with_a_recent_list (void **state)
{
  struct resume_test t = create (20);

  (void)state;
  expect_run (&t, take_up (&t));
  destroy (&t);
}

static void
test_goes_on_once_the_list_is_confirmed (void **state)
{
  struct resume_test t = create (400);
  int caller = take_up (&t);

  (void)state;
  answer_read (&t, false);
  expect_run (&t, caller);
  destroy (&t);
}

/* Such a stream went on at the only version that the router knew.  */
static void
test_is_refused_if_a_version_has_joined (void **state)
{
  struct resume_test t = create (400);
  int caller = take_up (&t);

  (void)state;
  answer_read (&t, true);
  expect_refused (&t, caller);
  destroy (&t);
}

/* A router that is cut off from the store and from the others.  */
static void
test_is_refused_while_cut_off (void **state)
{
  struct resume_test t = create (400);
  int caller;

  (void)state;
  receive_digests (&t, PEERS);
  caller = take_up (&t);
  fixture_advance (t.f, 250);
  fixture_tick (t.f);
  receive_digests (&t, PEERS / 2 - 1);
  fixture_advance (t.f, 300);
  fixture_tick (t.f);
  expect_refused (&t, caller);
  destroy (&t);
}

static void
test_goes_on_in_touch_while_the_store_is_down (void **state)
{
  struct resume_test t = create (400);
  int caller;

  (void)state;
  receive_digests (&t, PEERS);
  caller = take_up (&t);
  fixture_advance (t.f, 250);
  fixture_tick (t.f);
  receive_digests (&t, PEERS / 2);
  assert_int_equal (t.f->gw->requests_count, 1);
  fixture_advance (t.f, 300);
  expect_run (&t, caller);
  destroy (&t);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_goes_on_with_a_recent_list),
    cmocka_unit_test (test_goes_on_once_the_list_is_confirmed),
    cmocka_unit_test (test_is_refused_if_a_version_has_joined),
    cmocka_unit_test (test_is_refused_while_cut_off),
    cmocka_unit_test (test_goes_on_in_touch_while_the_store_is_down),
  };

  return RUN (tests);
}
