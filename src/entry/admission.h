#pragma once

#include "caller.h"
#include "exchange.h"
#include "keyauthenticator.h"
#include "rateadmission.h"

#include "rattanrill/base/clock.h"

#include "absl/time/time.h"

#include <optional>

namespace rattanrill::entry {

/// Authenticates callers and obtains rate grants, for all routes that require an API key.
class Admission
{
public:
    Admission(const KeyAuthenticator &keys, RateAdmission &rate);

    /// Authenticates the caller by its API key. On failure, sends a failure response and returns
    /// nothing.
    std::optional<Caller> authenticate(Exchange &exchange) const;
    /// Obtains a rate grant and waits until it may be used. Without a grant, sends a failure
    /// response and returns false.
    bool admit(Exchange &exchange, const Caller &caller) const;
    const KeyAuthenticator &keys() const { return m_keys; }

private:
    const KeyAuthenticator &m_keys;
    RateAdmission &m_rate;
};

} // namespace rattanrill::entry
