#include "check.h"

#include <stdio.h>
#include <string.h>

#include "platform.h"

static const char config[]
    = "{\"version\":7,\"routes\":["
      "{\"name\":\"a\",\"hostname\":\"h.example\",\"path_prefix\":\"/x/\","
      "\"route_kind\":\"streaming\",\"timeout_ms\":1500,"
      "\"target_latency_ms\":800,\"priority\":1,\"traffic_split\":["
      "{\"service\":\"s1\",\"weight\":90},{\"service\":\"s2\",\"weight\":10}],"
      "\"max_attempts\":1,\"resumable\":true,\"gap_target_ms\":500},"
      "{\"name\":\"b\",\"hostname\":\"h.example\","
      "\"path_prefix\":\"/x/y/\",\"route_kind\":\"idempotent\","
      "\"service\":\"s2\",\"max_attempts\":2,\"public\":true}],"
      "\"services\":[{\"name\":\"s1\",\"cold_start_s\":3.0,"
      "\"cold_per_s\":16.0,\"engine\":{\"slots\":128,"
      "\"kv_cache_tokens\":1000,\"stride\":6}},{\"name\":\"s2\"}],"
      "\"limits\":{\"max_header_bytes\":16384},"
      "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\",\"k2\"]},"
      "{\"name\":\"t2\",\"api_keys\":[\"k3\"],\"priority\":1}]}";

static void
test_decodes_configuration (void **state)
{
  struct ms_routes *routes;
  const struct ms_route *route;

  (void)state;
  assert_int_equal (plat_decode_routes (ms_str (config), &routes), MS_OK);
  assert_int_equal (routes->version, 7);
  route = ms_routes_find (routes, ms_str ("H.example"), ms_str ("/x/1"));
  assert_non_null (route);
  assert_int_equal (route->repeat, MS_STREAMING);
  assert_true (route->resumable);
  assert_int_equal (route->timeout, 1500 * MS_MSEC);
  assert_int_equal (ms_route_draw_service (route, 89), ms_id (ms_str ("s1")));
  assert_int_equal (ms_route_draw_service (route, 90), ms_id (ms_str ("s2")));
  route = ms_routes_find (routes, ms_str ("h.example"), ms_str ("/x/y/z"));
  assert_string_equal (route->name.data, "b");
  assert_true (route->public);
  assert_null (ms_routes_find (routes, ms_str ("h.example"), ms_str ("/xy")));
  assert_null (ms_routes_find (routes, ms_str ("g.example"), ms_str ("/x/")));
  assert_int_equal (ms_routes_key_team (routes, ms_str ("k2")),
                    ms_id (ms_str ("t1")));
  assert_int_equal (ms_routes_key_team (routes, ms_str ("k")), 0);
  assert_true (ms_routes_service (routes, ms_id (ms_str ("s1")))->model);
  ms_routes_destroy (routes);
}

/* Write to TEXT a configuration with a route that is split over COUNT
   services, of which service I has weight I + 1.  */
static void
write_split (char *text, size_t size, unsigned count)
{
  int used = snprintf (text, size,
                       "{\"version\":8,\"routes\":[{\"name\":\"a\","
                       "\"hostname\":\"h\",\"path_prefix\":\"/x/\","
                       "\"traffic_split\":[");

  for (unsigned i = 0; i < count; i++)
    used += snprintf (text + used, size - (size_t)used,
                      "%s{\"service\":\"s%u\",\"weight\":%u}", i ? "," : "", i,
                      i + 1);
  snprintf (text + used, size - (size_t)used,
            "]},{\"name\":\"b\",\"hostname\":\"h\","
            "\"path_prefix\":\"/y/\",\"service\":\"t\"}]}");
}

/* A split over more than eight services had the whole configuration refused,
   so that keys which it took away stayed in force.  */
static void
test_route_is_split_over_any_number_of_services (void **state)
{
  static char text[200000];
  static const unsigned counts[] = { 1, 8, 9, 200 };

  (void)state;
  for (unsigned i = 0; i < sizeof counts / sizeof *counts; i++)
    {
      unsigned count = counts[i];
      unsigned total = count * (count + 1) / 2;
      struct ms_routes *routes;
      const struct ms_route *route;
      char last[16];

      write_split (text, sizeof text, count);
      assert_int_equal (plat_decode_routes (ms_str (text), &routes), MS_OK);
      route = ms_routes_find (routes, ms_str ("h"), ms_str ("/x/1"));
      assert_int_equal (route->splits_count, count);
      snprintf (last, sizeof last, "s%u", count - 1);
      assert_int_equal (ms_route_draw_service (route, total - 1),
                        ms_id (ms_str (last)));
      route = ms_routes_find (routes, ms_str ("h"), ms_str ("/y/1"));
      assert_int_equal (ms_route_draw_service (route, 0),
                        ms_id (ms_str ("t")));
      ms_routes_destroy (routes);
    }
}

