#pragma once

#include "proxyfixture.h"

#include "rattanrill/serving/forwardingservice.h"

#include <atomic>
#include <functional>
#include <string>
#include <vector>

namespace rattanrill::serving {

/// An entry that reaches the upstreams and forwards the calls of others.
struct ForwardingEntry
{
    ForwardingEntry()
    {
        service.install(server);
        BOOST_REQUIRE(outcomeOf([&] { return server.start("127.0.0.1", 0); }).ok());
    }
    ~ForwardingEntry()
    {
        server.stop();
        thread.run([this] {
            service.stop();
            upstreams.stop();
            connections.stop();
        });
        channels.close();
        thread.run([this] { loop.stop(); });
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(server.port()); }
    /// Whether a connection to \a upstream is open.
    bool isCalling(const std::string &upstream)
    {
        bool result = false;
        thread.run([&] { result = upstreams.hasOpenConnections(upstream); });
        return result;
    }

    std::atomic<bool> isListed{true};
    net::LoopThread thread;
    net::EventLoop &loop = thread.loop();
    TestProtocolAdapter adapter;
    net::ConnectionPool connections{loop, net::ConnectionPoolOptions()};
    peer::ChannelPool channels{transport("f")};
    ForwardingClient forwarder{loop, channels};
    UpstreamCaller upstreams{loop, connections, forwarder};
    CrashGuard crashGuard{
            loop.timers(), SystemClock::instance(), "f",
            [this](const wire::CrashEvidence &, auto done) { loop.post([done] { done(true); }); }};
    ForwardingService service{{loop, SystemClock::instance(), adapter, upstreams, crashGuard,
                               std::make_shared<BufferBudget>(),
                               [this](const auto &, const auto &) { return isListed.load(); },
                               [](const auto &) {}, [] { return false; }}};
    peer::Server server{transport("f")};
};

/// Returns whether \a condition holds within 10 s.
inline bool await(const std::function<bool()> &condition)
{
    const absl::Time deadline = absl::Now() + absl::Seconds(10);
    while (!condition() && absl::Now() < deadline)
        absl::SleepFor(absl::Milliseconds(5));
    return condition();
}

} // namespace rattanrill::serving
