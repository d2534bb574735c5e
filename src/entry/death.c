#include <stdlib.h>

#include "entry/internal.h"

static void
send_death_notice (struct ms_entry *entry, const struct death_notice *notice)
{
  struct ms_view *view = entry->view;
  peer_message message = { .body = { .kind = PEER_DEATH } };

  message.body.peer_body_u.death
      = (peer_death){ .fingerprint = notice->fingerprint,
                      .deaths = notice->deaths,
                      .cleared = notice->cleared };
  for (unsigned i = 0; i < view->members_count; i++)
    if (view->members[i].id != view->self)
      ms_view_send (entry->view, entry->sink, view->members[i].id, &message);
}

/* Append a quarantine record to the log, from which routers that start later
   learn that requests with FINGERPRINT are quarantined.  */
static void
append_quarantine (struct ms_entry *entry, uint64_t fingerprint)
{
  struct ms_record quarantine
      = { .kind = MS_RECORD_QUARANTINE, .fingerprint = fingerprint };
  char *text = ms_record_print (&quarantine);
  struct ms_effect effect
      = { .kind = MS_EFFECT_APPEND, .append = { MS_STREAM_CONTROL, 0, text } };

  entry->sink->emit (entry->sink->context, &effect);
  free (text);
}

void
ms_death_announce (struct ms_entry *entry, uint64_t fingerprint,
                   unsigned deaths, bool cleared)
{
  struct death_notice notice = { fingerprint, deaths, cleared, DEATH_REPEATS };

  if (deaths >= 2) /* Two deaths quarantine a request; see guard.c.  */
    append_quarantine (entry, fingerprint);
  send_death_notice (entry, &notice);
  if (entry->death_notices_count < MAX_DEATH_NOTICES)
    entry->death_notices[entry->death_notices_count++] = notice;
}

void
ms_death_repeat_notices (struct ms_entry *entry)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < entry->death_notices_count; i++)
    {
      struct death_notice notice = entry->death_notices[i];

      send_death_notice (entry, &notice);
      if (--notice.repeats_left)
        entry->death_notices[kept++] = notice;
    }
  entry->death_notices_count = kept;
}
