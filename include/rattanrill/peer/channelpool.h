#pragma once

#include "rattanrill/peer/channel.h"

#include <memory>
#include <string>

namespace rattanrill::peer {

/// Holds one Channel for each address and creates it when it is first requested.
class ChannelPool
{
public:
    explicit ChannelPool(TransportOptions options);
    ~ChannelPool();

    /// Returns the channel to \a address ("host:port"). After remove() or close(), its calls fail
    /// with Stopped; the pointer stays valid.
    std::shared_ptr<Channel> channel(const std::string &address);
    /// Closes and removes the channel of a process that has left the deployment.
    void remove(const std::string &address);
    /// Closes all channels, including those that are requested later.
    void close();

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

} // namespace rattanrill::peer