/* What a refused configuration says of keys is known as far as possible.  */
static void
test_decodes_teams_of_an_invalid_configuration (void **state)
{
  static const char text[]
      = "{\"version\":8,\"routes\":7,\"tenants\":[{\"name\":\"t1\","
        "\"api_keys\":[\"k1\",5,\"k2\"]},{\"api_keys\":[\"k3\"]},"
        "{\"name\":\"t2\",\"api_keys\":[\"k4\"]}]}";
  static const char *const unknown[]
      = { "{\"version\":8", "{\"version\":8,\"routes\":[]}",
          "{\"version\":8,\"routes\":[],\"tenants\":{}}", "[]" };
  struct ms_routes *routes;

  (void)state;
  assert_int_equal (plat_decode_routes (ms_str (text), &routes), MS_INVALID);
  assert_int_equal (plat_decode_teams (ms_str (text), &routes), MS_OK);
  assert_int_equal (routes->version, 8);
  assert_true (routes->keys_required);
  assert_int_equal (routes->keys_count, 3);
  assert_int_equal (ms_routes_key_team (routes, ms_str ("k2")),
                    ms_id (ms_str ("t1")));
  assert_int_equal (ms_routes_key_team (routes, ms_str ("k3")), 0);
  assert_int_equal (ms_routes_key_team (routes, ms_str ("k4")),
                    ms_id (ms_str ("t2")));
  ms_routes_destroy (routes);
  for (unsigned i = 0; i < sizeof unknown / sizeof *unknown; i++)
    assert_int_equal (plat_decode_teams (ms_str (unknown[i]), &routes),
                      MS_INVALID);
}

/* The error message names the missing field.  */
static void
test_rejects_invalid_configuration (void **state)
{
  struct ms_routes *routes;

  (void)state;
  assert_int_equal (plat_decode_routes (ms_str ("{\"version\":"), &routes),
                    MS_INVALID);
  assert_null (routes);
  assert_int_equal (
      plat_decode_routes (
          ms_str ("{\"version\":1,\"routes\":[{\"name\":\"a\"}]}"), &routes),
      MS_INVALID);
  assert_non_null (strstr (ms_last_message (), "path_prefix"));
}

static enum ms_status
decode (const char *text, struct ms_endpoint_entry *entry)
{
  return plat_decode_endpoint (ms_str ("i-1"), ms_str (text), entry);
}

#define ENTRY(state, more)                                                    \
  "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","            \
  "\"slots\":8,\"cold_remaining_ms\":250,\"state\":\"" state "\"" more "}"

static void
test_decodes_endpoint (void **state)
{
  struct ms_endpoint_entry entry;

  (void)state;
  assert_int_equal (decode (ENTRY ("draining", ",\"born\":1700"), &entry),
                    MS_OK);
  assert_true (entry.leaving);
  assert_int_equal (entry.cold_for, 250 * MS_MSEC);
  assert_int_equal (entry.born, 1700);
  assert_string_equal (entry.id.data, "i-1");
}

/* Records that lack a field or have an unknown state must not become
   endpoints, whoever wrote them.  */
static void
test_rejects_invalid_endpoints (void **state)
{
  struct ms_endpoint_entry entry;

  (void)state;
  assert_int_equal (decode (ENTRY ("sleeping", ""), &entry), MS_INVALID);
  assert_int_equal (decode ("{\"service\":\"s\"}", &entry), MS_INVALID);
  assert_int_equal (decode ("\xff\xfe", &entry), MS_INVALID);
  assert_int_equal (decode ("[]", &entry), MS_INVALID);
}

