#include "gateway/stream_log.h"

#include <stdlib.h>

#include "base/address.h"
#include "base/alloc.h"
#include "base/event.h"
#include "gateway/exchange.h"
#include "platform.h"

/* Time between two records of a zone: what began since the last one is lost if
   all routers are killed.  */
#define WRITE_PERIOD (100 * MS_MSEC)

/* Delay after a failed call, and time limit of a call.  */
#define RETRY_DELAY (500 * MS_MSEC)
#define CALL_TIMEOUT (1500 * MS_MSEC)

/* Most streams of one record, and space for it with its own head.  */
#define MAX_STREAMS 512
#define MAX_RECORD_BYTES (MAX_STREAMS * MS_STREAM_STORED_BYTES + 64)

struct ms_stream_log
{
  struct ms_gateway *gw;
  struct ms_exchange *exchange;
  struct sockaddr_in store;
  char path[256];
  bool read;         /* The log was read to its end.  */
  uint64_t from;     /* Offset of the next read.  */
  unsigned found;    /* Streams that were read.  */
  ms_time next_call; /* No call starts before this time.  */
  /* A record that is not known to be written; its length is 0 if there is
     none.  */
  char record[MAX_RECORD_BYTES];
  size_t length;
};

static void
learn_record (void *context, const struct plat_record *record)
{
  struct ms_stream_log *log = context;

  log->found += ms_streams_load (log->gw->streams, record->value.data,
                                 record->value.length, log->gw->now);
}

static void
on_read (void *context, enum ms_status status, unsigned code,
         struct ms_str body, ms_time sent_at)
{
  struct ms_stream_log *log = context;
  ms_time now = log->gw->now;
  uint64_t next;
  uint64_t end;

  (void)sent_at;
  log->next_call = now;
  /* Nothing was written yet.  */
  if (status == MS_OK && code == 404)
    {
      log->read = true;
      return;
    }
  if (status == MS_OK && code == 410 && plat_decode_first (body, &log->from))
    return;
  if (status != MS_OK || code != 200
      || plat_decode_read (body, log->from, learn_record, log, &next, &end)
             != MS_OK)
    {
      ms_event (now, "streams_unread", "code=%u", code);
      log->next_call = now + RETRY_DELAY;
      return;
    }
  /* At the end, or before a record that is larger than a read.  */
  log->read = next >= end || next == log->from;
  log->from = next;
  if (log->read)
    ms_event (now, "streams_read", "streams=%u", log->found);
}

static void
on_written (void *context, enum ms_status status, unsigned code,
            struct ms_str body, ms_time sent_at)
{
  struct ms_stream_log *log = context;

  (void)body;
  (void)sent_at;
  /* Writing the record twice has the same effect as once.  */
  if (status == MS_OK && code == 200)
    {
      log->length = 0;
      return;
    }
  ms_event (log->gw->now, "streams_unwritten", "code=%u", code);
  log->next_call = log->gw->now + RETRY_DELAY;
}

static void
read_log (struct ms_stream_log *log)
{
  plat_read_path (log->path, sizeof log->path, PLAT_TOPIC_STREAMS, log->from,
                  0);
  ms_exchange_call (log->exchange, &log->store, "GET", log->path,
                    (struct ms_str){ "", 0 }, CALL_TIMEOUT, on_read, log);
}

/* Fill LOG's record with the streams that are to be written, if there is
   none.  Return whether there is one.  */
static bool
fill_record (struct ms_stream_log *log, ms_time now)
{
  struct ms_stream_report list[MAX_STREAMS];
  char data[MAX_STREAMS * MS_STREAM_STORED_BYTES];
  unsigned count;

  if (log->length)
    return true;
  count = ms_streams_take_unstored (log->gw->streams, list, MAX_STREAMS, now);
  if (!count)
    return false;
  log->length = plat_encode_record (
      log->record, sizeof log->record, ms_str (""),
      (struct ms_str){ data, ms_streams_encode (list, count, data) });
  return true;
}

void
ms_stream_log_tick (struct ms_stream_log *log, ms_time now)
{
  struct ms_gateway *gw = log->gw;

  if (now < log->next_call || ms_exchange_busy (log->exchange)
      || !ms_streams_mixed (gw->streams, now))
    return;
  if (!log->read)
    {
      read_log (log);
      return;
    }
  log->next_call = now + WRITE_PERIOD;
  if (!ms_fleet_reads_store (gw->fleet, now) || !fill_record (log, now))
    return;
  plat_append_path (log->path, sizeof log->path, PLAT_TOPIC_STREAMS);
  ms_exchange_call (log->exchange, &log->store, "POST", log->path,
                    (struct ms_str){ log->record, log->length }, CALL_TIMEOUT,
                    on_written, log);
}

struct ms_stream_log *
ms_stream_log_create (struct ms_gateway *gw)
{
  struct ms_stream_log *log = ms_new (sizeof *log);

  log->gw = gw;
  /* Cannot fail: the settings were checked for a valid address.  */
  ms_address_parse (gw->settings->store_address, &log->store);
  log->exchange = ms_exchange_create (&gw->loop, &gw->clock);
  return log;
}

void
ms_stream_log_destroy (struct ms_stream_log *log)
{
  if (!log)
    return;
  ms_exchange_destroy (log->exchange);
  free (log);
}
