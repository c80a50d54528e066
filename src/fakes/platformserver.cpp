#include "platformserver.h"

#include "rattanrill/fakes/answer.h"
#include "rattanrill/http/serversetup.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rattanrill::fakes {
namespace {

constexpr std::size_t weightChunkBytes = 65536;

Json toJson(const BalancerTarget &target)
{
    Json json = toJson(target.instance);
    json["healthy"] = target.healthy;
    json["connections"] = target.connections;
    return json;
}

} // namespace

PlatformServer::PlatformServer(FakeHttpServer &server, absl::Duration listLag,
                               WeightStoreSettings weights, const Clock &clock)
    : m_server(server)
    , m_clock(clock)
    , m_instances(listLag)
    , m_weights(std::move(weights), clock.now())
{
    addInstanceRoutes();
    m_server.Get("/weights/(.+)",
                 [this](const httplib::Request &request, httplib::Response &response) {
                     sendWeights(request, response);
                 });
    m_server.Get("/healthz", [](const httplib::Request &, httplib::Response &response) {
        sendJson(response, {{"status", "ok"}});
    });
}

std::vector<Instance> PlatformServer::visibleInstances() const
{
    absl::MutexLock lock(&m_mutex);
    return m_instances.visibleInstances(m_clock.now());
}

Result<Instance> PlatformServer::addInitialInstance(const std::string &name, const Json &body)
{
    absl::MutexLock lock(&m_mutex);
    return m_instances.set(absl::InfinitePast(), name, body);
}

void PlatformServer::addBalancerRoute(const Balancer &balancer)
{
    m_server.Get("/balancer", [&](const httplib::Request &, httplib::Response &response) {
        Json targets = Json::array();
        for (const BalancerTarget &target : balancer.targets())
            targets.push_back(toJson(target));
        const RelayCounters counters = balancer.counters();
        sendJson(response, {{"targets", targets},
                            {"accepted", counters.accepted},
                            {"refused", counters.refused},
                            {"open", counters.open}});
    });
}

void PlatformServer::addInstanceRoutes()
{
    m_server.Get("/instances", [this](const httplib::Request &, httplib::Response &response) {
        sendInstances(response);
    });
    m_server.Post("/instances/([^/]+)",
                  [this](const httplib::Request &request, httplib::Response &response) {
                      changeInstance(request, response);
                  });
}

void PlatformServer::sendInstances(httplib::Response &response) const
{
    Json list = Json::array();
    for (const Instance &instance : visibleInstances())
        list.push_back(fakes::toJson(instance));
    absl::MutexLock lock(&m_mutex);
    sendJson(response,
             {{"instances", list}, {"age_ms", absl::ToInt64Milliseconds(m_instances.lag())}});
}

void PlatformServer::changeInstance(const httplib::Request &request, httplib::Response &response)
{
    const auto instance = outcomeOf([&]() -> Result<Instance> {
        BOOST_LEAF_AUTO(body, parseJson(request.body, "body"));
        absl::MutexLock lock(&m_mutex);
        return m_instances.set(m_clock.now(), request.matches[1], body);
    });
    if (instance.ok())
        sendJson(response, fakes::toJson(instance.value()));
    else
        http::sendFailure(response, instance.failure(), "");
}

void PlatformServer::sendWeights(const httplib::Request &request, httplib::Response &response)
{
    const std::string name = request.matches[1];
    absl::Duration wait;
    const auto size = outcomeOf([&] { return takeWeights(name, wait); });
    if (!size.ok()) {
        http::sendFailure(response, size.failure(), "");
        if (size.failure().code == ErrorCode::RateLimited)
            response.set_header("Retry-After", std::to_string(static_cast<std::int64_t>(
                                                       std::ceil(absl::ToDoubleSeconds(wait)))));
        return;
    }
    const std::string pattern = hashText(name);
    std::string chunk;
    while (chunk.size() < weightChunkBytes)
        chunk += pattern;
    response.set_content_provider(
            static_cast<std::size_t>(size.value()), "application/octet-stream",
            [chunk](std::size_t offset, std::size_t length, httplib::DataSink &sink) {
                // Starts at the position of the offset in the repeating pattern, so that each byte
                // depends only on its own offset.
                const std::size_t start = offset % hashTextDigits;
                const std::size_t bytes = std::min(length, chunk.size() - start);
                return sink.write(chunk.data() + start, bytes);
            });
}

Result<std::int64_t> PlatformServer::takeWeights(const std::string &name, absl::Duration &wait)
{
    absl::MutexLock lock(&m_mutex);
    BOOST_LEAF_AUTO(size, m_weights.size(name));
    wait = m_weights.timeUntilAvailable(m_clock.now(), size);
    BOOST_LEAF_CHECK(m_weights.consume(m_clock.now(), size));
    return size;
}

} // namespace rattanrill::fakes
