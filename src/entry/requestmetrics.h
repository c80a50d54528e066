#pragma once

#include "rattanrill/base/failure.h"
#include "rattanrill/base/metrics.h"
#include "rattanrill/policy/task.h"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace rattanrill::entry {

/// Whom a request is counted for.
struct RequestLabels
{
    /// Empty until the key is known.
    std::string workspace;
    /// Empty for plain services.
    std::string model;
};

/// Metrics that service-level objectives are judged by; docs/metrics.md lists them.
class RequestMetrics
{
public:
    explicit RequestMetrics(Metrics &metrics);

    void firstToken(const RequestLabels &labels, absl::Duration sinceArrival);
    void nextToken(const RequestLabels &labels, absl::Duration sinceLast);
    /// An online request ended, with \a failure or whole.
    void ended(const RequestLabels &labels, const std::optional<Failure> &failure);
    void tokens(const RequestLabels &labels, policy::TaskKind kind, std::uint64_t count);
    /// A leased batch item ended with a result.
    void itemEnded(const std::string &workspace, bool failed, bool pastDue);

private:
    Metrics &m_metrics;
};

} // namespace rattanrill::entry
