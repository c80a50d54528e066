#pragma once

#include "rattanrill/base/failure.h"

#include "absl/time/time.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace httplib {
class Server;
struct Response;
} // namespace httplib

namespace rattanrill::http {

/// Limits and timeouts of an HTTP server.
struct ServerOptions
{
    /// Maximum number of concurrent connections. Each occupies a thread.
    std::size_t maxConnections = 256;
    std::size_t maxBodyBytes = 8u << 20;
    /// A client that neither sends nor receives data for this long is disconnected.
    absl::Duration ioTimeout = absl::Seconds(30);
    absl::Duration keepAliveTimeout = absl::Seconds(30);
};

/// Applies \a options to the thread pool, limits and timeouts of \a server. Also makes the
/// listening port exclusive, because by default the library lets two processes share a port.
void configureServer(httplib::Server &server, const ServerOptions &options);

/// Sends \a failure as the typed error body:
/// {"error":{"type","code","message","run","request_id"}}.
void sendFailure(httplib::Response &response, const Failure &failure, std::string_view requestId);

/// Returns the error body of sendFailure() as text, for server-sent events and batch results.
std::string errorBody(const Failure &failure, std::string_view requestId);

} // namespace rattanrill::http