/* A sound record under a key that is no name was used as an endpoint.  */
static void
test_rejects_endpoints_whose_key_is_no_name (void **state)
{
  static const char *const odd[]
      = { "",    "a&b", "a+b",  "a#b",   "a%b",      "a b", "a=b",
          "a?b", "a/b", "a\nb", "a\x7f", "\xc3\xa9", "a:b", "a,b" };
  char long_name[MS_NAME_BYTES + 1] = "";
  struct ms_endpoint_entry entry;

  (void)state;
  memset (long_name, 'a', MS_NAME_BYTES);
  for (unsigned i = 0; i < sizeof odd / sizeof *odd; i++)
    assert_int_equal (plat_decode_endpoint (ms_str (odd[i]),
                                            ms_str (ENTRY ("ready", "")),
                                            &entry),
                      MS_INVALID);
  assert_int_equal (plat_decode_endpoint (ms_str (long_name),
                                          ms_str (ENTRY ("ready", "")),
                                          &entry),
                    MS_INVALID);
  assert_int_equal (plat_decode_endpoint (ms_str (long_name + 1),
                                          ms_str (ENTRY ("ready", "")),
                                          &entry),
                    MS_OK);
  assert_int_equal (plat_decode_endpoint (ms_str ("i-7_F.a~"),
                                          ms_str (ENTRY ("ready", "")),
                                          &entry),
                    MS_OK);
}

struct received
{
  char keys[4][16];
  char values[4][16];
  bool removed[4];
  uint64_t offsets[4];
  unsigned count;
};

static void
take (void *context, const struct plat_record *record)
{
  struct received *r = context;

  memcpy (r->keys[r->count], record->key.data, record->key.length);
  memcpy (r->values[r->count], record->value.data, record->value.length);
  r->offsets[r->count] = record->offset;
  r->removed[r->count++] = record->removed;
}

/* Offsets count records, a record without a value is a deletion, and a
   response that is cut off is an error.  */
static void
test_decodes_changes (void **state)
{
  char body[64] = { 0 };
  struct received received = { 0 };
  uint64_t next;
  uint64_t end;
  size_t length = 16; /* Of the header that starts the response.  */

  (void)state;
  body[7] = 9; /* The end of the topic.  */
  length += plat_encode_record (body + length, sizeof body - length,
                                ms_str ("a"), ms_str ("1"));
  length += plat_encode_record (body + length, sizeof body - length,
                                ms_str ("b"), ms_str (""));
  assert_int_equal (plat_decode_read ((struct ms_str){ body, length }, 5, take,
                                      &received, &next, &end),
                    MS_OK);
  assert_int_equal (next, 7);
  assert_int_equal (end, 9);
  assert_int_equal (received.count, 2);
  assert_string_equal (received.values[0], "1");
  assert_true (received.removed[1]);
  assert_int_equal (received.offsets[0], 5);
  assert_int_equal (received.offsets[1], 6);
  assert_int_equal (plat_decode_read ((struct ms_str){ body, length - 1 }, 5,
                                      take, &received, &next, &end),
                    MS_INVALID);
}

static void
test_decodes_newest_records (void **state)
{
  struct received received = { 0 };
  char after[PLAT_AFTER_BYTES];
  uint64_t end;
  bool more;

  (void)state;
  assert_int_equal (
      plat_decode_newest (ms_str ("{\"items\":[{\"key\":\"config\",\"value\":"
                                  "\"e30=\",\"offset\":4}],\"truncated\":true,"
                                  "\"end\":6}"),
                          take, &received, &end, &more, after, sizeof after),
      MS_OK);
  assert_int_equal (end, 6);
  assert_true (more);
  assert_string_equal (after, "config");
  assert_string_equal (received.values[0], "{}");
  assert_int_equal (received.offsets[0], 4);
}

/* One odd item took the whole page away, so that a router which started read
   no list at all.  */
static void
test_odd_items_do_not_hide_the_others (void **state)
{
  static const char *const odd[] = {
    "{\"key\":\"b\\u0000\",\"value\":\"e30=\",\"offset\":5}",
    "{\"key\":\"b\",\"value\":\"e30=\",\"offset\":1e999}",
    "{\"key\":\"b\",\"value\":\"e30=\",\"offset\":99999999999999999999}",
    "{\"key\":\"\xff\",\"value\":\"e30=\",\"offset\":5}",
    "{\"key\":\"b\",\"value\":\"e30=\",\"more\":[],\"]\":{\"}\":\"\\\"]\"}}",
    "{\"key\":[],\"value\":\"e30=\"}",
    "",
    "nul",
    "7",
  };

  (void)state;
  for (unsigned i = 0; i < sizeof odd / sizeof *odd; i++)
    {
      struct received received = { 0 };
      char after[PLAT_AFTER_BYTES];
      char text[512];
      uint64_t end;
      bool more;

      snprintf (text, sizeof text,
                "{ \"other\": [1], \"items\" : [\n"
                "{\"key\":\"a\",\"value\":\"e30=\",\"offset\":4}, %s,\n"
                "{\"key\":\"c\",\"value\":\"e30=\",\"offset\":6} ],"
                "\"truncated\":true,\"end\":7}",
                odd[i]);
      assert_int_equal (plat_decode_newest (ms_str (text), take, &received,
                                            &end, &more, after, sizeof after),
                        MS_OK);
      assert_int_equal (end, 7);
      assert_true (more);
      assert_string_equal (after, "c");
      assert_in_range (received.count, 2, 3);
      assert_int_equal (received.offsets[0], 4);
      assert_int_equal (received.offsets[received.count - 1], 6);
    }
}

