#include "tcpinfo.h"

// The header of the C library lacks the later members of tcp_info and conflicts with this one.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstddef>

namespace rattanrill::net {
namespace {

/// The handshake counts as one acknowledged byte.
constexpr unsigned handshakeBytes = 1;

/// Time for which something has not been acknowledged, of a connection that received nothing for
/// \a sinceReceived.
absl::Duration unacknowledgedTime(const tcp_info &info, absl::Duration sinceReceived,
                                  absl::Duration sinceWritten)
{
    if (info.tcpi_unacked > 0)
        return std::min(sinceReceived, sinceWritten);
    // With unsent data, probes ask for the window of a peer that receives, and not whether it
    // exists.
    if (info.tcpi_probes > 0 && info.tcpi_notsent_bytes == 0)
        return std::max(sinceReceived - absl::Seconds(keepAliveIdleSeconds), absl::ZeroDuration());
    return absl::ZeroDuration();
}

} // namespace

std::optional<TcpState> tcpStateOf(int socket, absl::Duration sinceWritten)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return std::nullopt;
    if (size < offsetof(tcp_info, tcpi_notsent_bytes) + sizeof(info.tcpi_notsent_bytes))
        return std::nullopt;
    TcpState state;
    state.sinceReceived =
            absl::Milliseconds(std::min(info.tcpi_last_ack_recv, info.tcpi_last_data_recv));
    state.unacknowledged = unacknowledgedTime(info, state.sinceReceived, sinceWritten);
    state.isConfirmed = info.tcpi_bytes_acked > handshakeBytes || info.tcpi_bytes_received > 0;
    return state;
}

} // namespace rattanrill::net
