#pragma once

#include "rattanrill/peer/channel.h"

#include <memory>
#include <string>

namespace rattanrill::peer {

/// One Channel per address, made on demand.
class ChannelPool
{
public:
    explicit ChannelPool(TransportOptions options);
    ~ChannelPool();

    /// Channel to \a address ("host:port"); stays valid while the caller holds it.
    std::shared_ptr<Channel> channel(const std::string &address);
    /// Closes and forgets the channel of a process that has left.
    void remove(const std::string &address);
    void close();

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

} // namespace rattanrill::peer