/* The key at which a page ends stood in the path of the next call as it was.
 */
static void
test_key_is_encoded_in_the_path_of_the_next_page (void **state)
{
  struct received received = { 0 };
  char after[PLAT_AFTER_BYTES];
  char path[PLAT_AFTER_BYTES + 256];
  uint64_t end;
  bool more;

  (void)state;
  assert_int_equal (
      plat_decode_newest (
          ms_str ("{\"items\":[{\"key\":\"a b&c=\\r\\n\\u0000d\","
                  "\"value\":\"e30=\"}],\"truncated\":true,\"end\":6}"),
          take, &received, &end, &more, after, sizeof after),
      MS_OK);
  plat_newest_path (path, sizeof path, "t", after);
  assert_string_equal (
      path, "/log-newest?topic=t&part=0&after=a%20b%26c%3D%0D%0A%00d");
  /* Without a key there is no next page.  */
  assert_int_equal (
      plat_decode_newest (
          ms_str ("{\"items\":[{}],\"truncated\":true,\"end\":6}"), take,
          &received, &end, &more, after, sizeof after),
      MS_INVALID);
}

/* A store that does not state the offsets of records is read all the same.  */
static void
test_offset_of_a_record_may_be_missing (void **state)
{
  struct received received = { 0 };
  char after[PLAT_AFTER_BYTES];
  uint64_t end;
  bool more;

  (void)state;
  assert_int_equal (
      plat_decode_newest (
          ms_str ("{\"items\":[{\"key\":\"a\",\"value\":\"e30=\"},"
                  "{\"key\":\"b\",\"value\":\"e30=\",\"offset\":-1}],"
                  "\"end\":6}"),
          take, &received, &end, &more, after, sizeof after),
      MS_OK);
  assert_int_equal (received.count, 2);
  assert_int_equal (received.offsets[0], PLAT_NO_OFFSET);
  assert_int_equal (received.offsets[1], PLAT_NO_OFFSET);
}

/* The expected output is at most the allowed output.  */
static void
test_decodes_prompt_headers (void **state)
{
  struct ms_head head = { 0 };
  struct plat_prompt prompt;

  (void)state;
  head.headers[0]
      = (struct ms_header){ ms_str ("X-Token-Counts"), ms_str ("1460,80") };
  head.headers[1] = (struct ms_header){ ms_str ("x-prompt-prefix"),
                                        ms_str ("5c1e07a2:800, 91bd:410") };
  head.headers[2]
      = (struct ms_header){ ms_str ("X-Length-Hint"), ms_str ("200") };
  head.headers_count = 3;
  plat_decode_prompt (&head, &prompt);
  assert_int_equal (prompt.tokens, 1460);
  assert_int_equal (prompt.max_output, 80);
  assert_int_equal (prompt.output, 80);
  assert_int_equal (prompt.parts_count, 2);
  assert_int_equal (prompt.parts[0].id, 0x5c1e07a2);
  assert_int_equal (prompt.parts[1].tokens, 410);
}

/* Guards against forwarding a caller's key, a forged team or other headers
   that only the router may set, and headers of the caller's connection.  */
static void
test_drops_router_and_connection_headers (void **state)
{
  (void)state;
  assert_true (plat_header_dropped (ms_str ("x-key")));
  assert_true (plat_header_dropped (ms_str ("X-Tenant")));
  assert_true (plat_header_dropped (ms_str ("X-Hold")));
  assert_true (plat_header_dropped (ms_str ("transfer-encoding")));
  assert_false (plat_header_dropped (ms_str ("X-Model")));
  assert_false (plat_header_dropped (ms_str ("X-Request-Attempt-Id")));
}

/* Numbers out of any sensible range are moved into it, be they of the
   operators or of an endpoint.  */
