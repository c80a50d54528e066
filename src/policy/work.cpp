#include "rattanrill/policy/work.h"

#include "rattanrill/base/enumnames.h"

namespace rattanrill::policy {

namespace {

constexpr std::array<EnumName<WorkKind>, 2> kindNames{{
        {WorkKind::Online, "online"},
        {WorkKind::Batch, "batch"},
}};

} // namespace

std::string_view name(WorkKind kind)
{
    return nameOf(kindNames, kind);
}

} // namespace rattanrill::policy
