#pragma once

#include "rattanrill/base/json.h"
#include "rattanrill/base/shutdownsignal.h"
#include "rattanrill/fakes/faults.h"
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
/// Reads the settings member "records".
RequestLogSettings recordSettings(const Json &settings);

/// HTTP server of the fakes. Listens on any free port when the configured port is 0, prints the
/// address to standard output, and replaces httplib's listen backlog of 5 by a larger one. With a
/// backlog of 5, SYNs are lost in a burst of connections, and the clients wait 1 s for the
/// retransmission.
class FakeHttpServer : public httplib::Server
{
public:
    explicit FakeHttpServer(const HttpSettings &settings);

    /// Binds the socket and returns the port. Fails with AddressInUse.
    Result<int> bind();
    /// Binds, prints \a startLine with "listening":"host:port" added, and serves until \a signal is
    /// received. Then terminates the process without waiting for open connections, because httplib
    /// would wait for idle ones up to the keep-alive timeout. Returns only when listening fails.
    int serveUntil(ShutdownSignal &signal, Json startLine = Json::object());

    /// Makes each response announce that the upstream leaves while \a faults says so.
    void announceLeaving(const Faults &faults);

private:
    HttpSettings m_settings;
};

/// Converts \a request, including its headers, to a record.
RequestRecord recordOf(const httplib::Request &request, std::string requestId);
/// Responds to "GET /records?after=N".
void sendRecords(const RequestLog &records, const httplib::Request &request,
                 httplib::Response &response);
void sendJson(httplib::Response &response, const Json &body);
/// Number in the query parameter \a key; 0 when there is none.
std::int64_t numberParam(const httplib::Request &request, const char *key);

} // namespace rattanrill::fakes