static void
test_numbers_out_of_range_are_bounded (void **state)
{
  static const char hostile[]
      = "{\"version\":-3,\"routes\":[{\"name\":\"a\",\"hostname\":\"h\","
        "\"path_prefix\":\"/\",\"service\":\"app\",\"timeout_ms\":1e300,"
        "\"max_attempts\":-1}],\"services\":[{\"name\":\"app\","
        "\"engine\":{\"slots\":1e40,\"kv_cache_tokens\":-5}}]}";
  static const char endpoint[]
      = "{\"service\":\"app\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\","
        "\"slots\":99999999999,\"state\":\"ready\",\"cold_remaining_ms\":"
        "1e300,"
        "\"sequence\":1}";
  struct ms_routes *routes;
  struct ms_endpoint_entry entry;

  (void)state;
  assert_int_equal (plat_decode_routes (ms_str (hostile), &routes), MS_OK);
  assert_int_equal (routes->version, 0);
  assert_int_equal (routes->routes[0].max_attempts, 1);
  assert_true (routes->routes[0].timeout > 0);
  assert_int_equal (routes->services[0].slots, UINT32_MAX);
  assert_int_equal (routes->services[0].memory_tokens, 0);
  ms_routes_destroy (routes);
  assert_int_equal (
      plat_decode_endpoint (ms_str ("e1"), ms_str (endpoint), &entry), MS_OK);
  assert_int_equal (entry.slots, UINT32_MAX);
  assert_true (entry.cold_for > 0);
}

/* Empty strings are equal, also one without data; the sanitizers look on.  */
static void
test_empty_strings_are_equal (void **state)
{
  const struct ms_str none = { NULL, 0 };

  (void)state;
  assert_true (ms_str_equal (none, ms_str ("")));
  assert_true (ms_str_equal (ms_str (""), none));
  assert_false (ms_str_equal (none, ms_str ("a")));
}

static void
test_numbers_end_with_their_text (void **state)
{
  (void)state;
  assert_int_equal (ms_str_number ((struct ms_str){ "1234", 2 }, 100), 12);
  assert_int_equal (ms_str_number (ms_str ("7 8"), 100), 7);
  assert_int_equal (ms_str_number (ms_str ("x"), 100), 0);
  assert_int_equal (ms_str_number (ms_str ("101"), 100), 100);
  assert_int_equal (ms_str_number (ms_str ("99999999999999999999999"), 100),
                    100);
  assert_int_equal (
      ms_str_number (ms_str ("18446744073709551615"), UINT64_MAX), UINT64_MAX);
  assert_int_equal (
      ms_str_number (ms_str ("18446744073709551616"), UINT64_MAX), UINT64_MAX);
}

static ms_time
decode_pause (const char *value, bool *valid)
{
  const struct ms_head head
      = { .status = 503,
          .headers_count = 1,
          .headers = { { ms_str ("Retry-After"), ms_str (value) } } };

  return plat_decode_pause (&head, valid);
}

static void
test_decodes_pauses (void **state)
{
  static const char *const invalid[] = {
    "-1", "0", "", "soon", "1s", "nan", "Fri, 04 Dec 2026 12:00:00 GMT"
  };
  struct ms_head ok = { .status = 200 };
  bool valid;

  (void)state;
  assert_int_equal (decode_pause ("2", &valid), 2 * MS_SEC);
  assert_int_equal (decode_pause ("0.25", &valid), 250 * MS_MSEC);
  assert_int_equal (decode_pause ("1e300", &valid), 600 * MS_SEC);
  assert_true (valid);
  for (size_t i = 0; i < sizeof invalid / sizeof *invalid; i++)
    {
      assert_int_equal (decode_pause (invalid[i], &valid), 0);
      assert_false (valid);
    }
  assert_int_equal (plat_decode_pause (&ok, &valid), 0);
  assert_true (valid);
}

static double
decode_rate_limit (const char *value, bool *valid)
{
  const struct ms_head head
      = { .status = 200,
          .headers_count = 1,
          .headers = { { ms_str ("Server-Limit"), ms_str (value) } } };

  return plat_decode_rate_limit (&head, valid);
}

