#ifndef CONFIG_SCHEMA_H
#define CONFIG_SCHEMA_H

#include <cyaml/cyaml.h>

#include "config/config.h"

/* Describes the YAML form of struct ms_config.  */
extern const cyaml_schema_value_t ms_config_schema;

#endif
