#pragma once

#include "caller.h"

#include "rattanrill/base/result.h"
#include "rattanrill/directory/directorysubscriber.h"

#include "absl/time/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace rattanrill::entry {

/// Checks callers' keys against the view of the directory. Fails closed: when the view is too old
/// to know of a withdrawn key, keyed requests are refused.
class KeyAuthenticator
{
public:
    KeyAuthenticator(const directory::DirectorySubscriber &directory, absl::Duration keyFreshness,
                     absl::Duration staleStreamLimit);

    /// \a authorization is the header's value. Fails with MissingKey, InvalidKey, KeyRevoked or
    /// KeysNotFresh, all NotRun.
    Outcome<Caller> authenticate(std::string_view authorization) const;
    /// Why a running request of \a caller must end now: KeyRevoked, or KeysNotFresh when the view
    /// has been stale for longer than running streams are allowed. Both MayHaveRun.
    std::optional<Failure> revoked(const Caller &caller) const;

private:
    const directory::DirectorySubscriber &m_directory;
    absl::Duration m_keyFreshness;
    absl::Duration m_staleStreamLimit;
};

} // namespace rattanrill::entry