static void
test_decodes_rate_limits (void **state)
{
  static const char *const invalid[] = { "-1", "", "few", "8/s", "nan" };
  const struct ms_head none = { .status = 200 };
  bool valid;

  (void)state;
  assert_true (decode_rate_limit ("8.1", &valid) == 8.1);
  assert_true (decode_rate_limit ("0", &valid) == 0);
  assert_true (decode_rate_limit ("1e300", &valid) == 1e6);
  assert_true (valid);
  for (size_t i = 0; i < sizeof invalid / sizeof *invalid; i++)
    {
      assert_true (decode_rate_limit (invalid[i], &valid) < 0);
      assert_false (valid);
    }
  assert_true (plat_decode_rate_limit (&none, &valid) < 0);
  assert_true (valid);
}

/* Figures that cannot be true are counted and not used; the others are.  */
static void
test_decodes_loads (void **state)
{
  static const struct
  {
    const char *text;
    struct ms_load_report report;
    bool valid;
  } loads[] = { { "3, 1,8,250", { 3, 1, 8, 250 }, true },
                { "3,,8", { 3, -1, 8, -1 }, true },
                { "1,x,8,100,7", { 1, -1, 8, 100 }, false },
                { "-1,nan,0,0", { -1, -1, -1, -1 }, false },
                { "1e300,inf,few,9", { -1, -1, -1, -1 }, false },
                { ",,,2001", { -1, -1, -1, -1 }, false } };
  struct ms_head head = { .status = 200 };
  struct ms_load_report report;
  bool valid;

  (void)state;
  assert_false (plat_decode_load (&head, &report, &valid));
  assert_true (valid);
  head.headers_count = 1;
  head.headers[0].name = ms_str ("X-Server-Load");
  for (size_t i = 0; i < sizeof loads / sizeof *loads; i++)
    {
      head.headers[0].value = ms_str (loads[i].text);
      assert_int_equal (plat_decode_load (&head, &report, &valid), i < 3);
      assert_int_equal (valid, loads[i].valid);
      assert_memory_equal (&report, &loads[i].report, sizeof report);
    }
}

static void
test_loss_of_an_offset (void **state)
{
  (void)state;
  assert_true (plat_offset_lost (ms_str ("{\"first\":4}"), 9));
  assert_true (plat_offset_lost (ms_str ("{\"first\":9}"), 9));
  assert_false (plat_offset_lost (ms_str ("{\"first\":10}"), 9));
  assert_false (plat_offset_lost (ms_str ("{\"first\":-1}"), 9));
  assert_false (plat_offset_lost (ms_str ("{}"), 9));
  assert_false (plat_offset_lost (ms_str (""), 9));
}

static enum ms_status
decode_order (const char *text, struct plat_order *order)
{
  return plat_decode_order (ms_str ("app"), ms_str (text), order);
}

/* The version that an order names is the one that entries of its endpoints
   state, else the fleet would find no endpoint of it.  */
static void
test_decodes_orders (void **state)
{
  struct ms_str name;
  struct plat_order order;
  struct ms_endpoint_entry entry;

  (void)state;
  assert_int_equal (plat_operator_key (ms_str ("rollout/app"), &name),
                    PLAT_OPERATOR_ROLLOUT);
  assert_true (ms_str_equal (name, ms_str ("app")));
  assert_int_equal (plat_operator_key (ms_str ("rollout/"), &name),
                    PLAT_OPERATOR_OTHER);
  assert_int_equal (
      decode_order ("{\"service\":\"app\",\"to\":\"v2\",\"duration_s\":12}",
                    &order),
      MS_OK);
  assert_int_equal (order.service_id, ms_id (ms_str ("app")));
  assert_int_equal (order.duration, 12 * MS_SEC);
  assert_string_equal (order.to.data, "v2");
  assert_int_equal (
      decode (
          "{\"service\":\"app\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
          "\"slots\":8,\"cold_remaining_ms\":0,\"state\":\"ready\","
          "\"version\":\"v2\"}",
          &entry),
      MS_OK);
  assert_int_equal (order.version, entry.version);
  assert_int_equal (
      decode_order ("{\"service\":\"app\",\"to\":\"v2\",\"duration_s\":1e-9}",
                    &order),
      MS_OK);
  assert_true (order.duration > 0);
}

