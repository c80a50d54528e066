#pragma once

#include "fakehttpserver.h"
#include "rattanrill/base/clock.h"
#include "rattanrill/fakes/balancer.h"
#include "rattanrill/fakes/instancelist.h"
#include "rattanrill/fakes/weightstore.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace rattanrill::fakes {

/// HTTP interface of the fake platform: instance list, load balancer and weight store.
class PlatformServer
{
public:
    PlatformServer(FakeHttpServer &server, absl::Duration listLag, WeightStoreSettings weights,
                   const Clock &clock = SystemClock::instance());

    /// Instances according to the delayed list.
    std::vector<Instance> visibleInstances() const;
    /// Adds an instance that is listed from the start, without the lag.
    Result<Instance> addInitialInstance(const std::string &name, const Json &body);
    /// Adds "GET /balancer".
    void addBalancerRoute(const Balancer &balancer);

private:
    void addInstanceRoutes();
    void sendInstances(httplib::Response &response) const;
    void changeInstance(const httplib::Request &request, httplib::Response &response);
    void sendWeights(const httplib::Request &request, httplib::Response &response);
    Result<std::int64_t> takeWeights(const std::string &name, absl::Duration &wait);

    FakeHttpServer &m_server;
    const Clock &m_clock;
    mutable absl::Mutex m_mutex;
    InstanceList m_instances ABSL_GUARDED_BY(m_mutex);
    WeightStore m_weights ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::fakes
