#include "rattanrill/policy/enginereconciler.h"

#include "rattanrill/base/enumnames.h"

#include <algorithm>

namespace rattanrill::policy {

namespace {

constexpr std::array<EnumName<EngineCommandKind>, 4> commandKindNames{{
        {EngineCommandKind::LoadModel, "load_model"},
        {EngineCommandKind::LoadAdapter, "load_adapter"},
        {EngineCommandKind::LoadVersion, "load_version"},
        {EngineCommandKind::SetRole, "set_role"},
}};

bool loadsWeights(EngineCommandKind kind)
{
    return kind != EngineCommandKind::SetRole;
}

} // namespace

std::string_view name(EngineCommandKind kind)
{
    return nameOf(commandKindNames, kind);
}

EngineReconciler::EngineReconciler(EngineReconcilerSettings settings, absl::Time now)
    : m_settings(settings)
    , m_start(now)
    , m_weightLoads(settings.weightLoadRate, now)
{}

void EngineReconciler::setDesired(absl::Time now, const std::vector<DesiredState> &desired,
                                  std::uint64_t fence)
{
    m_fence = std::max(m_fence, fence);
    std::map<std::string, Engine, std::less<>> engines;
    for (const DesiredState &state : desired) {
        const auto known = m_engines.find(state.engine);
        const bool isNew = known == m_engines.end();
        Engine &engine = engines[state.engine];
        if (!isNew)
            engine = std::move(known->second);
        else
            engine.commandMayArriveUntil = std::max(m_start, now) + m_settings.commandLifetime;
        engine.desired = state;
    }
    m_engines = std::move(engines);
}

std::vector<EngineCommand> EngineReconciler::decide(absl::Time now)
{
    std::vector<EngineCommand> commands;
    for (auto &[engineName, engine] : m_engines) {
        std::optional<EngineCommand> command = nextCommand(now, engine);
        if (command)
            commands.push_back(*std::move(command));
    }
    return commands;
}

void EngineReconciler::answered(absl::Time now, const EngineCommand &command, bool accepted)
{
    const auto found = m_engines.find(command.engine);
    if (found == m_engines.end())
        return;
    Engine &engine = found->second;
    if (!engine.outstanding || engine.outstanding->fence != command.fence
        || engine.outstanding->kind != command.kind || engine.outstanding->value != command.value)
        return;
    engine.outstanding.reset();
    engine.commandMayArriveUntil = now;
    if (accepted)
        engine.confirmed[command.kind] = command.value;
}

void EngineReconciler::timedOut(absl::Time now, const EngineCommand &command)
{
    const auto found = m_engines.find(command.engine);
    if (found == m_engines.end())
        return;
    Engine &engine = found->second;
    engine.outstanding.reset();
    // It is unknown whether the engine executed the command, so its value is no longer confirmed.
    engine.confirmed.erase(command.kind);
    engine.commandMayArriveUntil = now + m_settings.commandLifetime;
}

bool EngineReconciler::isConverged(std::string_view engine) const
{
    const auto found = m_engines.find(engine);
    return found != m_engines.end() && found->second.confirmed == found->second.desired.values;
}

std::optional<EngineCommand> EngineReconciler::nextCommand(absl::Time now, Engine &engine)
{
    if (engine.outstanding)
        return std::nullopt;
    const bool olderMayArrive = now < engine.commandMayArriveUntil && !engine.desired.checksFence;
    if (olderMayArrive)
        return std::nullopt;
    for (const auto &[kind, value] : engine.desired.values) {
        const auto confirmed = engine.confirmed.find(kind);
        if (confirmed != engine.confirmed.end() && confirmed->second == value)
            continue;
        if (loadsWeights(kind) && !m_weightLoads.take(now, 1).granted)
            return std::nullopt;
        engine.outstanding = EngineCommand{engine.desired.engine, kind, value, m_fence};
        return engine.outstanding;
    }
    return std::nullopt;
}

} // namespace rattanrill::policy
