#include "configtool/published.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/log.h"
#include "config/follower.h"
#include "node/effect.h"
#include "backing/backing.h"

/* Time that a read at the end of the stream waits for a record.  */
#define READ_WAIT_MS 100

/* Number of times that the stream is read to its end until the appended record
   appears.  */
#define READ_BACK_TRIES 20

/* Reads the control stream from its start and applies only configurations,
   with the routers' own code.  */
struct reader
{
  struct ms_view *view;
  struct ms_follower *follower;
  struct ms_random random;
  uint64_t next; /* Offset of the next record to read.  */
};

static void
discard_effect (void *context, const struct ms_effect *effect)
{
  (void)context;
  (void)effect;
}

static const struct ms_sink no_effects = { discard_effect, NULL };

static void
reader_init (struct reader *reader)
{
  memset (reader, 0, sizeof *reader);
  /* The tool is no router: its identifiers are never used.  */
  reader->view = ms_view_create (1, 1, 1);
  reader->follower
      = ms_follower_create (reader->view, &no_effects, &reader->random);
}

static void
reader_destroy (struct reader *reader)
{
  ms_follower_destroy (reader->follower);
  ms_view_destroy (reader->view);
}

static void
apply_record (void *context, uint64_t offset, struct ms_str text)
{
  struct reader *reader = context;
  struct ms_record record;

  if (ms_record_parse (text, &record) != MS_OK)
    return;
  if (record.kind == MS_RECORD_CONFIG || record.kind == MS_RECORD_CONFIG_COPY)
    ms_follower_apply_record (reader->follower, &record, offset, 0);
  ms_record_clear (&record);
}

/* Read and apply all records from the reader's offset to the stream's end.  */
static enum ms_status
read_to_end (struct reader *reader, const struct ms_log_client *log)
{
  bool at_end = false;

  while (!at_end)
    {
      uint64_t first;
      enum ms_status status = log->read (
          log->context, ms_stream_names[MS_STREAM_CONTROL], reader->next,
          READ_WAIT_MS, apply_record, reader, &first, &reader->next, &at_end);

      if (status != MS_OK)
        return status;
    }
  return MS_OK;
}

static uint64_t
reader_generation (const struct reader *reader)
{
  return reader->view->config ? reader->view->config->generation : 0;
}

enum ms_status
ms_published_read (const char *log_url, struct ms_published *published)
{
  const struct ms_log_client log = ms_http_log_client (log_url);
  struct reader reader;
  enum ms_status status;

  memset (published, 0, sizeof *published);
  reader_init (&reader);
  status = read_to_end (&reader, &log);
  if (status == MS_OK && reader.view->config)
    {
      published->generation = reader_generation (&reader);
      published->length = reader.view->config->text_length;
      published->text = strdup (reader.view->config->text);
    }
  reader_destroy (&reader);
  return status;
}

void
ms_published_clear (struct ms_published *published)
{
  free (published->text);
  published->text = NULL;
}

enum ms_status
ms_publish (const char *log_url, const struct ms_config *config, uint64_t base,
            uint64_t *generation)
{
  const struct ms_log_client log = ms_http_log_client (log_url);
  struct ms_record record = { .kind = MS_RECORD_CONFIG,
                              .generation = base,
                              .text = config->text,
                              .text_length = config->text_length };
  char *text = ms_record_print (&record);
  struct reader reader;
  uint64_t offset = 0;
  enum ms_status status = log.append (
      log.context, ms_stream_names[MS_STREAM_CONTROL], text, &offset);

  free (text);
  if (status != MS_OK)
    return ms_fail (MS_UNAVAILABLE,
                    "the append was not confirmed; run diff to see whether "
                    "it took effect");
  *generation = offset + 1; /* As in config/follower.c.  */
  reader_init (&reader);
  for (int i = 0; i < READ_BACK_TRIES && reader.next <= offset; i++)
    status = read_to_end (&reader, &log);
  if (status != MS_OK || reader.next <= offset)
    status = ms_fail (MS_UNAVAILABLE, "the log could not be read back");
  else if (reader_generation (&reader) < *generation)
    status = ms_fail (MS_CONFLICT,
                      "another publication was first: generation %llu is in "
                      "force, this one is based on %llu",
                      (unsigned long long)reader_generation (&reader),
                      (unsigned long long)base);
  reader_destroy (&reader);
  return status;
}
