#include "commandstamp.h"

#include "rattanrill/controlclient/controlclient.h"
#include "rattanrill/wire/batchmessages.h"
#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/directorymessages.h"

namespace rattanrill::control {
namespace {

template <typename Command>
Result<std::string> withTime(const std::string &bytes, std::int64_t nowMs)
{
    BOOST_LEAF_AUTO(command, wire::decode<Command>(bytes));
    command.nowMs = nowMs;
    return wire::encode(command);
}

} // namespace

Result<std::string> stampCommand(const std::string &group, const std::string &command,
                                 std::int64_t nowMs)
{
    if (group == controlclient::directoryGroupName)
        return withTime<wire::DirectoryCommand>(command, nowMs);
    return withTime<wire::BatchCommand>(command, nowMs);
}

} // namespace rattanrill::control
