#pragma once

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattanrill::policy {

/// An entry that may forward calls of processes that are cut off from the upstreams.
struct Forwarder
{
    std::string instance;
    std::string failureDomain;
    /// Peer address.
    std::string address;
    /// False for an entry of a version that forwards no calls.
    bool forwardsCalls = true;
};

/// Chooses the entry that forwards a call: one that is not cut off itself, with few calls, and
/// preferably in the failure domain of the sender, because the bytes of the call cross the boundary
/// of a domain otherwise. Equal entries take turns.
///
/// Load pattern: all local brokers of a failure domain lose their links at once and choose among
/// the same entries, each by its own calls only.
///
/// Performs no input or output. Not thread-safe.
class ForwarderSelector
{
public:
    /// \a turnSeed: see SlotSchedulerSettings::turnSeed.
    explicit ForwarderSelector(std::uint64_t turnSeed = 0)
        : m_turnSeed(turnSeed)
    {}

    /// Replaces the list of live entries.
    void setForwarders(std::vector<Forwarder> forwarders);
    /// Records whether \a instance is cut off from the upstreams, as it states itself.
    void recordLinks(absl::Time now, const std::string &instance, bool isCutOff);
    /// Records that \a instance did not forward a call.
    void recordFailure(absl::Time now, const std::string &instance);
    /// Chooses a forwarder for a call of \a sender and counts the call. \a isUsable: whether a
    /// forwarder may be chosen.
    std::optional<Forwarder> choose(absl::Time now, const std::string &sender,
                                    const std::string &failureDomain,
                                    const std::function<bool(const Forwarder &)> &isUsable);
    /// Ends a call that \a instance forwarded.
    void release(const std::string &instance);

private:
    struct State
    {
        std::int64_t calls = 0;
        /// The lowest goes first among equals; positive once the entry was chosen.
        std::int64_t turn = 0;
        /// The entry is not chosen before these times.
        absl::Time cutOffUntil = absl::InfinitePast();
        absl::Time failedUntil = absl::InfinitePast();
    };

    const std::uint64_t m_turnSeed;
    std::int64_t m_lastTurn = 0;
    std::vector<Forwarder> m_forwarders;
    std::map<std::string, State> m_states;
};

} // namespace rattanrill::policy
