#include "crashreporter.h"

#include "rattanrill/base/hash.h"
#include "rattanrill/controlclient/controlclient.h"
#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/directorymessages.h"

namespace rattanrill::entry {
namespace {

constexpr std::size_t requestIdBytes = 12;

} // namespace

DirectoryCrashReporter::DirectoryCrashReporter(controlclient::ControlClient &control,
                                               absl::Duration blockTime, absl::Duration timeout,
                                               const Clock &clock)
    : m_control(control)
    , m_blockTime(blockTime)
    , m_timeout(timeout)
    , m_clock(clock)
{}

void DirectoryCrashReporter::report(const std::string &fingerprint, const std::string &upstream,
                                    Callback callback)
{
    wire::DirectoryCommand command;
    command.requestId = "crash-" + randomHex(requestIdBytes);
    command.unconditional = true;
    command.nowMs = absl::ToUnixMillis(m_clock.wallNow());
    command.operation =
            wire::ReportCrash{fingerprint, upstream, absl::ToInt64Milliseconds(m_blockTime)};
    m_control.propose(controlclient::directoryGroupName, wire::encode(command), true, m_timeout,
                      [callback = std::move(callback)](const Outcome<std::string> &response) {
                          if (!response.ok()) {
                              callback(response.failure());
                              return;
                          }
                          const auto result = outcomeOf([&] {
                              return wire::decode<wire::DirectoryResult>(response.value());
                          });
                          if (result.ok())
                              callback(result.value().held);
                          else
                              callback(result.failure());
                      });
}

} // namespace rattanrill::entry
