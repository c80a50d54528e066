#include "rattanrill/policy/task.h"

#include "rattanrill/base/enumnames.h"

namespace rattanrill::policy {

namespace {

constexpr std::array<EnumName<TaskKind>, 2> kindNames{{
        {TaskKind::Online, "online"},
        {TaskKind::Batch, "batch"},
}};

} // namespace

std::string_view name(TaskKind kind)
{
    return nameOf(kindNames, kind);
}

std::optional<TaskKind> taskKindFromName(std::string_view name)
{
    return valueOf(kindNames, name);
}

} // namespace rattanrill::policy
