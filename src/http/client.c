#include "base/alloc.h"
#include "http/client.h"
#include "http/head.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

/* An exchange whose reply body exceeds this fails.  */
#define MAX_REPLY_BYTES (64u << 20)

/* curl's write callback; a result other than the length ends the transfer.  */
static size_t
append_body (char *data, size_t size, size_t count, void *context)
{
  struct ms_reply *reply = context;
  size_t length = size * count;

  if (length > MAX_REPLY_BYTES - reply->length)
    return 0;
  reply->body = ms_resize (reply->body, reply->length + length + 1, 1);
  memcpy (reply->body + reply->length, data, length);
  reply->length += length;
  reply->body[reply->length] = '\0';
  return length;
}

/* curl's header callback; a result other than the length ends the transfer. */
static size_t
check_head (char *line, size_t size, size_t count, void *context)
{
  size_t length = size * count;

  return ms_head_check_line (context, (struct ms_str){ line, length }) ? length
                                                                       : 0;
}

/* CURLOPT_NOSIGNAL keeps curl's timeouts from using SIGALRM, which is not
   safe with threads; the empty proxy overrides the environment's.  */
static void
set_options (CURL *curl, const char *method, const char *url, const char *body,
             long timeout_ms, struct ms_reply *reply)
{
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, timeout_ms);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, reply);
  if (body)
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE, (long)strlen (body));
    }
}

static enum ms_status
perform (CURL *curl, const char *method, const char *url,
         struct ms_reply *reply)
{
  struct ms_head_check head = { 0 };
  CURLcode code;

  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, check_head);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, &head);
  code = curl_easy_perform (curl);
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &reply->code);
  if (code == CURLE_OK && head.whole)
    return MS_OK;
  ms_reply_clear (reply);
  return ms_fail (MS_UNAVAILABLE, "%s %s: %s", method, url,
                  code == CURLE_OK ? "the head of the reply is cut off"
                                   : curl_easy_strerror (code));
}

/* Clear REPLY and create a curl handle that sends the request and stores the
   body of the answer in REPLY.  */
static CURL *
create_exchange (const char *method, const char *url, const char *body,
                 long timeout_ms, struct ms_reply *reply)
{
  CURL *curl = curl_easy_init ();

  if (!curl)
    abort ();
  memset (reply, 0, sizeof *reply);
  set_options (curl, method, url, body, timeout_ms, reply);
  return curl;
}

enum ms_status
ms_http_exchange (const char *method, const char *url, const char *body,
                  long timeout_ms, struct ms_reply *reply)
{
  CURL *curl = create_exchange (method, url, body, timeout_ms, reply);
  enum ms_status status = perform (curl, method, url, reply);

  curl_easy_cleanup (curl);
  return status;
}

enum ms_status
ms_http_exchange_with_key (const char *method, const char *url,
                           const char *key, long timeout_ms,
                           struct ms_reply *reply)
{
  CURL *curl = create_exchange (method, url, NULL, timeout_ms, reply);
  enum ms_status status;

  if (key)
    {
      curl_easy_setopt (curl, CURLOPT_HTTPAUTH, (long)CURLAUTH_BEARER);
      curl_easy_setopt (curl, CURLOPT_XOAUTH2_BEARER, key);
    }
  status = perform (curl, method, url, reply);
  curl_easy_cleanup (curl);
  return status;
}

void
ms_reply_clear (struct ms_reply *reply)
{
  free (reply->body);
  reply->body = NULL;
  reply->length = 0;
}
