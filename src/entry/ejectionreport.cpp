#include "ejectionreport.h"

#include "rattanrill/base/logger.h"

namespace rattanrill::entry {
namespace {

constexpr const char *reason = "server_error";

} // namespace

void reportEjection(Metrics &metrics, wire::UpstreamKind kind,
                    const policy::ServerErrorEjection &ejection)
{
    metrics.count("rattanrill_upstream_ejections_total", {{"reason", reason}});
    log(LogLevel::Info, "upstream-ejected",
        {{"upstream", ejection.upstream},
         {kind == wire::UpstreamKind::Service ? "service" : "model", ejection.serves},
         {"reason", reason},
         {"ejectedMs", absl::ToInt64Milliseconds(ejection.length)},
         {"runningTasks", ejection.runningTasks}});
}

} // namespace rattanrill::entry
