#pragma once

#include "invocation.h"
#include "operatorclient.h"

#include <iosfwd>
#include <memory>

namespace rattanrill::ctl {

/// Exit code when no server could be reached.
constexpr int exitUnreachable = 3;

/// Runs one command and prints its result. Each row of the command table refers to the member
/// function that runs its command.
class Session
{
public:
    Session(std::ostream &out, std::ostream &err);

    /// Returns the exit code.
    int run(const Invocation &invocation);

    int list(const Invocation &invocation);
    int write(const Invocation &invocation);
    int addKey(const Invocation &invocation);
    int waitUntilInForce(const Invocation &invocation);
    int status(const Invocation &invocation);
    int explainPlacement(const Invocation &invocation);
    int help(const Invocation &invocation);

    /// Prints \a failure and returns the exit code that corresponds to it.
    int reportFailure(const Failure &failure, bool asJson);

private:
    Result<void> connect(const Invocation &invocation);
    /// Sends the write with its base revision and request id.
    Result<Json> sendWrite(const Invocation &invocation);
    Result<Json> baseRevision(const Invocation &invocation);
    int printOutcome(const Invocation &invocation, const Outcome<Json> &outcome);

    std::ostream &m_out;
    std::ostream &m_err;
    std::unique_ptr<OperatorClient> m_client;
};

} // namespace rattanrill::ctl
