#include "rattanrill/fakes/loadedmodels.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/enumnames.h"

#include <algorithm>

namespace rattanrill::fakes {
namespace {

constexpr std::array<EnumName<EngineCommandKind>, 4> engineCommandKindNames = {{
        {EngineCommandKind::LoadModel, "load_model"},
        {EngineCommandKind::LoadAdapter, "load_adapter"},
        {EngineCommandKind::LoadVersion, "load_version"},
        {EngineCommandKind::SetRole, "set_role"},
}};

} // namespace

std::string_view name(EngineCommandKind kind)
{
    return nameOf(engineCommandKindNames, kind);
}

Result<EngineCommandKind> engineCommandKindFromName(std::string_view name)
{
    if (const auto kind = valueOf(engineCommandKindNames, name))
        return *kind;
    return fail(notRun(ErrorCode::InvalidRequest, concat("unknown command kind \"", name, "\"")));
}

LoadedModels::LoadedModels(std::vector<std::string> models, bool checksFence,
                           absl::Duration loadTime)
    : m_checksFence(checksFence)
    , m_loadTime(loadTime)
{
    for (std::string &model : models)
        m_readyAt[std::move(model)] = absl::InfinitePast();
}

EngineCommandResult LoadedModels::apply(absl::Time now, const EngineCommand &command)
{
    if (m_checksFence && command.fence < m_fence)
        return {false, m_fence};
    m_fence = std::max(m_fence, command.fence);
    if (command.kind == EngineCommandKind::SetRole)
        m_role = command.name;
    else
        m_readyAt.emplace(command.name, now + m_loadTime);
    return {true, m_fence};
}

bool LoadedModels::isLoaded(absl::Time now, std::string_view model) const
{
    const auto entry = m_readyAt.find(model);
    return entry != m_readyAt.end() && entry->second <= now;
}

} // namespace rattanrill::fakes
