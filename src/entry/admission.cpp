#include "admission.h"

#include "rattanrill/base/concat.h"

#include "absl/synchronization/notification.h"

namespace rattanrill::entry {

Admission::Admission(const KeyAuthenticator &keys, RateAdmission &rate)
    : m_keys(keys)
    , m_rate(rate)
{}

std::optional<Caller> Admission::authenticate(Exchange &exchange) const
{
    const Outcome<Caller> caller = m_keys.authenticate(exchange.header("Authorization"));
    if (caller.ok()) {
        exchange.labels().workspace = caller.value().workspace;
        return caller.value();
    }
    exchange.sendFailure(caller.failure());
    return std::nullopt;
}

bool Admission::admit(Exchange &exchange, const Caller &caller) const
{
    const Outcome<RateDecision> decision = m_rate.take(caller.workspace);
    if (!decision.ok()) {
        exchange.sendFailure(decision.failure(), absl::Seconds(1));
        return false;
    }
    if (!decision.value().granted) {
        exchange.sendFailure(
                notRun(ErrorCode::RateLimited, concat("workspace \"", caller.workspace,
                                                      "\" has exhausted its rate and burst")),
                decision.value().wait);
        return false;
    }
    // The grant may be used only at the end of the wait. The notification is never signalled, so
    // that the call always waits for the full time.
    if (decision.value().wait > absl::ZeroDuration())
        absl::Notification().WaitForNotificationWithTimeout(decision.value().wait);
    return true;
}

} // namespace rattanrill::entry
