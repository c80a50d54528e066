#pragma once

#include "rattanrill/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanrill::replication {

/// Deterministic state behind a replicated log: the same commands in the same order give the same
/// state and answers on every replica. Calls come one at a time.
class StateMachine
{
public:
    virtual ~StateMachine() = default;

    /// Applies one committed command; the answer is an encoded wire::CommandResult. Malformed or
    /// refused commands are answered with a failure and change nothing.
    virtual std::string apply(std::uint64_t index, std::string_view command) = 0;
    /// Answers a query from the current state with an encoded wire::CommandResult.
    virtual std::string query(std::string_view query) const = 0;
    /// Whole state with a format version.
    virtual std::string snapshot() const = 0;
    /// Replaces the state. Fails with CorruptData or UnsupportedFormat and then changes nothing.
    virtual Result<void> restore(std::string_view snapshot) = 0;
};

} // namespace rattanrill::replication
