#include "rattanrill/fakes/linkfaults.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/enumnames.h"

namespace rattanrill::fakes {
namespace {

constexpr std::array<EnumName<LinkMode>, 3> linkModeNames = {{
        {LinkMode::Pass, "pass"},
        {LinkMode::Hold, "hold"},
        {LinkMode::Drop, "drop"},
}};

} // namespace

std::string_view name(LinkMode mode)
{
    return nameOf(linkModeNames, mode);
}

Result<LinkMode> linkModeFromName(std::string_view name)
{
    if (const auto mode = valueOf(linkModeNames, name))
        return *mode;
    return fail(notRun(ErrorCode::InvalidRequest,
                       concat("unknown mode \"", name, "\". Allowed: pass, hold, drop")));
}

} // namespace rattanrill::fakes
