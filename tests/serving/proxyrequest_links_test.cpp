#include "lostlinks.h"
#include "proxyfixture.h"

#include <string>
#include <thread>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::serving;

namespace {

std::string closedAddress()
{
    return "127.0.0.1:" + std::to_string(net::freePort());
}

/// Connects \a entry to u1 to u4, which do not respond, until it takes itself for cut off.
void awaitCutOff(Entry &entry)
{
    bool isCutOff = false;
    entry.thread.run([&] {
        for (int i = 1; i <= 4; ++i)
            entry.upstreams.probeSilent("u" + std::to_string(i));
    });
    while (!isCutOff) {
        std::this_thread::yield();
        entry.thread.run([&] { isCutOff = entry.upstreams.isCutOff(); });
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ProxyRequestLinksTest)

// Guards against requests that are refused because upstreams which pause answer no new connection,
// although they accept connections a moment later.
BOOST_AUTO_TEST_CASE(requestIsServedWhenPausedUpstreamsAcceptConnectionsAgain)
{
    const HangingUpstreams hanging;
    ScriptedUpstreams upstreams({{completeResponse("a", "done")}});
    Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 1));
    entry.setReachable(hanging.addresses());
    awaitCutOff(entry);
    std::string response;
    std::thread caller([&] { response = entry.sendRequest("a"); });
    absl::SleepFor(absl::Milliseconds(600));
    std::vector<std::string> addresses = hanging.addresses();
    addresses.push_back(upstreams.address(0));
    entry.setReachable(addresses);
    caller.join();
    BOOST_TEST(contains(response, "done"), response);
    BOOST_TEST(upstreams.requests().size() == 1u);
}

// Guards against a request that waits for upstreams which answer no connection and gets an answer
// that does not say that it did not run, or none before its deadline.
BOOST_AUTO_TEST_CASE(requestThatWaitsInVainIsRefusedAsNotRun)
{
    const HangingUpstreams hanging;
    ScriptedUpstreams upstreams({});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true));
    entry.setReachable(hanging.addresses());
    awaitCutOff(entry);
    const absl::Time start = absl::Now();
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, "HTTP/1.1 503"), response);
    BOOST_TEST(contains(response, "Retry-After: "), response);
    BOOST_TEST((absl::Now() - start > absl::Seconds(2)));
    BOOST_TEST(upstreams.requests().empty());
}

// Guards against requests that wait on links which are known to be lost.
BOOST_AUTO_TEST_CASE(requestOnLostLinksIsRefusedAtOnce)
{
    ScriptedUpstreams upstreams({});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true));
    entry.setReachable({closedAddress(), closedAddress(), closedAddress(), closedAddress()});
    awaitCutOff(entry);
    const absl::Time start = absl::Now();
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, "HTTP/1.1 503"), response);
    BOOST_TEST(contains(response, "Retry-After: "), response);
    BOOST_TEST((absl::Now() - start < absl::Seconds(1)));
    BOOST_TEST(upstreams.requests().empty());
}

BOOST_AUTO_TEST_SUITE_END()
