#pragma once

#include "caller.h"
#include "exchange.h"
#include "keyauthenticator.h"
#include "rateadmission.h"

#include "rattanrill/base/clock.h"

#include "absl/time/time.h"

#include <optional>

namespace rattanrill::entry {

/// Key check and rate grant, common to all routes.
class Admission
{
public:
    Admission(const KeyAuthenticator &keys, RateAdmission &rate);

    /// Caller of a keyed route; otherwise the refusal has been sent.
    std::optional<Caller> authenticate(Exchange &exchange) const;
    /// Takes a grant and waits for its turn. False: the refusal has been sent.
    bool admit(Exchange &exchange, const Caller &caller) const;
    const KeyAuthenticator &keys() const { return m_keys; }

private:
    const KeyAuthenticator &m_keys;
    RateAdmission &m_rate;
};

} // namespace rattanrill::entry
