#pragma once

#include <event2/http.h>
#include <glib.h>

/** anvil_http_listen - makes an HTTP server listen on an IPv4 address in host order */
gboolean anvil_http_listen (struct evhttp *http, guint32 address, guint16 port, GError **error);
