/* Parts of a configuration as PROTOCOL.md shows them.  */

#ifndef CONFIG_H
#define CONFIG_H

#define ROUTE_APP(name, prefix, kind, attempts)                               \
  "{\"name\":\"" name "\",\"hostname\":\"ficu95.example\",\"path_prefix\":"   \
  "\"" prefix "\",\"route_kind\":\"" kind                                     \
  "\",\"timeout_ms\":4000,\"target_latency_ms\":300,\"priority\":2,"          \
  "\"service\":\"wuno96b\",\"max_attempts\":" attempts ",\"public\":false,"   \
  "\"sticky\":false,\"resumable\":false}"

#define ROUTE_STREAM(name, prefix, resumable, attempts, timeout)              \
  "{\"name\":\"" name "\",\"hostname\":\"ficu95.example\",\"path_prefix\":"   \
  "\"" prefix "\",\"route_kind\":\"streaming\",\"timeout_ms\":" timeout       \
  ",\"target_latency_ms\":500,\"priority\":1,\"service\":\"huvo11a\","        \
  "\"max_attempts\":" attempts ",\"public\":false,\"sticky\":true,"           \
  "\"resumable\":" resumable ",\"gap_target_ms\":500}"

#ifndef STRIDE
#define STRIDE "6"
#endif

#define SERVICES                                                              \
  "\"services\":[{\"name\":\"huvo11a\",\"health_check_path\":\"/health\","    \
  "\"connection_limit\":630,\"protocol\":\"h1\",\"tls\":false,"               \
  "\"cold_start_s\":3.0,\"cold_per_s\":16.0,\"engine\":{\"slots\":128,"       \
  "\"kv_cache_tokens\":485994,\"kv_token_bytes\":18432,\"stride\":" STRIDE    \
  ","                                                                         \
  "\"models\":[{\"name\":\"m\"}]}},{\"name\":\"wuno96b\","                    \
  "\"health_check_path\":\"/health\",\"connection_limit\":110,"               \
  "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,"                   \
  "\"cold_per_s\":0.0}]"

#define LIMITS(header_bytes)                                                  \
  "\"limits\":{\"max_header_bytes\":" header_bytes                            \
  ",\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"                   \
  "\"idle_timeout_ms\":15000,\"tokens_per_s\":570000}"

#endif
