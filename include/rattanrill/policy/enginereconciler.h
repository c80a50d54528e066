#pragma once

#include "rattanrill/policy/tokenbucket.h"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::policy {

enum class EngineCommandKind {
    LoadModel,
    LoadAdapter,
    LoadVersion,
    SetRole,
};

/// The protocol's word for \a kind, such as "load_model".
std::string_view name(EngineCommandKind kind);

/// What an engine should have: model, adapter and version loaded, and its role.
struct DesiredState
{
    std::string engine;
    bool checksFence = false;
    std::map<EngineCommandKind, std::string> values;
};

/// An order to send to an engine.
struct EngineCommand
{
    std::string engine;
    EngineCommandKind kind = EngineCommandKind::LoadModel;
    std::string name;
    std::uint64_t fence = 0;
};

struct EngineReconcilerSettings
{
    /// Longest time for which an order that was sent can still arrive: connection and request
    /// timeouts of the sender, after which it closes the connection.
    absl::Duration commandLifetime = absl::Seconds(5);
    /// Loads of weights that the store allows.
    RateContract weightLoads{0.2, 2};
};

/// Orders that bring engines to their wanted state, one at a time for each engine. An engine that
/// checks fencing numbers rejects an older order by itself. One that ignores them could carry out
/// an older order late and undo a newer one, so a new order waits until the older one is answered
/// or can no longer arrive.
class EngineReconciler
{
public:
    /// \a now counts as the time at which a former sender may have sent its last order.
    EngineReconciler(EngineReconcilerSettings settings, absl::Time now);

    /// Replaces the wanted states and the fencing number that the directory issued with them.
    void setDesired(absl::Time now, const std::vector<DesiredState> &desired, std::uint64_t fence);
    /// Orders to send now.
    std::vector<EngineCommand> decide(absl::Time now);
    /// The engine answered the order.
    void answered(absl::Time now, const EngineCommand &order, bool accepted);
    /// The order got no answer; it may still arrive.
    void timedOut(absl::Time now, const EngineCommand &order);
    bool isConverged(std::string_view engine) const;

private:
    struct Engine
    {
        DesiredState desired;
        std::map<EngineCommandKind, std::string> confirmed;
        std::optional<EngineCommand> outstanding;
        /// Until then an older order may still arrive.
        absl::Time quietUntil;
    };

    std::optional<EngineCommand> nextOrder(absl::Time now, Engine &engine);

    EngineReconcilerSettings m_settings;
    absl::Time m_start;
    std::uint64_t m_fence = 0;
    TokenBucket m_weightLoads;
    std::map<std::string, Engine, std::less<>> m_engines;
};

} // namespace rattanrill::policy
