#include "router/answer.h"

#include <stdio.h>
#include <string.h>

#include "http/status.h"

void
ms_answer_problem (struct mg_connection *connection, const char *request_id,
                   int code, enum ms_outcome outcome, const char *reason,
                   ms_time retry_after)
{
  char body[512];
  char value[24];
  int length
      = snprintf (body, sizeof body,
                  "{\"type\":\"about:blank\",\"title\":\"%s\",\"status\":%d,"
                  "\"outcome\":\"%s\",\"request_id\":\"%s\"}\n",
                  reason, code, ms_outcome_name (outcome), request_id);

  mg_response_header_start (connection, code);
  mg_response_header_add (connection, "Content-Type",
                          "application/problem+json", -1);
  mg_response_header_add (connection, "Monsoonspur-Outcome",
                          ms_outcome_name (outcome), -1);
  mg_response_header_add (connection, "Monsoonspur-Request-Id", request_id,
                          -1);
  if (retry_after)
    {
      snprintf (value, sizeof value, "%lld",
                (long long)((retry_after + MS_SEC - 1) / MS_SEC));
      mg_response_header_add (connection, "Retry-After", value, -1);
    }
  snprintf (value, sizeof value, "%d", length);
  mg_response_header_add (connection, "Content-Length", value, -1);
  mg_response_header_add (connection, "Connection", "close", -1);
  mg_response_header_send (connection);
  mg_write (connection, body, (size_t)length);
}

static void
send_response (struct mg_connection *connection,
               const struct ms_parsed_request *parsed,
               const struct ms_endpoint_response *response)
{
  char length[24];

  snprintf (length, sizeof length, "%zu", response->length);
  mg_response_header_start (connection, (int)response->code);
  if (*response->content_type)
    mg_response_header_add (connection, "Content-Type", response->content_type,
                            -1);
  mg_response_header_add (connection, "Monsoonspur-Outcome", "answered", -1);
  mg_response_header_add (connection, "Monsoonspur-Request-Id",
                          parsed->inbound.request_id, -1);
  mg_response_header_add (connection, "Content-Length", length, -1);
  mg_response_header_add (connection, "Connection", "close", -1);
  mg_response_header_send (connection);
  mg_write (connection, response->body, response->length);
}

/* End a forwarded stream with the last chunk and the outcome trailer.  A
   stream that broke off ends without them, so that the caller can tell.  */
static void
send_last_chunk (struct mg_connection *connection, const struct ms_call *call)
{
  static const char end[] = "0\r\nMonsoonspur-Outcome: answered\r\n\r\n";

  if (call->outcome == MS_ANSWERED)
    mg_write (connection, end, sizeof end - 1);
}

/* A request whose idempotency key was used before by one that was answered
   gets status 200 and a problem document, since there is no response to send
   again; if the earlier one was not answered, ms_http_status gives 409.  */
void
ms_answer_call (const struct ms_parsed_request *parsed,
                const struct ms_call *call,
                const struct ms_endpoint_response *response)
{
  struct mg_connection *connection = parsed->inbound.connection;

  if (response->streamed)
    send_last_chunk (connection, call);
  else if (call->outcome == MS_ANSWERED && call->reason == MS_REASON_REPEATED)
    ms_answer_problem (connection, parsed->inbound.request_id, 200,
                       MS_ANSWERED, "repeated", 0);
  else if (call->outcome == MS_ANSWERED)
    send_response (connection, parsed, response);
  else
    ms_answer_problem (connection, parsed->inbound.request_id,
                       (int)ms_http_status (call->outcome, call->reason),
                       call->outcome, ms_reason_name (call->reason),
                       call->retry_after);
}
