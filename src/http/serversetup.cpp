#include "rattanrill/http/serversetup.h"

#include "rattanrill/base/json.h"

#include <httplib.h>

#include <sys/socket.h>

namespace rattanrill::http {
namespace {

constexpr std::size_t keepAliveMaxRequests = 1000000;

/// Value of "type" in the error body. Client libraries select their error class by it.
std::string_view errorType(int status)
{
    if (status == 401)
        return "authentication_error";
    if (status == 429)
        return "rate_limit_error";
    return status < 500 ? "invalid_request_error" : "server_error";
}

} // namespace

void configureServer(httplib::Server &server, const ServerOptions &options)
{
    server.new_task_queue = [threads = options.maxConnections] {
        return new httplib::ThreadPool(threads);
    };
    server.set_payload_max_length(options.maxBodyBytes);
    server.set_read_timeout(static_cast<time_t>(absl::ToInt64Seconds(options.ioTimeout)));
    server.set_write_timeout(static_cast<time_t>(absl::ToInt64Seconds(options.ioTimeout)));
    server.set_keep_alive_timeout(
            static_cast<time_t>(absl::ToInt64Seconds(options.keepAliveTimeout)));
    server.set_keep_alive_max_count(keepAliveMaxRequests);
    server.set_tcp_nodelay(true);
    server.set_socket_options([](socket_t socket) {
        const int enabled = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    });
}

std::string errorBody(const Failure &failure, std::string_view requestId)
{
    const Json error = {
            {"type", errorType(httpStatus(failure.code))},
            {"code", name(failure.code)},
            {"message", describe(failure)},
            {"run", name(failure.effect)},
            {"request_id", requestId},
    };
    return dumpJson(Json{{"error", error}});
}

void sendFailure(httplib::Response &response, const Failure &failure, std::string_view requestId)
{
    response.status = httpStatus(failure.code);
    response.set_content(errorBody(failure, requestId), "application/json");
}

} // namespace rattanrill::http
