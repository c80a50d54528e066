#include "rattanrill/policy/forwarderselector.h"

#include "rattanrill/policy/loadestimate.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace rattanrill::policy {
namespace {

/// Time for which a statement of an entry that it is cut off is taken for its state. An entry with
/// requests repeats it more often.
constexpr absl::Duration cutOffLifetime = absl::Seconds(3);
constexpr absl::Duration failureLifetime = absl::Seconds(1);
/// Number of calls that a forwarder of the sender's failure domain may have more than another one.
constexpr std::int64_t maxNearerExtraCalls = 4;

} // namespace

void ForwarderSelector::setForwarders(std::vector<Forwarder> forwarders)
{
    m_forwarders = std::move(forwarders);
    std::set<std::string> instances;
    for (const Forwarder &forwarder : m_forwarders) {
        instances.insert(forwarder.instance);
        State &state = m_states[forwarder.instance];
        if (state.turn <= 0)
            state.turn = initialTurn(forwarder.instance, m_turnSeed);
    }
    for (auto state = m_states.begin(); state != m_states.end();) {
        const bool isUnused = state->second.calls == 0 && instances.count(state->first) == 0;
        state = isUnused ? m_states.erase(state) : std::next(state);
    }
}

void ForwarderSelector::recordLinks(absl::Time now, const std::string &instance, bool isCutOff)
{
    if (isCutOff)
        m_states[instance].cutOffUntil = now + cutOffLifetime;
    else if (const auto found = m_states.find(instance); found != m_states.end())
        found->second.cutOffUntil = absl::InfinitePast();
}

void ForwarderSelector::recordFailure(absl::Time now, const std::string &instance)
{
    m_states[instance].failedUntil = now + failureLifetime;
}

std::optional<Forwarder>
ForwarderSelector::choose(absl::Time now, const std::string &sender,
                          const std::string &failureDomain,
                          const std::function<bool(const Forwarder &)> &isUsable)
{
    const Forwarder *best = nullptr;
    std::tuple<std::int64_t, bool, std::int64_t> bestRank;
    for (const Forwarder &forwarder : m_forwarders) {
        const State &state = m_states[forwarder.instance];
        const bool isAvoided =
                !forwarder.forwardsCalls || now < state.cutOffUntil || now < state.failedUntil;
        if (forwarder.instance == sender || isAvoided || !isUsable(forwarder))
            continue;
        const bool isNear = forwarder.failureDomain == failureDomain;
        const std::int64_t cost = state.calls + (isNear ? 0 : maxNearerExtraCalls);
        const std::tuple rank(cost, !isNear, state.turn);
        if (best != nullptr && rank >= bestRank)
            continue;
        best = &forwarder;
        bestRank = rank;
    }
    if (best == nullptr)
        return std::nullopt;
    State &chosen = m_states[best->instance];
    ++chosen.calls;
    chosen.turn = ++m_lastTurn;
    return *best;
}

void ForwarderSelector::release(const std::string &instance)
{
    const auto found = m_states.find(instance);
    if (found != m_states.end() && found->second.calls > 0)
        --found->second.calls;
}

} // namespace rattanrill::policy
