#include "config/follower.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/log.h"
#include "base/switches.h"
#include "base/metrics.h"
#include "view/send.h"

#define MAX_TEXT_BYTES (16u << 20)
#define WANT_PERIOD (200 * MS_MSEC)

#define COPY_PERIOD (30 * MS_SEC)

struct ms_follower
{
  struct ms_view *view;
  const struct ms_sink *sink;
  struct ms_random *random;
  uint64_t stored_at; /* Newest offset that holds the text in force.  */
  ms_time next_copy;

  /* A configuration that is being fetched from a peer.  */
  uint64_t wanted;
  uint64_t source;
  char *text;
  uint32_t total;
  uint32_t received;
  ms_time next_want;
};

struct ms_follower *
ms_follower_create (struct ms_view *view, const struct ms_sink *sink,
                    struct ms_random *random)
{
  struct ms_follower *follower = ms_new (sizeof *follower);

  follower->view = view;
  follower->sink = sink;
  follower->random = random;
  return follower;
}

static void
forget_fetch (struct ms_follower *follower)
{
  free (follower->text);
  follower->text = NULL;
  follower->wanted = 0;
  follower->total = 0;
  follower->received = 0;
}

void
ms_follower_destroy (struct ms_follower *follower)
{
  if (!follower)
    return;
  forget_fetch (follower);
  free (follower);
}

static uint64_t
in_force (const struct ms_follower *follower)
{
  return follower->view->config ? follower->view->config->generation : 0;
}

static bool
put_in_force (struct ms_follower *follower, struct ms_str text,
              uint64_t generation, ms_time now)
{
  struct ms_config *config;

  if (ms_config_parse (text, "publication", &config) != MS_OK)
    {
      ms_count (MS_M_CONFIG_REFUSED, 1);
      ms_log (MS_WARN, "config", "refused generation=%llu reason=\"%s\"",
              (unsigned long long)generation, ms_last_message ());
      return false;
    }
  config->generation = generation;
  ms_config_destroy (ms_view_configure (follower->view, config, now));
  ms_count (MS_M_CONFIG_ACCEPTED, 1);
  if (follower->wanted && follower->wanted <= generation)
    forget_fetch (follower);
  return true;
}

/* Offsets count from 1 as generations, so that 0 means "none yet".  */
static uint64_t
generation_at (uint64_t offset)
{
  return offset + 1;
}

bool
ms_follower_record (struct ms_follower *follower,
                    const struct ms_record *record, uint64_t offset,
                    ms_time now)
{
  struct ms_str text = { record->text, record->text_length };
  uint64_t held = in_force (follower);
  uint64_t generation = record->kind == MS_RECORD_CONFIG
                            ? generation_at (offset)
                            : record->generation;

  if (!record->text)
    return false;
  if (generation == held)
    {
      follower->stored_at = offset;
      return false;
    }
  if (generation < held)
    return false;
  if (record->kind == MS_RECORD_CONFIG && record->generation != held
      && ms_enabled (MS_PUBLICATION_BASE))
    {
      ms_count (MS_M_CONFIG_REFUSED, 1);
      return false;
    }
  if (!put_in_force (follower, text, generation, now))
    return false;
  follower->stored_at = offset;
  return true;
}

void
ms_follower_wanted (struct ms_follower *follower, const peer_message *message)
{
  const peer_config_want *want = &message->body.peer_body_u.want;
  const struct ms_config *config = follower->view->config;
  peer_message answer = { .body = { .kind = PEER_CONFIG_PART } };
  peer_config_part *part = &answer.body.peer_body_u.part;

  if (!config || config->generation < want->generation
      || want->offset >= config->text_length)
    return;
  part->generation = config->generation;
  part->total = config->text_length;
  part->offset = want->offset;
  part->data.data_val = config->text + want->offset;
  part->data.data_len = config->text_length - want->offset;
  if (part->data.data_len > PEER_PART_BYTES)
    part->data.data_len = PEER_PART_BYTES;
  ms_view_send (follower->view, follower->sink, message->from, &answer);
}

