#pragma once

#include "rattanrill/base/errorcode.h"

#include <string>

namespace rattanrill {

/// A typed failure. \a detail says what was being done, which value was wrong and where it came
/// from; it is for people, code decides by \a code and \a run.
struct Failure
{
    ErrorCode code = ErrorCode::Internal;
    RunState run = RunState::NotRun;
    std::string detail;
};

/// "code: detail", for log lines and terminals.
std::string describe(const Failure &failure);

/// Failure of an operation that had no effect.
Failure notRun(ErrorCode code, std::string detail);

/// Failure of an operation that may have had its effect.
Failure mayHaveRun(ErrorCode code, std::string detail);

} // namespace rattanrill
