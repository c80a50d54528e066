#pragma once

#include "rattanrill/fakes/linkfaults.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace rattanrill::fakes {

/// IP address and port, such as 127.0.0.1 and 8080.
struct RelayAddress
{
    std::string host;
    int port = 0;
};

/// Counters of a TcpRelay since its start, except "open", which is the current number.
struct RelayCounters
{
    /// Connections for which a target was chosen.
    std::int64_t accepted = 0;
    /// Connections that were closed immediately because there was no valid target.
    std::int64_t refused = 0;
    /// Connections that are open now.
    std::int64_t open = 0;
    /// Bytes that were dropped by LinkMode::Drop.
    std::int64_t droppedBytes = 0;
};

/// Accepts TCP connections on one port and relays each to a target, which is chosen when the
/// connection arrives. Can simulate faults of the link. One thread serves all connections.
class TcpRelay
{
public:
    /// Returns the target of a new connection; when it returns nullopt, the connection is refused.
    /// Called on the relay's thread; must not block.
    using TargetSelector = std::function<std::optional<RelayAddress>()>;

    TcpRelay(RelayAddress listen, TargetSelector selectTarget);
    ~TcpRelay();
    TcpRelay(const TcpRelay &) = delete;
    TcpRelay &operator=(const TcpRelay &) = delete;

    /// Starts listening and returns the port. Fails with AddressInUse, or with InvalidArgument when
    /// the host to listen on is not an IP address.
    Result<int> start();
    /// Applies \a faults to open and later connections; returns when they have taken effect.
    void setFaults(const LinkFaults &faults);
    LinkFaults faults() const;
    RelayCounters counters() const;

private:
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace rattanrill::fakes
