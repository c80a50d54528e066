#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/base/timerservice.h"
#include "rattanrill/net/server.h"
#include "rattanrill/serving/shutdownstate.h"

#include <functional>
#include <memory>
#include <vector>

namespace rattanrill::gateway {

/// Brings the requests of a server to an end when its process stops. Ends open requests with a
/// response at the end of the requests, and waits until the responses have been sent and no request
/// is expected. Idle connections don't delay the end, and stay open until then: clients may send
/// requests on them for the time that was announced. Used on the event loop only.
class ServerDrain
{
public:
    /// Requests that were ended because no more time was left.
    using AbandonedRequests = std::vector<std::shared_ptr<net::Exchange>>;

    ServerDrain(TimerService &timers, const Clock &clock, net::Server &server,
                const serving::ShutdownState &shutdown);
    ~ServerDrain();
    ServerDrain(const ServerDrain &) = delete;
    ServerDrain &operator=(const ServerDrain &) = delete;

    /// Call once, when the shutdown has begun. Calls \a drained once, after the server has been
    /// stopped. The server serves requests as long as \a hasOtherWork returns true, if it is set:
    /// as long as the process runs, a client may expect a response.
    void start(std::function<void(const AbandonedRequests &)> drained,
               std::function<bool()> hasOtherWork = nullptr);

private:
    void check();
    bool isDrained();
    void endRequests();
    void finish();

    TimerService &m_timers;
    const Clock &m_clock;
    net::Server &m_server;
    const serving::ShutdownState &m_shutdown;
    AbandonedRequests m_abandoned;
    std::function<void(const AbandonedRequests &)> m_drained;
    std::function<bool()> m_hasOtherWork;
    TimerService::TimerId m_timer = 0;
};

} // namespace rattanrill::gateway
