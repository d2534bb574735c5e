#include <stdlib.h>

#include "entry/internal.h"

static void
tell (struct ms_entry *entry, const struct told *told)
{
  struct ms_view *view = entry->view;
  peer_message message = { .body = { .kind = PEER_DEATH } };

  message.body.peer_body_u.death
      = (peer_death){ .fingerprint = told->fingerprint,
                      .deaths = told->deaths,
                      .cleared = told->cleared };
  for (unsigned i = 0; i < view->members_count; i++)
    if (view->members[i].id != view->self)
      ms_view_send (entry->view, entry->sink, view->members[i].id, &message);
}

/* Routers that start later learn of it from the log.  */
static void
record (struct ms_entry *entry, uint64_t fingerprint)
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
ms_death_note (struct ms_entry *entry, uint64_t fingerprint, unsigned deaths,
               bool cleared)
{
  struct told told = { fingerprint, deaths, cleared, DEATH_REPEATS };

  if (deaths >= 2)
    record (entry, fingerprint);
  tell (entry, &told);
  if (entry->told_count < MAX_DEATHS_TOLD)
    entry->told[entry->told_count++] = told;
}

void
ms_death_repeat (struct ms_entry *entry)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < entry->told_count; i++)
    {
      struct told told = entry->told[i];

      tell (entry, &told);
      if (--told.repeats)
        entry->told[kept++] = told;
    }
  entry->told_count = kept;
}
