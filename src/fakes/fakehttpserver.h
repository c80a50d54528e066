#pragma once

#include "rattanrill/base/json.h"
#include "rattanrill/base/shutdownsignal.h"
#include "rattanrill/fakes/requestlog.h"

#include <httplib.h>

#include <string>

namespace rattanrill::fakes {

/// Address and limits of a fake's HTTP interface, from the settings members "http" and "limits".
struct HttpSettings
{
    std::string host;
    int port = 0;
    std::size_t maxConnections = 128;
};

HttpSettings httpSettings(const Json &settings);
/// From the settings member "records".
RequestLogSettings recordSettings(const Json &settings);

/// httplib's server with what all fakes need: a free port on request, a line on standard output
/// that names it, and the library's listen backlog of 5 made larger. With 5, a burst of
/// connections loses SYNs and waits 1 s for their retransmission.
class FakeHttpServer : public httplib::Server
{
public:
    explicit FakeHttpServer(const HttpSettings &settings);

    /// Binds; returns the port. Fails with AddressInUse.
    Result<int> bind();
    /// Binds, prints \a startLine with "listening":"host:port" added, and serves until \a signal
    /// comes; then ends the process without waiting for connections, because httplib waits up to
    /// the keep-alive timeout for idle ones. Returns only when it cannot listen.
    int serveUntil(ShutdownSignal &signal, Json startLine = Json::object());

private:
    HttpSettings m_settings;
};

/// The request as a record, headers included.
RequestRecord recordOf(const httplib::Request &request, std::string requestId);
/// Answers "GET /records?after=N".
void sendRecords(const RequestLog &records, const httplib::Request &request,
                 httplib::Response &response);
void sendJson(httplib::Response &response, const Json &body);
/// Number in the query parameter \a key; 0 when there is none.
std::int64_t numberParam(const httplib::Request &request, const char *key);

} // namespace rattanrill::fakes
