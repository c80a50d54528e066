#pragma once

#include "rattanrill/peer/channel.h"

#include <memory>
#include <string>

namespace rattanrill::peer {

/// Holds one Channel per address and creates it on demand.
class ChannelPool
{
public:
    explicit ChannelPool(TransportOptions options);
    ~ChannelPool();

    /// Channel to \a address ("host:port"). It stays valid while the caller holds the pointer.
    std::shared_ptr<Channel> channel(const std::string &address);
    /// Closes and removes the channel of a process that has left the deployment.
    void remove(const std::string &address);
    /// Closes all channels.
    void close();

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

} // namespace rattanrill::peer
