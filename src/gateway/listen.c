#include "base/event.h"
#include "gateway/caller.h"
#include "gateway/gateway.h"

static void
on_listener_closed (uv_handle_t *handle)
{
  struct ms_gateway *gw = handle->data;

  gw->listener_closing = false;
}

void
ms_gateway_listen (struct ms_gateway *gw)
{
  gw->caller_listener.data = gw;
  gw->listening
      = ms_socket_listen (&gw->loop, &gw->caller_listener, &gw->caller_address,
                          MS_BACKLOG, ms_callers_accept)
        == MS_OK;
  if (gw->listening)
    return;
  ms_event (gw->now, "listen_failed", "error=\"%s\"", ms_last_message ());
  /* The handle can be used again only after its close callback; until then
     listener_closing is set.  */
  gw->listener_closing = true;
  uv_close ((uv_handle_t *)&gw->caller_listener, on_listener_closed);
}

void
ms_gateway_stop_listening (struct ms_gateway *gw)
{
  if (!gw->listening)
    return;
  ms_callers_accept_waiting (gw);
  gw->listening = false;
  gw->listener_closing = true;
  uv_close ((uv_handle_t *)&gw->caller_listener, on_listener_closed);
}

void
ms_gateway_check_pressure (struct ms_gateway *gw)
{
  bool was_high = ms_pressure_high (gw->pressure);
  bool refuse;

  ms_pressure_tick (gw->pressure, gw->now, MS_TICK_MS * MS_MSEC,
                    (ms_time)(uv_metrics_idle_time (&gw->loop) / 1000));
  refuse = ms_pressure_shut (gw->pressure);
  if (ms_pressure_high (gw->pressure) != was_high)
    ms_event (gw->now, "pressure", "high=%d busy=%.2f requests=%u sockets=%u",
              !was_high, ms_pressure_busy (gw->pressure), gw->requests_count,
              ms_socket_open_count ());
  if (refuse && gw->listening)
    {
      ms_event (gw->now, "shut", "requests=%u sockets=%u", gw->requests_count,
                ms_socket_open_count ());
      ms_gateway_stop_listening (gw);
    }
  else if (!refuse && !gw->listening && !gw->listener_closing && !gw->ending)
    ms_gateway_listen (gw);
}
