#pragma once

#include "rattanrill/base/failure.h"
#include "rattanrill/base/metrics.h"
#include "rattanrill/policy/task.h"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace rattanrill::entry {

/// Labels under which a request is counted.
struct RequestLabels
{
    /// Empty until the caller is authenticated.
    std::string workspace;
    /// Empty for plain services.
    std::string model;
};

/// Metrics that the service-level objectives are based on; docs/metrics.md lists them.
class RequestMetrics
{
public:
    explicit RequestMetrics(Metrics &metrics);

    void firstToken(const RequestLabels &labels, absl::Duration sinceArrival);
    void nextToken(const RequestLabels &labels, absl::Duration sinceLast);
    /// Counts the end of an online request; \a failure is empty for a successful one.
    void ended(const RequestLabels &labels, const std::optional<Failure> &failure);
    void tokens(const RequestLabels &labels, policy::TaskKind kind, std::uint64_t count);
    /// Counts a leased batch item that ended with a result.
    void itemEnded(const std::string &workspace, bool failed, bool pastDue);

private:
    Metrics &m_metrics;
};

} // namespace rattanrill::entry
