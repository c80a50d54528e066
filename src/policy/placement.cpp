#include "rattanrill/policy/placement.h"

#include "rattanrill/base/enumnames.h"

#include <algorithm>

namespace rattanrill::policy {

namespace {

constexpr std::array<EnumName<OrderKind>, 4> orderNames{{
        {OrderKind::LoadModel, "load_model"},
        {OrderKind::LoadAdapter, "load_adapter"},
        {OrderKind::LoadVersion, "load_version"},
        {OrderKind::SetRole, "set_role"},
}};

bool loadsWeights(OrderKind kind)
{
    return kind != OrderKind::SetRole;
}

} // namespace

std::string_view name(OrderKind kind)
{
    return nameOf(orderNames, kind);
}

Placement::Placement(PlacementSettings settings, absl::Time now)
    : m_settings(settings)
    , m_start(now)
    , m_weightLoads(settings.weightLoads, now)
{}

void Placement::setWanted(absl::Time now, const std::vector<WantedState> &wanted,
                          std::uint64_t fence)
{
    m_fence = std::max(m_fence, fence);
    std::map<std::string, Engine, std::less<>> engines;
    for (const WantedState &state : wanted) {
        const auto known = m_engines.find(state.engine);
        const bool isNew = known == m_engines.end();
        Engine &engine = engines[state.engine];
        if (!isNew)
            engine = std::move(known->second);
        else
            engine.quietUntil = std::max(m_start, now) + m_settings.orderLifetime;
        engine.wanted = state;
    }
    m_engines = std::move(engines);
}

std::vector<EngineOrder> Placement::decide(absl::Time now)
{
    std::vector<EngineOrder> orders;
    for (auto &[engineName, engine] : m_engines) {
        std::optional<EngineOrder> order = nextOrder(now, engine);
        if (order)
            orders.push_back(*std::move(order));
    }
    return orders;
}

void Placement::answered(absl::Time now, const EngineOrder &order, bool accepted)
{
    const auto found = m_engines.find(order.engine);
    if (found == m_engines.end())
        return;
    Engine &engine = found->second;
    if (!engine.outstanding || engine.outstanding->fence != order.fence
        || engine.outstanding->kind != order.kind || engine.outstanding->name != order.name)
        return;
    engine.outstanding.reset();
    engine.quietUntil = now;
    if (accepted)
        engine.confirmed[order.kind] = order.name;
}

void Placement::unanswered(absl::Time now, const EngineOrder &order)
{
    const auto found = m_engines.find(order.engine);
    if (found == m_engines.end())
        return;
    Engine &engine = found->second;
    engine.outstanding.reset();
    // The order may have been carried out or not, so its kind is open again.
    engine.confirmed.erase(order.kind);
    engine.quietUntil = now + m_settings.orderLifetime;
}

bool Placement::settled(std::string_view engine) const
{
    const auto found = m_engines.find(engine);
    return found != m_engines.end() && found->second.confirmed == found->second.wanted.values;
}

std::optional<EngineOrder> Placement::nextOrder(absl::Time now, Engine &engine)
{
    if (engine.outstanding)
        return std::nullopt;
    const bool olderMayArrive = now < engine.quietUntil && !engine.wanted.checksFence;
    if (olderMayArrive)
        return std::nullopt;
    for (const auto &[kind, value] : engine.wanted.values) {
        const auto confirmed = engine.confirmed.find(kind);
        if (confirmed != engine.confirmed.end() && confirmed->second == value)
            continue;
        if (loadsWeights(kind) && !m_weightLoads.take(now, 1).granted)
            return std::nullopt;
        engine.outstanding = EngineOrder{engine.wanted.engine, kind, value, m_fence};
        return engine.outstanding;
    }
    return std::nullopt;
}

} // namespace rattanrill::policy
