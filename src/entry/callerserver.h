#pragma once

#include "connectionregistry.h"
#include "connectionstream.h"

#include "rattanrill/base/result.h"
#include "rattanrill/http/serversetup.h"

#include "absl/synchronization/notification.h"

#include <httplib.h>

#include <string>
#include <thread>

namespace rattanrill::entry {

/// HTTP server for callers. It replaces the connection loop of httplib, which aborts running
/// streams when the server stops, keeps idle connections open until their timeout, and does not let
/// handlers detect that the caller has disconnected.
class CallerServer : public httplib::Server
{
public:
    explicit CallerServer(http::ServerOptions options);
    ~CallerServer() override;

    /// Starts listening; port 0 selects a free port. Fails with AddressInUse.
    Result<void> start(const std::string &host, int port);
    int port() const { return m_port; }

    /// Makes the server announce in each response that it closes the connection. A connection whose
    /// last response did not announce this accepts one more request.
    void closeAfterResponses();
    /// Stops accepting connections; running requests continue.
    void closeListener();
    /// Waits for running requests, and shortly for those that may be on their way, and then closes
    /// the idle connections. Returns false when requests are still running after \a timeout.
    /// Requires closeListener().
    bool awaitRequests(absl::Duration timeout);
    /// Calls awaitRequests(), aborts the requests that are still running and ends all threads.
    /// Returns false when requests were aborted.
    bool finish(absl::Duration timeout);
    std::size_t busyConnections() const { return m_connections.busy(); }

    /// Connection that the calling thread serves; for use by handlers.
    static ConnectionStream &connection();
    /// Id of the request that the calling thread serves.
    static const std::string &requestId();

private:
    bool process_and_close_socket(socket_t socket) override;
    void serve(ConnectionStream &stream);
    /// Waits for a request on a connection whose last response was sent at \a idleSince, which is
    /// InfiniteFuture before the first request. Returns false when the connection must be closed.
    bool awaitRequest(ConnectionStream &stream, absl::Time idleSince);
    /// The same from awaitRequests() on.
    bool awaitLateRequest(ConnectionStream &stream, absl::Time idleSince);
    /// Returns false when the connection must be closed.
    bool serveOne(ConnectionStream &stream);
    /// Adds the headers that all responses have.
    void completeHeaders(httplib::Response &response) const;
    /// Responds with status 503, because the limit of connections is reached.
    void refuse(ConnectionStream &stream) const;

    http::ServerOptions m_options;
    ConnectionRegistry m_connections;
    std::thread m_thread;
    /// Notified when the listener is closed and all connections have ended.
    absl::Notification m_ended;
    int m_port = 0;
};

} // namespace rattanrill::entry
