#ifndef CONFIG_SCHEMA_H
#define CONFIG_SCHEMA_H

#include <cyaml/cyaml.h>

#include "config/config.h"

/* The libcyaml schema that maps YAML to struct ms_config.  It checks the
   structure and the types; ms_config_parse checks the values.  */
extern const cyaml_schema_value_t ms_config_schema;

#endif
