#include "rattanrill/fakes/servicemodel.h"

#include <utility>

namespace rattanrill::fakes {

ServiceModel::ServiceModel(ServiceSettings settings, Faults &faults, const Clock &clock)
    : m_settings(std::move(settings))
    , m_faults(faults)
    , m_clock(clock)
    , m_history(m_settings.loadReportLag)
{}

Result<ServiceResponse> ServiceModel::serve(ServiceResponse response,
                                            const std::function<void()> &started)
{
    absl::MutexLock lock(&m_mutex);
    const std::int64_t ticket = m_nextTicket;
    BOOST_LEAF_CHECK(acquireSlot(ticket));
    m_running[ticket] = &response;
    recordLoad();
    started();
    swapAnswers();
    waitServiceTime();
    m_running.erase(ticket);
    recordLoad();
    m_changed.SignalAll();
    return response;
}

LoadSample ServiceModel::load() const
{
    absl::MutexLock lock(&m_mutex);
    return m_history.report(m_clock.now());
}

Result<void> ServiceModel::acquireSlot(std::int64_t ticket)
{
    if (m_nextTicket - m_admittedTickets >= m_settings.maxWaiting)
        return fail(notRun(ErrorCode::UpstreamBusy, "queue is full"));
    ++m_nextTicket;
    recordLoad();
    while (m_admittedTickets != ticket
           || static_cast<std::int64_t>(m_running.size()) >= m_settings.capacity)
        m_changed.Wait(&m_mutex);
    ++m_admittedTickets;
    m_changed.SignalAll();
    return {};
}

void ServiceModel::waitServiceTime()
{
    const absl::Time end = m_clock.now() + m_faults.state().slowFactor * m_settings.serviceTime;
    for (absl::Duration left = end - m_clock.now(); left > absl::ZeroDuration();
         left = end - m_clock.now())
        m_changed.WaitWithTimeout(&m_mutex, left);
}

void ServiceModel::swapAnswers()
{
    if (m_running.size() < 2 || !m_faults.consumeAnswerSwap())
        return;
    std::swap(*m_running.begin()->second, *m_running.rbegin()->second);
}

void ServiceModel::recordLoad()
{
    m_history.record(m_clock.now(), {static_cast<std::int64_t>(m_running.size()),
                                     m_nextTicket - m_admittedTickets, 0});
}

} // namespace rattanrill::fakes
