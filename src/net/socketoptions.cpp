#include "socketoptions.h"

#include "rattanrill/base/freememory.h"

#include <boost/asio/buffer.hpp>

#include <cstddef>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace rattanrill::net {
namespace {

/// Largest buffer that a connection keeps for its next request.
constexpr std::size_t maxKeptBytes = 16 * 1024;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;
/// The connection is closed when sent data stays unacknowledged for this long.
constexpr int userTimeoutMs = 4000;

void setOption(int socket, int level, int option, int value)
{
    // Errors are ignored, because the timeouts of requests apply in any case; without an option,
    // the loss of a peer is only detected later.
    (void)setsockopt(socket, level, option, &value, sizeof(value));
}

} // namespace

void prepareSocket(boost::asio::ip::tcp::socket &socket, int keepAliveIdleSeconds)
{
    const int native = socket.native_handle();
    boost::system::error_code ignored;
    socket.non_blocking(true, ignored);
    setOption(native, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(native, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(native, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(native, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(native, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setOption(native, IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeoutMs);
}

boost::system::error_code sendAvailable(boost::asio::ip::tcp::socket &socket, std::string &output)
{
    boost::system::error_code error;
    std::size_t sent = 0;
    while (sent < output.size() && !error)
        sent += socket.write_some(boost::asio::buffer(output.data() + sent, output.size() - sent),
                                  error);
    output.erase(0, sent);
    // An idle connection must not keep the memory of a large request.
    if (output.empty() && output.capacity() > maxKeptBytes)
        freeMemory(output);
    return error;
}

} // namespace rattanrill::net
