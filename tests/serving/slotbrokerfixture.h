#pragma once

#include "rattanrill/serving/slotbroker.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rattanrill::serving {

inline std::shared_ptr<const DeploymentIndex> deploymentOfRate(double rate, double burst)
{
    Deployment result;
    result.version = 1;
    result.workspaces = {{"w", {"k"}, -1, rate, burst}};
    return std::make_shared<const DeploymentIndex>(std::move(result));
}

inline SlotBrokerSettings brokerSettings()
{
    SlotBrokerSettings result;
    result.rateToleranceFraction = 0.1;
    result.rateToleranceRequests = 20;
    return result;
}

/// A broker with one upstream and one workspace.
struct SlotBrokerFixture
{
    SlotBrokerFixture()
    {
        broker.setDeployment(deploymentOfRate(10, 10));
        broker.setUpstreams({{"u", "llm", "u:1", "d", 100, false}}, CapacityShare());
    }

    wire::SlotRequest request(const std::string &id)
    {
        wire::SlotRequest result;
        result.requestId = id;
        result.instance = "e";
        result.service = "llm";
        result.workspace = "w";
        result.objectiveMs = 300;
        result.deadlineMs = 5000;
        return result;
    }

    std::optional<wire::SlotResponse> acquire(const wire::SlotRequest &slotRequest)
    {
        last.reset();
        broker.acquire(slotRequest,
                       [this](const wire::SlotResponse &response) { last = response; });
        return last;
    }

    bool tryAcquire(const std::string &id)
    {
        const auto response = acquire(request(id));
        return response && response->verdict == wire::SlotOutcome::Granted;
    }

    /// Report of an announcement that belongs to another request.
    static wire::UpstreamLoad leaving(const std::string &upstream,
                                      const std::string &address = "u:1")
    {
        return {upstream, -1, -1, true, 0, address};
    }

    /// Returns the upstream that a batch task is granted; empty when there is none.
    std::string grantBatch(const std::string &id)
    {
        policy::SlotTask task;
        task.id = id;
        task.service = "llm";
        task.workspace = "w";
        task.kind = policy::TaskKind::Batch;
        std::string upstream;
        broker.acquireBatch(
                task, {[&](const policy::GrantSlot &grant) { upstream = grant.upstream; }, [] {}});
        return upstream;
    }

    void release(const std::string &id) { broker.release({"e", id, "u", "served"}); }

    ManualClock clock;
    ManualTimerService timers{clock};
    SlotBroker broker{timers, clock, brokerSettings()};
    std::optional<wire::SlotResponse> last;
};

} // namespace rattanrill::serving
