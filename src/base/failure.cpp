#include "rattanrill/base/failure.h"

#include <utility>

namespace rattanrill {

std::string describe(const Failure &failure)
{
    std::string text(name(failure.code));
    if (!failure.detail.empty())
        text += ": " + failure.detail;
    return text;
}

Failure notRun(ErrorCode code, std::string detail)
{
    return Failure{code, EffectState::NotRun, std::move(detail)};
}

Failure mayHaveRun(ErrorCode code, std::string detail)
{
    return Failure{code, EffectState::MayHaveRun, std::move(detail)};
}

} // namespace rattanrill