/* A record that is no order must not move a service, whatever it holds.  */
static void
test_rejects_invalid_orders (void **state)
{
  static const char *const invalid[] = {
    "",
    "{",
    "[]",
    "{}",
    "{\"to\":\"v2\",\"duration_s\":12}",
    "{\"service\":\"app\",\"duration_s\":12}",
    "{\"service\":\"app\",\"to\":\"v2\"}",
    "{\"service\":\"other\",\"to\":\"v2\",\"duration_s\":12}",
    "{\"service\":7,\"to\":\"v2\",\"duration_s\":12}",
    "{\"service\":\"app\",\"to\":2,\"duration_s\":12}",
    "{\"service\":\"app\",\"to\":\"\",\"duration_s\":12}",
    "{\"service\":\"app\",\"to\":[\"v2\"],\"duration_s\":12}",
    "{\"service\":\"app\",\"to\":\"v2\",\"duration_s\":\"12\"}",
    "{\"service\":\"app\",\"to\":\"v2\",\"duration_s\":true}",
    "{\"service\":\"app\",\"to\":\"v2\",\"duration_s\":0}",
    "{\"service\":\"app\",\"to\":\"v2\",\"duration_s\":-12}",
    "{\"service\":\"app\",\"to\":\"v2\",\"duration_s\":1e7}",
    "{\"service\":\"app\",\"to\":\"v2\",\"duration_s\":1e999}",
  };
  char name[100];
  char text[300];
  struct plat_order order;

  (void)state;
  for (size_t i = 0; i < sizeof invalid / sizeof *invalid; i++)
    assert_int_equal (decode_order (invalid[i], &order), MS_INVALID);
  memset (name, 'n', sizeof name - 1);
  name[sizeof name - 1] = '\0';
  snprintf (text, sizeof text,
            "{\"service\":\"app\",\"to\":\"%s\",\"duration_s\":12}", name);
  assert_int_equal (decode_order (text, &order), MS_INVALID);
  snprintf (text, sizeof text,
            "{\"service\":\"%s\",\"to\":\"v2\",\"duration_s\":12}", name);
  assert_int_equal (plat_decode_order (ms_str (name), ms_str (text), &order),
                    MS_INVALID);
}

struct taken
{
  char key[32];
  char value[256];
};

static void
take_one (void *context, const struct plat_record *record)
{
  struct taken *t = context;

  memcpy (t->key, record->key.data, record->key.length);
  memcpy (t->value, record->value.data, record->value.length);
}

/* The operators and routers that start read what the fleet has written.  */
static void
test_state_is_read_as_it_was_written (void **state)
{
  struct plat_rollout_state written = {
    .service = ms_name ("app"),
    .to = ms_name ("v\"2"),
    .phase = PLAT_ROLLOUT_ROLLED_BACK,
    .started_ms = 1796000000123,
    .order = 0xfedcba9876543210,
    .excluded = { ms_name ("v\"1"), ms_name ("v0") },
    .excluded_count = 2,
  };
  struct plat_rollout_state read;
  struct taken taken = { 0 };
  struct ms_str service;
  char body[512] = { 0 };
  uint64_t next;
  uint64_t end;
  size_t length = plat_encode_state (body + 16, sizeof body - 16, &written);

  (void)state;
  assert_true (length > 0);
  assert_int_equal (plat_decode_read ((struct ms_str){ body, 16 + length }, 0,
                                      take_one, &taken, &next, &end),
                    MS_OK);
  assert_string_equal (taken.key, "rollout/app");
  assert_non_null (strstr (taken.value, "\"state\":\"rolled_back\""));
  assert_true (plat_rollout_key (ms_str (taken.key), &service));
  assert_int_equal (plat_decode_state (service, ms_str (taken.value), &read),
                    MS_OK);
  assert_string_equal (read.to.data, "v\"2");
  assert_int_equal (read.phase, PLAT_ROLLOUT_ROLLED_BACK);
  assert_int_equal (read.started_ms, written.started_ms);
  assert_int_equal (read.order, written.order);
  assert_int_equal (read.excluded_count, 2);
  assert_string_equal (read.excluded[0].data, "v\"1");
  assert_string_equal (read.excluded[1].data, "v0");
  assert_int_equal (plat_encode_state (body, 20, &written), 0);
}

