#include "rattanrill/gateway/serverdrain.h"

#include <utility>

namespace rattanrill::gateway {
namespace {

constexpr absl::Duration checkPeriod = absl::Milliseconds(50);

} // namespace

ServerDrain::ServerDrain(TimerService &timers, const Clock &clock, net::Server &server,
                         const serving::ShutdownState &shutdown)
    : m_timers(timers)
    , m_clock(clock)
    , m_server(server)
    , m_shutdown(shutdown)
{}

ServerDrain::~ServerDrain()
{
    if (m_timer != 0)
        m_timers.unsubscribe(m_timer);
}

void ServerDrain::start(std::function<void(const AbandonedRequests &)> drained,
                        std::function<bool()> hasOtherWork)
{
    m_drained = std::move(drained);
    m_hasOtherWork = std::move(hasOtherWork);
    m_server.drain();
    m_timer = m_timers.subscribeEvery(checkPeriod, [this] { check(); });
}

void ServerDrain::check()
{
    const absl::Time now = m_clock.now();
    if (now < m_shutdown.admissionEnd())
        return;
    m_server.acceptPendingConnections();
    if (now >= m_shutdown.requestsEnd())
        endRequests();
    if (isDrained() || now >= m_shutdown.responsesEnd())
        finish();
}

/// Closes the idle connections when all others have ended. Each is checked for a request once more
/// before it is closed.
bool ServerDrain::isDrained()
{
    if (m_server.hasActiveConnections() || (m_hasOtherWork && m_hasOtherWork()))
        return false;
    m_server.closeIdleConnections();
    return !m_server.hasActiveConnections();
}

void ServerDrain::endRequests()
{
    for (auto &exchange : m_server.openExchanges())
        m_abandoned.push_back(std::move(exchange));
    m_server.endRequests();
}

void ServerDrain::finish()
{
    m_timers.unsubscribe(std::exchange(m_timer, 0));
    m_server.stop();
    std::exchange(m_drained, nullptr)(m_abandoned);
}

} // namespace rattanrill::gateway
