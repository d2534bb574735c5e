#ifndef CONFIG_YAML_H
#define CONFIG_YAML_H

#include <monsoonspur/status.h>

#include <cyaml/cyaml.h>

#include "base/str.h"

/* Load TEXT by SCHEMA.  A failure's message names ORIGIN, line and field.  */
enum ms_status ms_yaml_load (struct ms_str text, const char *origin,
                             const cyaml_schema_value_t *schema, void **data);

/* Free what ms_yaml_load gave.  */
void ms_yaml_free (const cyaml_schema_value_t *schema, void *data);

/* Line of the first "KEY:" in TEXT that stands alone, from 1; 0 if absent.  */
unsigned ms_yaml_key_line (struct ms_str text, const char *key);

/* Line of the first "KEY: VALUE" in TEXT after the line that begins with
   SECTION, counted from 1; 0 if absent.  SECTION may be empty.  */
unsigned ms_yaml_line (struct ms_str text, const char *section,
                       const char *key, const char *value);

#endif
