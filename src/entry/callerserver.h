#pragma once

#include "connectionregistry.h"
#include "connectionstream.h"

#include "rattanrill/base/result.h"
#include "rattanrill/http/serversetup.h"

#include <httplib.h>

#include <string>
#include <thread>

namespace rattanrill::entry {

/// HTTP server for callers. It serves each connection with a loop of its own instead of the
/// library's, because the library cuts running streams when it stops, keeps idle connections until
/// their timeout, and gives handlers no way to notice that the caller has gone.
class CallerServer : public httplib::Server
{
public:
    explicit CallerServer(http::ServerOptions options);
    ~CallerServer() override;

    /// Listens; port 0 takes a free one. Fails with AddressInUse.
    Result<void> start(const std::string &host, int port);
    int port() const { return m_port; }

    /// Answers from now on say that the connection will be closed.
    void announceEnd();
    /// Accepts no more connections; running requests go on.
    void closeListener();
    /// Waits for running requests, closes idle connections and ends all threads. Returns false
    /// when requests still ran after \a timeout; these are cut off.
    bool finish(absl::Duration timeout);
    std::size_t busyConnections() const { return m_connections.busy(); }

    /// Connection that the calling thread serves. For handlers.
    static ConnectionStream &connection();
    /// Id of the request that the calling thread serves.
    static const std::string &requestId();

private:
    bool process_and_close_socket(socket_t socket) override;
    void serve(ConnectionStream &stream);
    bool serveOne(ConnectionStream &stream);
    void refuse(ConnectionStream &stream) const;

    http::ServerOptions m_options;
    ConnectionRegistry m_connections;
    std::thread m_thread;
    int m_port = 0;
};

} // namespace rattanrill::entry
