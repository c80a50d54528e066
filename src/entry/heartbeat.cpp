#include "heartbeat.h"

#include "rattanrill/base/logger.h"
#include "rattanrill/controlclient/controlclient.h"

namespace rattanrill::entry {

Heartbeat::Heartbeat(controlclient::ControlClient &control,
                     const directory::DirectorySubscriber &directory, TimerService &timers,
                     absl::Duration period)
    : m_control(control)
    , m_directory(directory)
    , m_timers(timers)
    , m_period(period)
{}

Heartbeat::~Heartbeat()
{
    stop();
}

void Heartbeat::start(wire::Member member)
{
    m_member = std::move(member);
    send();
    m_timer = m_timers.subscribeEvery(m_period, [this] { send(); });
}

void Heartbeat::leave()
{
    m_leaving = true;
    send();
}

void Heartbeat::stop()
{
    if (m_timer != 0)
        m_timers.unsubscribe(m_timer);
    m_timer = 0;
}

void Heartbeat::send()
{
    wire::HeartbeatRequest request;
    request.member = m_member;
    request.revisionInForce = m_directory.view()->revision();
    request.leaving = m_leaving;
    m_control.heartbeat(request, m_period, [](const Outcome<wire::HeartbeatResponse> &response) {
        if (!response.ok())
            log(LogLevel::Warning, "heartbeat-failed", {{"detail", describe(response.failure())}});
    });
}

} // namespace rattanrill::entry
