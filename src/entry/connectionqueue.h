#pragma once

#include <httplib.h>

#include <atomic>
#include <cstddef>

namespace rattanrill::entry {

/// Thread pool with one thread for each caller connection. Connections above the limit are passed
/// to a small second pool that only refuses them; in httplib's own pool they would wait without a
/// response.
class ConnectionQueue : public httplib::TaskQueue
{
public:
    explicit ConnectionQueue(std::size_t maxConnections);

    void enqueue(std::function<void()> task) override;
    void shutdown() override;

    /// Whether the calling thread belongs to the pool that refuses connections.
    static bool refusing();

private:
    std::size_t m_limit;
    std::atomic<std::size_t> m_active{0};
    httplib::ThreadPool m_serving;
    httplib::ThreadPool m_refusing;
};

} // namespace rattanrill::entry
