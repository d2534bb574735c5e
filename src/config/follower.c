#include "config/follower.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/log.h"
#include "base/switches.h"
#include "base/metrics.h"
#include "view/send.h"

/* Largest text fetched from a peer; bounds what a peer's message makes this
   router allocate.  */
#define MAX_CONFIG_BYTES (16u << 20)

/* A request for a part is repeated after this time without an answer.  */
#define PART_RETRY_PERIOD (200 * MS_MSEC)

/* Shortest time between checks whether the text must be copied.  A random
   delay of up to the same time again is added, so that not all routers copy
   it at the same time.  */
#define COPY_CHECK_PERIOD (30 * MS_SEC)

struct ms_follower
{
  struct ms_view *view;
  const struct ms_sink *sink;
  struct ms_random *random;
  uint64_t stored_offset; /* Offset of the newest record read from the log
                             that holds the text in force.  While the text in
                             force came from a peer and no such record was
                             read, the offset is still that of an earlier
                             text's record, or 0.  */
  ms_time next_copy_check;

  /* The configuration being fetched from a peer.  */
  uint64_t fetch_generation; /* 0 if none is being fetched.  */
  uint64_t fetch_source;     /* Node that is asked for it.  */
  char *fetch_text;          /* NULL until the first part arrived.  */
  uint32_t fetch_total;      /* Bytes of the whole text.  */
  uint32_t fetch_received;   /* Bytes received, without gaps.  */
  ms_time next_part_request;
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
clear_fetch (struct ms_follower *follower)
{
  free (follower->fetch_text);
  follower->fetch_text = NULL;
  follower->fetch_generation = 0;
  follower->fetch_total = 0;
  follower->fetch_received = 0;
}

void
ms_follower_destroy (struct ms_follower *follower)
{
  if (!follower)
    return;
  clear_fetch (follower);
  free (follower);
}

static uint64_t
generation_in_force (const struct ms_follower *follower)
{
  return follower->view->config ? follower->view->config->generation : 0;
}

/* Parse TEXT and put it in force as GENERATION.  Return false, with a message
   logged, if it is refused.  */
static bool
apply_config (struct ms_follower *follower, struct ms_str text,
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
  if (follower->fetch_generation && follower->fetch_generation <= generation)
    clear_fetch (follower);
  return true;
}

/* The generation of a publication at log offset OFFSET.  Generations count
   from 1, so that 0 means that there is no configuration.  */
static uint64_t
generation_at (uint64_t offset)
{
  return offset + 1;
}

bool
ms_follower_apply_record (struct ms_follower *follower,
                          const struct ms_record *record, uint64_t offset,
                          ms_time now)
{
  struct ms_str text = { record->text, record->text_length };
  uint64_t current = generation_in_force (follower);
  /* A copy's record gives the generation of its text; a publication's gives
     the generation that it is based on.  */
  uint64_t generation = record->kind == MS_RECORD_CONFIG
                            ? generation_at (offset)
                            : record->generation;

  if (!record->text)
    return false;
  if (generation == current)
    {
      follower->stored_offset = offset;
      return false;
    }
  if (generation < current)
    return false;
  if (record->kind == MS_RECORD_CONFIG && record->generation != current
      && ms_enabled (MS_PUBLICATION_BASE))
    {
      ms_count (MS_M_CONFIG_REFUSED, 1);
      return false;
    }
  if (!apply_config (follower, text, generation, now))
    return false;
  follower->stored_offset = offset;
  return true;
}

void
ms_follower_send_part (struct ms_follower *follower,
                       const peer_message *message)
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
request_part (struct ms_follower *follower, ms_time now)
{
  peer_message message = { .body = { .kind = PEER_CONFIG_WANT } };

  message.body.peer_body_u.want
      = (peer_config_want){ follower->fetch_generation,
                            follower->fetch_received };
  follower->next_part_request = now + PART_RETRY_PERIOD;
  ms_view_send (follower->view, follower->sink, follower->fetch_source,
                &message);
}

void
ms_follower_note_generation (struct ms_follower *follower, uint64_t node,
                             uint64_t generation, ms_time now)
{
  if (!ms_enabled (MS_PEER_CONFIG)
      || generation <= generation_in_force (follower)
      || generation <= follower->fetch_generation)
    return;
  clear_fetch (follower);
  follower->fetch_generation = generation;
  follower->fetch_source = node;
  request_part (follower, now);
}

/* Allocate the text that PART belongs to, unless an earlier part did.  Return
   false if the text is empty or too long, or if PART contradicts the parts
   received.  The peer may have moved to a newer generation since it was
   asked: then the fetch starts over with that one.  */
static bool
prepare_fetch_text (struct ms_follower *follower, const peer_config_part *part)
{
  if (part->total == 0 || part->total > MAX_CONFIG_BYTES)
    return false;
  if (follower->fetch_text && part->generation == follower->fetch_generation)
    return part->total == follower->fetch_total;
  free (follower->fetch_text);
  follower->fetch_generation = part->generation;
  follower->fetch_text = ms_new (part->total);
  follower->fetch_total = part->total;
  follower->fetch_received = 0;
  return true;
}

bool
ms_follower_receive_part (struct ms_follower *follower,
                          const peer_message *message, ms_time now)
{
  const peer_config_part *part = &message->body.peer_body_u.part;
  struct ms_str text;
  bool changed;

  if (message->from != follower->fetch_source || !follower->fetch_generation
      || part->generation < follower->fetch_generation
      || !prepare_fetch_text (follower, part))
    return false;
  if (part->offset != follower->fetch_received
      || part->data.data_len
             > follower->fetch_total - follower->fetch_received)
    return false;
  memcpy (follower->fetch_text + follower->fetch_received, part->data.data_val,
          part->data.data_len);
  follower->fetch_received += part->data.data_len;
  if (follower->fetch_received < follower->fetch_total)
    {
      request_part (follower, now);
      return false;
    }
  text = (struct ms_str){ follower->fetch_text, follower->fetch_total };
  changed = part->generation > generation_in_force (follower)
            && apply_config (follower, text, part->generation, now);
  clear_fetch (follower);
  return changed;
}

/* Append the configuration in force to the log again.  */
static void
append_copy (struct ms_follower *follower)
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

/* Request the next part again, from a random member that has the generation;
   from the same peer if no other member is known to have it.  A change of peer
   starts the text over.  */
static void
retry_fetch (struct ms_follower *follower, ms_time now)
{
  struct ms_view *view = follower->view;
  unsigned start
      = (unsigned)ms_random_below (follower->random, view->members_count);

  for (unsigned i = 0; i < view->members_count; i++)
    {
      const struct ms_member *member
          = &view->members[(start + i) % view->members_count];

      if (member->id == view->self
          || member->generation < follower->fetch_generation)
        continue;
      if (member->id != follower->fetch_source)
        {
          follower->fetch_source = member->id;
          follower->fetch_received = 0;
        }
      break;
    }
  request_part (follower, now);
}

void
ms_follower_tick (struct ms_follower *follower, uint64_t first_kept,
                  ms_time now)
{
  if (follower->fetch_generation && now >= follower->next_part_request)
    retry_fetch (follower, now);
  if (!follower->view->config || now < follower->next_copy_check)
    return;
  follower->next_copy_check
      = now + COPY_CHECK_PERIOD
        + (ms_time)ms_random_below (follower->random,
                                    (uint64_t)COPY_CHECK_PERIOD);
  if (ms_enabled (MS_CONFIG_COPY)
      && ms_log_drops_soon (follower->stored_offset, first_kept,
                            follower->view->applied))
    append_copy (follower);
}
