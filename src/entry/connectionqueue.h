#pragma once

#include <httplib.h>

#include <atomic>
#include <cstddef>

namespace rattanrill::entry {

/// Threads for caller connections, one for each. Connections above the limit run on a few threads
/// of their own that only refuse; in the library's own pool they would wait without an answer.
class ConnectionQueue : public httplib::TaskQueue
{
public:
    explicit ConnectionQueue(std::size_t maxConnections);

    void enqueue(std::function<void()> task) override;
    void shutdown() override;

    /// Whether the calling thread is one that refuses its connection.
    static bool refusing();

private:
    std::size_t m_limit;
    std::atomic<std::size_t> m_active{0};
    httplib::ThreadPool m_serving;
    httplib::ThreadPool m_refusing;
};

} // namespace rattanrill::entry
