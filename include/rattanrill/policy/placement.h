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

enum class OrderKind {
    LoadModel,
    LoadAdapter,
    LoadVersion,
    SetRole,
};

/// The protocol's word for \a kind, such as "load_model".
std::string_view name(OrderKind kind);

/// What an engine should have: model, adapter and version loaded, and its role.
struct WantedState
{
    std::string engine;
    bool checksFence = false;
    std::map<OrderKind, std::string> values;
};

/// An order to send to an engine.
struct EngineOrder
{
    std::string engine;
    OrderKind kind = OrderKind::LoadModel;
    std::string name;
    std::uint64_t fence = 0;
};

struct PlacementSettings
{
    /// Longest time for which an order that was sent can still arrive: connection and request
    /// timeouts of the sender, after which it closes the connection.
    absl::Duration orderLifetime = absl::Seconds(5);
    /// Loads of weights that the store allows.
    RateContract weightLoads{0.2, 2};
};

/// Orders that bring engines to their wanted state, one at a time for each engine. An engine that
/// checks fencing numbers rejects an older order by itself. One that ignores them could carry out
/// an older order late and undo a newer one, so a new order waits until the older one is answered
/// or can no longer arrive.
class Placement
{
public:
    /// \a now counts as the time at which a former sender may have sent its last order.
    Placement(PlacementSettings settings, absl::Time now);

    /// Replaces the wanted states and the fencing number that the directory issued with them.
    void setWanted(absl::Time now, const std::vector<WantedState> &wanted, std::uint64_t fence);
    /// Orders to send now.
    std::vector<EngineOrder> decide(absl::Time now);
    /// The engine answered the order.
    void answered(absl::Time now, const EngineOrder &order, bool accepted);
    /// The order got no answer; it may still arrive.
    void unanswered(absl::Time now, const EngineOrder &order);
    bool settled(std::string_view engine) const;

private:
    struct Engine
    {
        WantedState wanted;
        std::map<OrderKind, std::string> confirmed;
        std::optional<EngineOrder> outstanding;
        /// Until then an older order may still arrive.
        absl::Time quietUntil;
    };

    std::optional<EngineOrder> nextOrder(absl::Time now, Engine &engine);

    PlacementSettings m_settings;
    absl::Time m_start;
    std::uint64_t m_fence = 0;
    TokenBucket m_weightLoads;
    std::map<std::string, Engine, std::less<>> m_engines;
};

} // namespace rattanrill::policy
