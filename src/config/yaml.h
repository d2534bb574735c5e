#ifndef CONFIG_YAML_H
#define CONFIG_YAML_H

#include <monsoonspur/status.h>

#include <cyaml/cyaml.h>

#include "base/str.h"

/* Loading of YAML through libcyaml, and search in YAML text for the line of an
   error that is found only after loading.  */

/* Load TEXT according to SCHEMA and set *DATA, which ms_yaml_free frees.  On
   failure return MS_INVALID, with *DATA NULL and a message that names ORIGIN
   and, where known, the line and the field.  */
enum ms_status ms_yaml_load (struct ms_str text, const char *origin,
                             const cyaml_schema_value_t *schema, void **data);

/* Free DATA, which ms_yaml_load returned for the same SCHEMA.  */
void ms_yaml_free (const cyaml_schema_value_t *schema, void *data);

/* The line, counted from 1, of the first "KEY:" in TEXT where KEY is a whole
   key and not the end of a longer one; 0 if there is none.  */
unsigned ms_yaml_key_line (struct ms_str text, const char *key);

/* The line, counted from 1, of the first "KEY: VALUE" in TEXT at or after the
   first line that begins with SECTION; 0 if there is none.  An empty SECTION
   searches all of TEXT.  Unlike in ms_yaml_key_line, KEY may be the end of a
   longer key.  VALUE must be the whole value, unquoted in TEXT.  */
unsigned ms_yaml_line (struct ms_str text, const char *section,
                       const char *key, const char *value);

#endif
