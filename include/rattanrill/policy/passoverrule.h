#pragma once

#include "rattanrill/policy/failureshares.h"

#include "absl/time/time.h"

#include <string>

namespace rattanrill::policy {

/// Decides which of the upstreams that are open to a request are passed over because of server
/// errors. Whether an upstream or its requests cause the errors shows at the others, first at those
/// that are idle and have not responded since the suspicion began.
///
/// Add all open upstreams before the first call of isPassedOver(). At least one of them is not
/// passed over. Allocates nothing, so that it can be made for each request.
class PassOverRule
{
public:
    /// \a failures must outlive the rule.
    PassOverRule(absl::Time now, const FailureShares &failures);

    /// Whether an upstream may be passed over. If not, adding upstreams is not necessary.
    bool isActive() const { return m_isActive; }
    /// Adds an upstream with room for the request. \a isIdle: it runs no request and is not cold.
    /// The response of a cold upstream, which has just started, is not comparable with those of the
    /// others.
    void addOpen(const std::string &upstream, bool isIdle);
    bool isPassedOver(const std::string &upstream) const;

private:
    const absl::Time m_now;
    const FailureShares &m_failures;
    const bool m_isActive;
    /// Whether an open upstream is not suspected.
    bool m_hasOther = false;
    bool m_hasIdleWithoutResponse = false;
};

} // namespace rattanrill::policy
