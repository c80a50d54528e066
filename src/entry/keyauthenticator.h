#pragma once

#include "caller.h"

#include "rattanrill/base/result.h"
#include "rattanrill/directory/directorysubscriber.h"

#include "absl/time/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace rattanrill::entry {

/// Checks callers' API keys against the directory view. Fails closed: when the view is so old that
/// it may lack the withdrawal of a key, requests with a key are refused.
class KeyAuthenticator
{
public:
    KeyAuthenticator(const directory::DirectorySubscriber &directory, absl::Duration keyFreshness,
                     absl::Duration staleStreamLimit);

    /// \a authorization is the value of the Authorization header. Fails with MissingKey,
    /// InvalidKey, KeyRevoked or KeysNotFresh, all NotRun.
    Outcome<Caller> authenticate(std::string_view authorization) const;
    /// Reason why a running request of \a caller must end now: KeyRevoked, or KeysNotFresh when the
    /// view has been stale for longer than running streams are allowed. Both MayHaveRun.
    std::optional<Failure> revoked(const Caller &caller) const;

private:
    const directory::DirectorySubscriber &m_directory;
    absl::Duration m_keyFreshness;
    absl::Duration m_staleStreamLimit;
};

} // namespace rattanrill::entry
