#include "stubraftnode.h"

#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/envelope.h"

namespace rattanrill::control {

Outcome<std::string> StubRaftNode::unwrap(const std::string &commandResult)
{
    const auto result = outcomeOf([&] { return wire::decode<wire::CommandResult>(commandResult); });
    if (!result.ok())
        return result.failure();
    if (result.value().failure.failed)
        return wire::fromMessage(result.value().failure);
    return result.value().body;
}

} // namespace rattanrill::control
