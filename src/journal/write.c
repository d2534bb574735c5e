#include <inttypes.h>

#include "journal/journal.h"
#include "rpc/codec.h"

#define PRINT_ID "%016" PRIx64

void
ms_journal_begin (FILE *file, const struct ms_node_options *options)
{
  fprintf (file, "router %s %s %s %s %" PRIu64 " %" PRIu64 "\n", options->name,
           options->zone, options->peer_address, options->caller_address,
           options->incarnation, options->random_seed);
}

static void
write_message (FILE *file, const peer_message *message)
{
  char data[MS_MESSAGE_BYTES];
  unsigned length = ms_message_encode (message, data, sizeof data);

  for (unsigned i = 0; i < length; i++)
    fprintf (file, "%02x", (unsigned char)data[i]);
}

static void
write_arrival (FILE *file, const struct ms_arrival *a)
{
  fprintf (file,
           "arrive %" PRIu64 " " PRINT_ID " " PRINT_ID " %d %d " PRINT_ID
           " " PRINT_ID " %u %" PRId64,
           a->request, a->team, a->service, (int)a->lane, a->idempotent,
           a->key, a->fingerprint, a->hint, a->deadline);
}

/* An empty address is written as "-", since fields are separated by spaces. */
static void
write_endpoints (FILE *file, const struct ms_event *event)
{
  fprintf (file, "endpoints %u", event->endpoints.count);
  for (unsigned i = 0; i < event->endpoints.count; i++)
    {
      const struct ms_endpoint *e = &event->endpoints.list[i];

      fprintf (file, " %s " PRINT_ID " " PRINT_ID " %d %s", e->name.data,
               e->service, e->zone, e->leaving,
               *e->address ? e->address : "-");
    }
}

void
ms_journal_event (FILE *file, const struct ms_event *event, ms_time now)
{
  const struct ms_attempt_end *end = &event->attempt_end;

  fprintf (file, "%" PRId64 " ", now);
  switch (event->kind)
    {
    case MS_EVENT_TICK:
      fputs ("tick", file);
      break;
    case MS_EVENT_ARRIVE:
      write_arrival (file, &event->arrive);
      break;
    case MS_EVENT_CALLER_GONE:
      fprintf (file, "gone %" PRIu64, event->caller_gone);
      break;
    case MS_EVENT_PROGRESS:
      fprintf (file, "progress %" PRIu64 " %u", event->progress.request,
               event->progress.cost);
      break;
    case MS_EVENT_ATTEMPT_END:
      fprintf (file, "end %" PRIu64 " %u %d %d %u %" PRId64, end->request,
               end->attempt, (int)end->result, end->sent_to_caller, end->cost,
               end->duration);
      break;
    case MS_EVENT_PEER:
      fputs ("peer ", file);
      write_message (file, event->peer);
      break;
    case MS_EVENT_LOG_RECORD:
      fprintf (file, "record %d %" PRIu64 " %.*s",
               (int)event->log_record.stream, event->log_record.offset,
               (int)event->log_record.text.length,
               event->log_record.text.data);
      break;
    case MS_EVENT_LOG_READ:
      fprintf (file, "read %d %" PRId64 " %" PRIu64 " %d",
               (int)event->log_read.stream, event->log_read.sent_at,
               event->log_read.first_kept, event->log_read.at_end);
      break;
    case MS_EVENT_APPEND_FAILED:
      fprintf (file, "append_failed %d %" PRIu64,
               (int)event->append_failed.stream, event->append_failed.tag);
      break;
    case MS_EVENT_ENDPOINTS:
      write_endpoints (file, event);
      break;
    case MS_EVENT_LOAD:
      fprintf (file, "load " PRINT_ID " %" PRIu64 " %u", event->load.endpoint,
               event->load.start_id, event->load.running);
      break;
    case MS_EVENT_DRAIN:
      fputs ("drain", file);
      break;
    }
  fputc ('\n', file);
}

void
ms_journal_effect (FILE *file, const struct ms_effect *effect)
{
  switch (effect->kind)
    {
    case MS_EFFECT_SEND:
      fprintf (file, "= send %s ", effect->send.address);
      write_message (file, effect->send.message);
      break;
    case MS_EFFECT_APPEND:
      fprintf (file, "= append %d %" PRIu64 " %s", (int)effect->append.stream,
               effect->append.tag, effect->append.text);
      break;
    case MS_EFFECT_START:
      fprintf (file, "= start %" PRIu64 " %u " PRINT_ID " %s %" PRId64,
               effect->start.request, effect->start.attempt,
               effect->start.endpoint, effect->start.address,
               effect->start.start_by);
      break;
    case MS_EFFECT_CANCEL:
      fprintf (file, "= cancel %" PRIu64 " %u", effect->cancel.request,
               effect->cancel.attempt);
      break;
    case MS_EFFECT_ANSWER:
      fprintf (file, "= answer %" PRIu64 " %s %s %" PRId64 " " PRINT_ID,
               effect->answer.request,
               ms_outcome_name (effect->answer.outcome),
               ms_reason_name (effect->answer.reason),
               effect->answer.retry_after, effect->answer.endpoint);
      break;
    case MS_EFFECT_DRAINED:
      fputs ("= drained", file);
      break;
    }
  fputc ('\n', file);
}
