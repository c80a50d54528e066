#pragma once

#include "rattanrill/base/errorcode.h"

#include <string>

namespace rattanrill {

/// Typed failure of an operation. \a detail is a text for operators that describes the operation,
/// the wrong value and where the value came from. Code evaluates only \a code and \a effect, except
/// that the detail of NotLeader is the address or replica id of the leader, or empty if it is
/// unknown.
struct Failure
{
    ErrorCode code = ErrorCode::Internal;
    EffectState effect = EffectState::NotRun;
    std::string detail;
};

/// Formats \a failure as "code: detail" for log lines and terminals.
std::string describe(const Failure &failure);

/// Failure of an operation that had no effect.
Failure notRun(ErrorCode code, std::string detail);

/// Failure of an operation that may have had an effect.
Failure mayHaveRun(ErrorCode code, std::string detail);

} // namespace rattanrill
