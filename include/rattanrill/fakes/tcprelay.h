#pragma once

#include "rattanrill/fakes/linkfaults.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace rattanrill::fakes {

/// IP address and port, as in "127.0.0.1:8080".
struct RelayAddress
{
    std::string host;
    int port = 0;
};

struct RelayCounters
{
    std::int64_t accepted = 0;
    /// Closed at once because no target was chosen.
    std::int64_t refused = 0;
    std::int64_t open = 0;
    std::int64_t lostBytes = 0;
};

/// Accepts TCP connections on one port and relays each to a target that is chosen when it arrives.
/// One thread serves all connections.
class TcpRelay
{
public:
    /// Called on the relay's thread for each connection; nothing refuses it. Must not block.
    using Chooser = std::function<std::optional<RelayAddress>()>;

    TcpRelay(RelayAddress listen, Chooser chooser);
    ~TcpRelay();
    TcpRelay(const TcpRelay &) = delete;
    TcpRelay &operator=(const TcpRelay &) = delete;

    /// Listens; returns the port. Fails with AddressInUse or InvalidArgument.
    Result<int> start();
    /// Applies to open and later connections; returns when it has taken effect.
    void setFaults(const LinkFaults &faults);
    LinkFaults faults() const;
    RelayCounters counters() const;

private:
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace rattanrill::fakes
