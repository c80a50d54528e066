#include "ctl.h"

#include "help.h"
#include "session.h"

#include "rattanrill/settings/program.h"

#include <algorithm>
#include <ostream>

namespace rattanrill::ctl {

int runCtl(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err)
{
    Session session(out, err);
    if (arguments.size() == 1 && arguments.front() == "--help") {
        out << overviewText();
        return exitOk;
    }
    const bool asJson = std::find(arguments.begin(), arguments.end(), "--json") != arguments.end();
    const auto invocation = outcomeOf([&] { return parseArguments(arguments); });
    if (!invocation.ok())
        return session.reportFailure(invocation.failure(), asJson);
    return session.run(invocation.value());
}

} // namespace rattanrill::ctl
