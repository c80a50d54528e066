#pragma once

#include "websocket.h"

#include <cstdint>
#include <functional>
#include <random>
#include <thread>

namespace rattanrill::peer {

/// The single thread that runs all channels of a process. In a deployment of the target size, an
/// entry has about 340 channels with few messages each, so a thread for each channel would cost
/// more than it saves.
class NetworkThread
{
public:
    /// The instance is never destroyed, because a connection may briefly outlive the channel that
    /// created it.
    static NetworkThread &instance();

    void post(std::function<void()> task);
    bool isCurrent() const;
    boost::asio::io_service &service() { return m_service; }
    WebsocketClient &endpoint() { return m_endpoint; }
    /// Random number for the backoff. Call it on this thread only.
    std::uint32_t random() { return m_random(); }

private:
    NetworkThread();

    boost::asio::io_service m_service;
    boost::asio::io_service::work m_workGuard;
    WebsocketClient m_endpoint;
    std::mt19937 m_random{std::random_device()()};
    std::thread m_thread;
};

} // namespace rattanrill::peer