/* A state that cannot be read must not end an order.  */
static void
test_rejects_invalid_states (void **state)
{
  static const char *const invalid[] = {
    "",
    "[]",
    "{\"service\":\"app\",\"to\":\"v2\"}",
    "{\"service\":\"app\",\"state\":\"running\"}",
    "{\"to\":\"v2\",\"state\":\"running\"}",
    "{\"service\":\"app\",\"to\":\"v2\",\"state\":\"sleeping\"}",
    "{\"service\":\"app\",\"to\":\"v2\",\"state\":1}",
    "{\"service\":\"other\",\"to\":\"v2\",\"state\":\"running\"}",
  };
  struct plat_rollout_state read;

  (void)state;
  for (size_t i = 0; i < sizeof invalid / sizeof *invalid; i++)
    assert_int_equal (
        plat_decode_state (ms_str ("app"), ms_str (invalid[i]), &read),
        MS_INVALID);
  assert_int_equal (plat_decode_state (
                        ms_str ("app"),
                        ms_str ("{\"service\":\"app\",\"to\":\"v2\",\"state\":"
                                "\"completed\",\"started_ms\":-5,\"order\":7,"
                                "\"excluded\":[1,\"\",\"a\",{},\"b\",\"c\"]}"),
                        &read),
                    MS_OK);
  assert_int_equal (read.excluded_count, 2);
  assert_string_equal (read.excluded[0].data, "a");
  assert_string_equal (read.excluded[1].data, "b");
  assert_int_equal (read.phase, PLAT_ROLLOUT_COMPLETED);
  assert_int_equal (read.started_ms, 0);
  assert_int_equal (read.order, 0);
}

/* Decode the answer of the health page of e0 with STATUS, NAME as
   X-Instance-Id and COLD as X-Cold-Ms; NULL leaves a header out.  */
static bool
decode_health (unsigned status, const char *name, const char *cold,
               ms_time *cold_for)
{
  struct ms_head head = { .status = status };

  if (name)
    head.headers[head.headers_count++]
        = (struct ms_header){ ms_str ("X-Instance-Id"), ms_str (name) };
  if (cold)
    head.headers[head.headers_count++]
        = (struct ms_header){ ms_str ("x-cold-ms"), ms_str (cold) };
  return plat_decode_health (&head, ms_str ("e0"), cold_for);
}

static void
test_decodes_health (void **state)
{
  ms_time cold_for;

  (void)state;
  assert_true (decode_health (200, "e0", "2500", &cold_for));
  assert_int_equal (cold_for, 2500 * MS_MSEC);
  assert_true (decode_health (200, "e0", NULL, &cold_for));
  assert_int_equal (cold_for, 0);
  assert_true (decode_health (503, "e0", "0", &cold_for));
  assert_int_equal (cold_for, 0);
  assert_true (decode_health (200, "e0", "1e300", &cold_for));
  assert_true (cold_for > 0);
  /* A full endpoint does not say whether it is cold.  */
  assert_false (decode_health (503, "e0", NULL, &cold_for));
  assert_false (decode_health (200, "e1", "2500", &cold_for));
  assert_false (decode_health (200, NULL, "2500", &cold_for));
  assert_false (decode_health (200, "e0", "-1", &cold_for));
  assert_false (decode_health (200, "e0", "nan", &cold_for));
  assert_false (decode_health (200, "e0", "", &cold_for));
  assert_int_equal (cold_for, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_decodes_configuration),
    cmocka_unit_test (test_route_is_split_over_any_number_of_services),
    cmocka_unit_test (test_decodes_teams_of_an_invalid_configuration),
    cmocka_unit_test (test_rejects_invalid_configuration),
    cmocka_unit_test (test_decodes_endpoint),
    cmocka_unit_test (test_rejects_invalid_endpoints),
    cmocka_unit_test (test_rejects_endpoints_whose_key_is_no_name),
    cmocka_unit_test (test_decodes_changes),
    cmocka_unit_test (test_decodes_newest_records),
    cmocka_unit_test (test_odd_items_do_not_hide_the_others),
    cmocka_unit_test (test_key_is_encoded_in_the_path_of_the_next_page),
    cmocka_unit_test (test_decodes_prompt_headers),
    cmocka_unit_test (test_drops_router_and_connection_headers),
    cmocka_unit_test (test_numbers_out_of_range_are_bounded),
    cmocka_unit_test (test_empty_strings_are_equal),
    cmocka_unit_test (test_numbers_end_with_their_text),
    cmocka_unit_test (test_decodes_pauses),
    cmocka_unit_test (test_decodes_rate_limits),
    cmocka_unit_test (test_decodes_loads),
    cmocka_unit_test (test_decodes_health),
    cmocka_unit_test (test_loss_of_an_offset),
    cmocka_unit_test (test_offset_of_a_record_may_be_missing),
    cmocka_unit_test (test_decodes_orders),
    cmocka_unit_test (test_rejects_invalid_orders),
    cmocka_unit_test (test_state_is_read_as_it_was_written),
    cmocka_unit_test (test_rejects_invalid_states),
  };

  return RUN (tests);
}
