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
/// Time after which data that was written has been passed to the network, so that it counts as
/// acknowledged if it is not unacknowledged.
constexpr absl::Duration sendTime = absl::Milliseconds(10);

/// Time since something was received at the latest.
absl::Duration receivedTime(const TcpInfo &info, const ConnectionTimes &times)
{
    absl::Duration result =
            std::min(times.sinceReceived, info.sinceReceived.value_or(absl::InfiniteDuration()));
    const bool isAcknowledged = !info.isUnacknowledged && !info.hasUnsentData;
    if (isAcknowledged && times.sinceWritten >= sendTime)
        result = std::min(result, times.sinceWritten);
    return result;
}

absl::Duration unacknowledgedTime(const TcpInfo &info, absl::Duration sinceReceived,
                                  absl::Duration sinceWritten)
{
    if (info.isUnacknowledged)
        return std::min(sinceReceived, sinceWritten);
    // With unsent data, probes ask for the window of a peer that receives, and not whether it
    // exists.
    if (info.isProbing && !info.hasUnsentData)
        return std::max(sinceReceived - absl::Seconds(upstreamKeepAliveIdleSeconds),
                        absl::ZeroDuration());
    return absl::ZeroDuration();
}

} // namespace

std::optional<TcpInfo> tcpInfoOf(int socket)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return std::nullopt;
    if (size < offsetof(tcp_info, tcpi_unacked) + sizeof(info.tcpi_unacked))
        return std::nullopt;
    TcpInfo result;
    result.isUnacknowledged = info.tcpi_unacked > 0;
    result.hasUnsentData = info.tcpi_notsent_bytes > 0;
    result.isProbing = info.tcpi_probes > 0;
    result.isConfirmed = info.tcpi_bytes_acked > handshakeBytes || info.tcpi_bytes_received > 0;
    // A system that measures no times reports zero.
    if (info.tcpi_last_ack_recv > 0 && info.tcpi_last_data_recv > 0)
        result.sinceReceived =
                absl::Milliseconds(std::min(info.tcpi_last_ack_recv, info.tcpi_last_data_recv));
    return result;
}

TcpState tcpStateOf(const TcpInfo &info, const ConnectionTimes &times)
{
    TcpState state;
    state.sinceReceived = receivedTime(info, times);
    state.unacknowledged = unacknowledgedTime(info, state.sinceReceived, times.sinceWritten);
    state.isConfirmed = info.isConfirmed || times.isConfirmed;
    return state;
}

} // namespace rattanrill::net
