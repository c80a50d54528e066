#include "connectionstream.h"

#include "absl/time/clock.h"

#include <algorithm>
#include <array>

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace rattanrill::entry {
namespace {

constexpr std::size_t bufferBytes = 16u << 10;
/// Limits for the data that is discarded after the last response; a caller that sends more is
/// disconnected.
constexpr std::size_t maxDrainBytes = 64u << 20;
constexpr absl::Duration drainTimeout = absl::Seconds(2);

/// Waits for \a events; returns false on a timeout or error.
bool waitFor(int socket, short events, absl::Duration timeout)
{
    pollfd descriptor{socket, events, 0};
    const int result = poll(&descriptor, 1, static_cast<int>(absl::ToInt64Milliseconds(timeout)));
    return result > 0;
}

void describeAddress(const sockaddr_storage &address, std::string &ip, int &port)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.ss_family == AF_INET) {
        const auto *v4 = reinterpret_cast<const sockaddr_in *>(&address);
        inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
        port = ntohs(v4->sin_port);
    } else if (address.ss_family == AF_INET6) {
        const auto *v6 = reinterpret_cast<const sockaddr_in6 *>(&address);
        inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
        port = ntohs(v6->sin6_port);
    }
    ip = text.data();
}

} // namespace

ConnectionStream::ConnectionStream(int socket, absl::Duration ioTimeout)
    : m_socket(socket)
    , m_ioTimeout(ioTimeout)
{}

bool ConnectionStream::is_readable() const
{
    return m_position < m_buffer.size() || waitFor(m_socket, POLLIN, m_ioTimeout);
}

bool ConnectionStream::is_writable() const
{
    return waitFor(m_socket, POLLOUT, m_ioTimeout);
}

bool ConnectionStream::fill()
{
    if (!waitFor(m_socket, POLLIN, m_ioTimeout))
        return false;
    m_buffer.resize(bufferBytes);
    m_position = 0;
    const ssize_t size = recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
    m_buffer.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return size > 0;
}

ssize_t ConnectionStream::read(char *data, std::size_t size)
{
    if (m_position >= m_buffer.size() && !fill())
        return -1;
    const std::size_t taken = std::min(size, m_buffer.size() - m_position);
    std::memcpy(data, m_buffer.data() + m_position, taken);
    m_position += taken;
    return static_cast<ssize_t>(taken);
}

ssize_t ConnectionStream::write(const char *data, std::size_t size)
{
    if (!is_writable())
        return -1;
    return send(m_socket, data, size, MSG_NOSIGNAL);
}

void ConnectionStream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_storage address{};
    socklen_t length = sizeof(address);
    if (getpeername(m_socket, reinterpret_cast<sockaddr *>(&address), &length) == 0)
        describeAddress(address, ip, port);
}

void ConnectionStream::get_local_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_storage address{};
    socklen_t length = sizeof(address);
    if (getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &length) == 0)
        describeAddress(address, ip, port);
}

ConnectionStream::WaitResult ConnectionStream::waitForRequest(absl::Duration timeout, int event)
{
    if (m_position < m_buffer.size())
        return WaitResult::Request;
    // poll() ignores a negative file descriptor.
    std::array<pollfd, 2> descriptors{{{m_socket, POLLIN, 0}, {event, POLLIN, 0}}};
    const int ready = poll(descriptors.data(), descriptors.size(),
                           static_cast<int>(absl::ToInt64Milliseconds(timeout)));
    if (ready <= 0)
        return WaitResult::Ended;
    if (descriptors[0].revents == 0)
        return WaitResult::Interrupted;
    char byte = 0;
    const bool hasData = recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    return hasData ? WaitResult::Request : WaitResult::Ended;
}

bool ConnectionStream::callerDisconnected() const
{
    if (m_position < m_buffer.size())
        return false;
    char byte = 0;
    const ssize_t size = recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void ConnectionStream::drainAndClose()
{
    shutdown(m_socket, SHUT_WR);
    std::array<char, bufferBytes> discarded{};
    const absl::Time end = absl::Now() + drainTimeout;
    for (std::size_t total = 0; total < maxDrainBytes;) {
        const absl::Duration remaining = end - absl::Now();
        if (remaining <= absl::ZeroDuration() || !waitFor(m_socket, POLLIN, remaining))
            break;
        const ssize_t size = recv(m_socket, discarded.data(), discarded.size(), 0);
        if (size <= 0)
            break;
        total += static_cast<std::size_t>(size);
    }
    close(m_socket);
}

} // namespace rattanrill::entry
