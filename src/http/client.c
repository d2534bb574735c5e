#include "http/client.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#define MAX_REPLY_BYTES (64u << 20)

static size_t
collect (char *data, size_t size, size_t count, void *context)
{
  struct ms_reply *reply = context;
  size_t length = size * count;
  char *grown;

  if (length > MAX_REPLY_BYTES - reply->length)
    return 0;
  grown = realloc (reply->body, reply->length + length + 1);
  if (!grown)
    abort ();
  reply->body = grown;
  memcpy (reply->body + reply->length, data, length);
  reply->length += length;
  reply->body[reply->length] = '\0';
  return length;
}

static void
set_options (CURL *curl, const char *method, const char *url, const char *body,
             long timeout_ms, struct ms_reply *reply)
{
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, timeout_ms);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, collect);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, reply);
  if (body)
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE, (long)strlen (body));
    }
}

enum ms_status
ms_http_exchange (const char *method, const char *url, const char *body,
                  long timeout_ms, struct ms_reply *reply)
{
  CURL *curl = curl_easy_init ();
  CURLcode code;

  memset (reply, 0, sizeof *reply);
  if (!curl)
    abort ();
  set_options (curl, method, url, body, timeout_ms, reply);
  code = curl_easy_perform (curl);
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &reply->code);
  curl_easy_cleanup (curl);
  if (code == CURLE_OK)
    return MS_OK;
  ms_reply_clear (reply);
  return ms_fail (MS_UNAVAILABLE, "%s %s: %s", method, url,
                  curl_easy_strerror (code));
}

void
ms_reply_clear (struct ms_reply *reply)
{
  free (reply->body);
  reply->body = NULL;
  reply->length = 0;
}
