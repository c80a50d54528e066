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

struct ServerOptions
{
    /// Connections served at once; each holds a thread.
    std::size_t maxConnections = 256;
    std::size_t maxBodyBytes = 8u << 20;
    /// A client that sends or takes nothing for this long is disconnected.
    absl::Duration ioTimeout = absl::Seconds(30);
    absl::Duration keepAliveTimeout = absl::Seconds(30);
};

/// Applies \a options: thread pool, limits, timeouts, and an exclusive listening port (the
/// library's default lets two processes share one).
void configureServer(httplib::Server &server, const ServerOptions &options);

/// Answers with the typed error body: {"error":{"type","code","message","run","request_id"}}.
void sendFailure(httplib::Response &response, const Failure &failure, std::string_view requestId);

/// The same body as text, for server-sent events and batch results.
std::string failureBody(const Failure &failure, std::string_view requestId);

} // namespace rattanrill::http
