#pragma once

#include "rattanrill/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanrill::replication {

/// Deterministic state machine of a replicated log: the same commands in the same order produce the
/// same state and responses on every replica. Calls are never concurrent.
class StateMachine
{
public:
    virtual ~StateMachine() = default;

    /// Applies the committed command at log position \a index and returns an encoded
    /// wire::CommandResult. For a malformed or refused command the result is a failure, and the
    /// state does not change.
    virtual std::string apply(std::uint64_t index, std::string_view command) = 0;
    /// Evaluates a query on the current state and returns an encoded wire::CommandResult.
    virtual std::string query(std::string_view query) const = 0;
    /// Serializes the complete state, with a format version.
    virtual std::string snapshot() const = 0;
    /// Replaces the state by that of \a snapshot. Fails with CorruptData or UnsupportedFormat; the
    /// state does not change then.
    virtual Result<void> restore(std::string_view snapshot) = 0;
};

} // namespace rattanrill::replication
