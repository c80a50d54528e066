#pragma once

#include "rattanrill/policy/failureshares.h"

#include "absl/time/time.h"

#include <algorithm>
#include <string>
#include <vector>

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

/// Applies PassOverRule: removes the elements of \a upstreams that are passed over. \a nameOf
/// returns the name of an element, \a isOpen whether it has room for the request, and \a isIdle
/// whether it is idle as meant by PassOverRule::addOpen().
template <typename Upstream, typename NameOf, typename IsOpen, typename IsIdle>
void removePassedOver(absl::Time now, const FailureShares &failures,
                      std::vector<Upstream> &upstreams, const NameOf &nameOf, const IsOpen &isOpen,
                      const IsIdle &isIdle)
{
    PassOverRule rule(now, failures);
    if (!rule.isActive())
        return;
    for (const Upstream &upstream : upstreams) {
        if (isOpen(upstream))
            rule.addOpen(nameOf(upstream), isIdle(upstream));
    }
    const auto isPassedOver = [&](const Upstream &upstream) {
        return rule.isPassedOver(nameOf(upstream));
    };
    upstreams.erase(std::remove_if(upstreams.begin(), upstreams.end(), isPassedOver),
                    upstreams.end());
}

/// The same where all elements are open.
template <typename Upstream, typename NameOf, typename IsIdle>
void removePassedOver(absl::Time now, const FailureShares &failures,
                      std::vector<Upstream> &upstreams, const NameOf &nameOf, const IsIdle &isIdle)
{
    const auto isOpen = [](const Upstream &) { return true; };
    removePassedOver(now, failures, upstreams, nameOf, isOpen, isIdle);
}

} // namespace rattanrill::policy
