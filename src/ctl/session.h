#pragma once

#include "invocation.h"
#include "operatorclient.h"

#include <iosfwd>
#include <memory>

namespace rattanrill::ctl {

/// Exit code when no control instance could be reached.
constexpr int exitUnreachable = 3;

/// Runs one command and prints its result. The handlers are named by the table of commands.
class Session
{
public:
    Session(std::ostream &out, std::ostream &err);

    /// Returns the exit code.
    int run(const Invocation &invocation);

    int list(const Invocation &invocation);
    int write(const Invocation &invocation);
    int addKey(const Invocation &invocation);
    int waitInForce(const Invocation &invocation);
    int status(const Invocation &invocation);
    int help(const Invocation &invocation);
    /// Prints \a failure and returns the exit code that goes with it.
    int reportFailure(const Failure &failure, bool asJson);

private:
    Result<void> connect(const Invocation &invocation);
    Result<Json> sendWrite(const Invocation &invocation);
    Result<Json> baseRevision(const Invocation &invocation);
    int finish(const Invocation &invocation, const Outcome<Json> &outcome);

    std::ostream &m_out;
    std::ostream &m_err;
    std::unique_ptr<OperatorClient> m_client;
};

} // namespace rattanrill::ctl