static void
ask (struct ms_follower *follower, ms_time now)
{
  peer_message message = { .body = { .kind = PEER_CONFIG_WANT } };

  message.body.peer_body_u.want
      = (peer_config_want){ follower->wanted, follower->received };
  follower->next_want = now + WANT_PERIOD;
  ms_view_send (follower->view, follower->sink, follower->source, &message);
}

void
ms_follower_heard (struct ms_follower *follower, uint64_t node,
                   uint64_t generation, ms_time now)
{
  if (!ms_enabled (MS_PEER_CONFIG) || generation <= in_force (follower)
      || generation <= follower->wanted)
    return;
  forget_fetch (follower);
  follower->wanted = generation;
  follower->source = node;
  ask (follower, now);
}

/* The source may have gone on to a newer generation meanwhile.  */
static bool
begin_text (struct ms_follower *follower, const peer_config_part *part)
{
  if (part->total == 0 || part->total > MAX_TEXT_BYTES)
    return false;
  if (follower->text && part->generation == follower->wanted)
    return part->total == follower->total;
  free (follower->text);
  follower->wanted = part->generation;
  follower->text = ms_new (part->total);
  follower->total = part->total;
  follower->received = 0;
  return true;
}

bool
ms_follower_part (struct ms_follower *follower, const peer_message *message,
                  ms_time now)
{
  const peer_config_part *part = &message->body.peer_body_u.part;
  struct ms_str text;
  bool changed;

  if (message->from != follower->source || !follower->wanted
      || part->generation < follower->wanted || !begin_text (follower, part))
    return false;
  if (part->offset != follower->received
      || part->data.data_len > follower->total - follower->received)
    return false;
  memcpy (follower->text + follower->received, part->data.data_val,
          part->data.data_len);
  follower->received += part->data.data_len;
  if (follower->received < follower->total)
    {
      ask (follower, now);
      return false;
    }
  text = (struct ms_str){ follower->text, follower->total };
  changed = part->generation > in_force (follower)
            && put_in_force (follower, text, part->generation, now);
  forget_fetch (follower);
  return changed;
}

static void
copy_text (struct ms_follower *follower)
{
  const struct ms_config *config = follower->view->config;
  struct ms_record record = { .kind = MS_RECORD_CONFIG_COPY,
                              .generation = config->generation,
                              .text = config->text,
                              .text_length = config->text_length };
  char *text = ms_record_print (&record);
  struct ms_effect effect
      = { .kind = MS_EFFECT_APPEND, .append = { MS_STREAM_CONTROL, 0, text } };

  follower->sink->emit (follower->sink->context, &effect);
  free (text);
}

static void
fetch_elsewhere (struct ms_follower *follower, ms_time now)
{
  struct ms_view *view = follower->view;
  unsigned start
      = (unsigned)ms_random_below (follower->random, view->members_count);

  for (unsigned i = 0; i < view->members_count; i++)
    {
      const struct ms_member *member
          = &view->members[(start + i) % view->members_count];

      if (member->id == view->self || member->generation < follower->wanted)
        continue;
      if (member->id != follower->source)
        {
          follower->source = member->id;
          follower->received = 0;
        }
      break;
    }
  ask (follower, now);
}

void
ms_follower_tick (struct ms_follower *follower, uint64_t first_kept,
                  ms_time now)
{
  if (follower->wanted && now >= follower->next_want)
    fetch_elsewhere (follower, now);
  if (!follower->view->config || now < follower->next_copy)
    return;
  follower->next_copy
      = now + COPY_PERIOD
        + (ms_time)ms_random_below (follower->random, (uint64_t)COPY_PERIOD);
  if (ms_enabled (MS_CONFIG_COPY)
      && ms_log_expires_soon (follower->stored_at, first_kept,
                              follower->view->applied))
    copy_text (follower);
}
