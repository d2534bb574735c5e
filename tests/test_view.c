#include "check.h"

#include <stdio.h>
#include <string.h>

#include "view/view.h"

/* Tests of members, cells and holders as computed from log records.  */

#define CONFIG                                                                \
  "availability_zones:\n"                                                     \
  "- {name: z0, region: r}\n"                                                 \
  "- {name: z1, region: r}\n"                                                 \
  "teams:\n"                                                                  \
  "- {name: t}\n"                                                             \
  "services:\n"                                                               \
  "- {name: s, cold_limit: 2, warm_limit: 8, cells_per_zone: 8}\n"

/* Create a view of the router n0 with the 16 cells of CONFIG and no members.
   The router's zone, 1, is none of CONFIG's; cells and holders do not depend
   on it.  */
static struct ms_view *
create_view (void)
{
  struct ms_view *view = ms_view_create (ms_id (ms_str ("n0")), 1, 1);
  struct ms_config *config;

  assert_int_equal (ms_config_parse (ms_str (CONFIG), "test", &config), MS_OK);
  config->generation = 1;
  assert_null (ms_view_configure (view, config, 0));
  return view;
}

/* Apply a record of KIND for the router "nNODE"; odd ones are in zone z1.  */
static void
apply_record (struct ms_view *view, enum ms_record_kind kind, unsigned node,
              uint64_t incarnation, uint64_t offset)
{
  struct ms_record record = { .kind = kind, .incarnation = incarnation };
  char name[16];

  snprintf (name, sizeof name, "n%u", node);
  record.node = ms_name (name);
  record.zone = ms_name (node % 2 ? "z1" : "z0");
  ms_view_apply (view, &record, offset, 0);
}

static void
test_cells_are_held_in_their_own_zone (void **state)
{
  struct ms_view *view = create_view ();

  (void)state;
  for (unsigned i = 0; i < 6; i++)
    apply_record (view, MS_RECORD_JOIN, i, 1, 10 + i);
  assert_int_equal (view->cells_count, 16);
  for (unsigned i = 0; i < view->cells_count; i++)
    assert_int_equal (ms_view_member (view, view->cells[i].holder)->zone,
                      view->cells[i].zone);
  ms_view_destroy (view);
}

/* Two routers that applied the same records must not both hold a cell.  */
static void
test_views_at_one_offset_agree (void **state)
{
  struct ms_view *a = create_view ();
  struct ms_view *b = create_view ();

  (void)state;
  for (unsigned i = 0; i < 6; i++)
    {
      apply_record (a, MS_RECORD_JOIN, i, 1, 10 + i);
      apply_record (b, MS_RECORD_JOIN, i, 1, 10 + i);
    }
  apply_record (a, MS_RECORD_EXPIRE, 2, 1, 20);
  apply_record (b, MS_RECORD_EXPIRE, 2, 1, 20);
  for (unsigned i = 0; i < a->cells_count; i++)
    {
      assert_int_equal (a->cells[i].holder, b->cells[i].holder);
      assert_int_equal (a->cells[i].term, b->cells[i].term);
    }
  ms_view_destroy (a);
  ms_view_destroy (b);
}

/* Return the router that held CELL before its holder changed last.  */
static uint64_t
latest_predecessor (const struct ms_cell *cell)
{
  assert_true (cell->predecessors_count > 0);
  return cell->predecessors[cell->predecessors_count - 1].node;
}

static void
test_only_cells_of_expired_holder_move (void **state)
{
  struct ms_view *view = create_view ();
  uint64_t before[16];
  uint64_t gone = ms_id (ms_str ("n2"));

  (void)state;
  for (unsigned i = 0; i < 6; i++)
    apply_record (view, MS_RECORD_JOIN, i, 1, 10 + i);
  for (unsigned i = 0; i < view->cells_count; i++)
    before[i] = view->cells[i].holder;
  apply_record (view, MS_RECORD_EXPIRE, 2, 1, 20);
  for (unsigned i = 0; i < view->cells_count; i++)
    {
      if (before[i] != gone)
        assert_int_equal (view->cells[i].holder, before[i]);
      else
        {
          assert_int_not_equal (view->cells[i].holder, gone);
          assert_int_equal (view->cells[i].term, 20);
          assert_int_equal (latest_predecessor (&view->cells[i]), before[i]);
        }
    }
  ms_view_destroy (view);
}

/* An expire record can reach the log after the router that it names has
   joined again as a new process.  */
static void
test_expire_of_earlier_incarnation_is_ignored (void **state)
{
  struct ms_view *view = create_view ();

  (void)state;
  apply_record (view, MS_RECORD_JOIN, 0, 2, 10);
  apply_record (view, MS_RECORD_EXPIRE, 0, 1, 11);
  assert_int_equal (view->members_count, 1);
  apply_record (view, MS_RECORD_EXPIRE, 0, 2, 12);
  assert_int_equal (view->members_count, 0);
  ms_view_destroy (view);
}

/* A predecessor counts until it has reported an applied offset beyond the
   record that replaced it, since it may grant slots until then.  */
static void
test_informed_predecessors_are_removed (void **state)
{
  struct ms_view *view = create_view ();
  struct ms_cell *moved = NULL;

  (void)state;
  for (unsigned i = 0; i < 6; i++)
    apply_record (view, MS_RECORD_JOIN, i, 1, 10 + i);
  apply_record (view, MS_RECORD_EXPIRE, 2, 1, 20);
  for (unsigned i = 0; i < view->cells_count; i++)
    if (view->cells[i].term == 20)
      moved = &view->cells[i];
  /* n2 held a cell, else there would be nothing to move back.  */
  assert_non_null (moved);
  /* n2 joins again, which moves its cells back: their predecessors are now
     members, whose applied offsets count.  */
  apply_record (view, MS_RECORD_JOIN, 2, 1, 21);
  for (unsigned i = 0; i < view->cells_count; i++)
    {
      ms_view_prune_predecessors (view, &view->cells[i]);
      if (view->cells[i].term == 21)
        assert_true (view->cells[i].predecessors_count > 0);
    }
  for (unsigned i = 0; i < view->members_count; i++)
    view->members[i].applied = 30;
  for (unsigned i = 0; i < view->cells_count; i++)
    {
      ms_view_prune_predecessors (view, &view->cells[i]);
      assert_int_equal (view->cells[i].predecessors_count, 0);
    }
  ms_view_destroy (view);
}

/* A FIRST_KEPT of 0, as in the first check, means that the log has dropped
   nothing yet.  */
static void
test_only_records_in_older_half_drop_soon (void **state)
{
  (void)state;
  assert_false (ms_log_drops_soon (5, 0, 100));
  assert_true (ms_log_drops_soon (50, 40, 100));
  assert_false (ms_log_drops_soon (80, 40, 100));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cells_are_held_in_their_own_zone),
    cmocka_unit_test (test_views_at_one_offset_agree),
    cmocka_unit_test (test_only_cells_of_expired_holder_move),
    cmocka_unit_test (test_expire_of_earlier_incarnation_is_ignored),
    cmocka_unit_test (test_informed_predecessors_are_removed),
    cmocka_unit_test (test_only_records_in_older_half_drop_soon),
  };

  return RUN (tests);
}
