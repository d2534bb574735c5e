#include "config/yaml.h"

#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#define MESSAGE_BYTES 400

/* The parser's error messages, separated by "; ".  */
struct parser_log
{
  char text[MESSAGE_BYTES];
  size_t length;
};

/* Log callback of the parser: append its error messages to one line.  */
static void
collect_message (cyaml_log_t level, void *context, const char *format,
                 va_list args)
{
  struct parser_log *log = context;
  size_t space = sizeof log->text - log->length;
  int n;

  if (level < CYAML_LOG_ERROR || space < 3)
    return;
  n = vsnprintf (log->text + log->length, space, format, args);
  if (n < 0)
    return;
  log->length += (size_t)n < space ? (size_t)n : space - 1;
  while (log->length && log->text[log->length - 1] == '\n')
    log->length--;
  if (log->length + 3 < sizeof log->text)
    {
      log->text[log->length++] = ';';
      log->text[log->length++] = ' ';
    }
  log->text[log->length] = '\0';
}

static cyaml_config_t
parser_config (struct parser_log *log)
{
  return (cyaml_config_t){
    .log_fn = collect_message,
    .log_ctx = log,
    .mem_fn = cyaml_mem,
    .log_level = CYAML_LOG_ERROR,
    .flags = CYAML_CFG_DEFAULT,
  };
}

unsigned
ms_yaml_key_line (struct ms_str text, const char *key)
{
  size_t length = strlen (key);
  unsigned line = 1;

  for (size_t i = 0; i + length < text.length; i++)
    {
      bool key_begins = i == 0 || strchr ("\n {,-", text.data[i - 1]);

      if (key_begins && memcmp (text.data + i, key, length) == 0
          && text.data[i + length] == ':')
        return line;
      line += text.data[i] == '\n';
    }
  return 0;
}

/* Fail with the line of the unknown key that MESSAGES report, which is the
   first line of TEXT that has such a key; MS_OK if they report none.  The
   parser itself gives a position before that key.  */
static enum ms_status
fail_unknown_key (struct ms_str text, const char *origin, const char *messages)
{
  static const char prefix[] = "Unexpected key: ";
  const char *at = strstr (messages, prefix);
  char key[64];

  if (!at || sscanf (at + sizeof prefix - 1, "%63[^;\n]", key) != 1)
    return MS_OK;
  return ms_fail (MS_INVALID, "%s: line %u: %s: the key is not known", origin,
                  ms_yaml_key_line (text, key), key);
}

enum ms_status
ms_yaml_load (struct ms_str text, const char *origin,
              const cyaml_schema_value_t *schema, void **data)
{
  struct parser_log log = { 0 };
  cyaml_config_t config = parser_config (&log);
  cyaml_err_t err;

  *data = NULL;
  err = cyaml_load_data ((const uint8_t *)text.data, text.length, &config,
                         schema, data, NULL);
  if (err != CYAML_OK && fail_unknown_key (text, origin, log.text) != MS_OK)
    return MS_INVALID;
  if (err != CYAML_OK)
    return ms_fail (MS_INVALID, "%s: %s: %s", origin, cyaml_strerror (err),
                    log.text);
  if (!*data)
    return ms_fail (MS_INVALID, "%s: line 1: the document is empty", origin);
  return MS_OK;
}

void
ms_yaml_free (const cyaml_schema_value_t *schema, void *data)
{
  struct parser_log log = { 0 };
  cyaml_config_t config = parser_config (&log);

  cyaml_free (&config, schema, data, 0);
}

/* Whether TEXT contains WANTED at index AT.  */
static bool
matches_at (struct ms_str text, size_t at, const char *wanted)
{
  size_t length = strlen (wanted);

  return at + length <= text.length
         && memcmp (text.data + at, wanted, length) == 0;
}

/* Whether an unquoted value in TEXT ends before index AT.  */
static bool
value_ends (struct ms_str text, size_t at)
{
  return at >= text.length || strchr (",}] \r\n", text.data[at]);
}

unsigned
ms_yaml_line (struct ms_str text, const char *section, const char *key,
              const char *value)
{
  char wanted[160]; /* A longer pair is cut and then not found.  */
  bool in_section = !*section;
  unsigned line = 1;

  snprintf (wanted, sizeof wanted, "%s: %s", key, value);
  for (size_t i = 0; i < text.length; i++)
    {
      bool line_begins = i == 0 || text.data[i - 1] == '\n';

      in_section |= line_begins && matches_at (text, i, section);
      if (in_section && matches_at (text, i, wanted)
          && value_ends (text, i + strlen (wanted)))
        return line;
      line += text.data[i] == '\n';
    }
  return 0;
}
