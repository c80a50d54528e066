#include "forwardingentry.h"
#include "hanginglistener.h"
#include "pausableupstream.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <string>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::serving;

namespace {

std::vector<wire::FleetUpstream> upstreamsAt(const std::vector<std::string> &addresses)
{
    std::vector<wire::FleetUpstream> list;
    for (const std::string &address : addresses)
        list.push_back({std::to_string(list.size()), "s", address, "d", 4, false, "v"});
    return list;
}

/// What an entry takes its links for, and the one to upstream 0.
struct LinkView
{
    policy::LinkState state = policy::LinkState::Working;
    bool isLost = false;
    bool isReachable = false;
};

LinkView viewOf(ForwardingEntry &entry)
{
    LinkView view;
    entry.thread.run([&] {
        view = {entry.upstreams.linkState(), entry.upstreams.isLost("0"),
                entry.upstreams.isReachable("0")};
    });
    return view;
}

/// An entry that has an idle connection, which has carried a request, to each of its upstreams.
struct UsedUpstreams
{
    UsedUpstreams()
    {
        std::vector<std::string> addresses;
        for (const net::PausableUpstream &upstream : upstreams)
            addresses.push_back(upstream.address());
        list = upstreamsAt(addresses);
        entry.thread.run([&] { entry.upstreams.setUpstreams(list); });
        for (std::size_t i = 0; i < upstreams.size(); ++i) {
            absl::Notification ended;
            call(list[i], "a", [&](net::CallStatus) { ended.Notify(); });
            upstreams[i].serve();
            BOOST_REQUIRE(ended.WaitForNotificationWithTimeout(absl::Seconds(10)));
        }
        // Upstreams that have responded a moment ago are not probed.
        absl::SleepFor(absl::Milliseconds(150));
    }

    void call(const wire::FleetUpstream &upstream, const std::string &id,
              const std::function<void(net::CallStatus)> &onEnd)
    {
        entry.thread.run([&] {
            net::CallHandlers handlers;
            handlers.onEnd = onEnd;
            UpstreamTarget target{upstream.id, upstream.address};
            entry.upstreams.call(
                    target, [] { return std::string("GET /x HTTP/1.1\r\nHost: h\r\n\r\n"); },
                    std::move(handlers), id);
        });
    }

    void probe()
    {
        entry.thread.run([&] {
            for (const wire::FleetUpstream &upstream : list)
                entry.upstreams.probeSilent(upstream.id);
        });
    }

    /// Probes all upstreams, and sends a request to each while the probes are not answered.
    void probeAndCall()
    {
        probe();
        // Longer than the step in which the operating system measures times.
        absl::SleepFor(absl::Milliseconds(20));
        callAll();
    }

    void callAll()
    {
        for (const wire::FleetUpstream &upstream : list)
            call(upstream, "b", [](net::CallStatus) {});
    }

    std::array<net::PausableUpstream, 5> upstreams;
    std::vector<wire::FleetUpstream> list;
    ForwardingEntry entry;
};

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamCallerTest)

// Guards against an entry that takes itself for cut off, and refuses requests, because several
// sound upstreams pause at once.
BOOST_AUTO_TEST_CASE(upstreamsThatPauseAreNoLostLink)
{
    ScriptedUpstreams upstreams({});
    ForwardingEntry entry;
    bool wasCutOff = false;
    bool isReachable = false;
    entry.thread.run([&] {
        const auto list = upstreamsAt(std::vector<std::string>(5, upstreams.address(0)));
        entry.upstreams.setUpstreams(list);
        for (const wire::FleetUpstream &upstream : list)
            entry.upstreams.probeSilent(upstream.id);
        wasCutOff = entry.upstreams.isCutOff();
    });
    BOOST_TEST(await([&] {
        entry.thread.run([&] {
            wasCutOff = wasCutOff || entry.upstreams.isCutOff();
            isReachable = entry.upstreams.isReachable("4");
        });
        return isReachable;
    }));
    BOOST_TEST(!wasCutOff);
}

// Guards against an entry that does not notice a cut whose connections hang, because the new ones
// are neither established nor refused.
BOOST_AUTO_TEST_CASE(unansweredConnectionsAreALostLink)
{
    const net::HangingListener hanging;
    ForwardingEntry entry;
    entry.thread.run([&] {
        entry.upstreams.setUpstreams(upstreamsAt(std::vector<std::string>(12, hanging.address())));
        entry.upstreams.probeSilent("0");
        entry.upstreams.probeSilent("1");
    });
    bool isCutOff = false;
    const absl::Time begin = absl::Now();
    BOOST_TEST(await([&] {
        entry.thread.run([&] { isCutOff = entry.upstreams.isCutOff(); });
        return isCutOff;
    }));
    // Connections fail by themselves after 1 s.
    BOOST_TEST(absl::Now() - begin < absl::Seconds(1));
}

// Guards against running calls that are given up because connections hang, which may mean that the
// upstreams pause.
BOOST_AUTO_TEST_CASE(unansweredConnectionsAloneAreNoCertainLoss)
{
    const net::HangingListener hanging;
    ForwardingEntry entry;
    const auto list = upstreamsAt(std::vector<std::string>(12, hanging.address()));
    LinkView view;
    bool isNotified = false;
    entry.thread.run([&] {
        entry.upstreams.setUpstreams(list);
        entry.upstreams.awaitLinkChange([&] { isNotified = true; });
        entry.upstreams.probeSilent("0");
        entry.upstreams.probeSilent("1");
    });
    BOOST_TEST(await([&] {
        view = viewOf(entry);
        return view.state == policy::LinkState::Unanswered;
    }));
    // Longer than an attempt to connect.
    for (const absl::Time end = absl::Now() + absl::Milliseconds(1200); absl::Now() < end;) {
        view = viewOf(entry);
        BOOST_TEST_REQUIRE((view.state == policy::LinkState::Unanswered));
        BOOST_TEST_REQUIRE(!view.isLost);
        absl::SleepFor(absl::Milliseconds(5));
    }
    BOOST_TEST(isNotified);
}

// Guards against an entry that takes itself for cut off, and ends streams, because the accept
// queues of upstreams that pause are full.
BOOST_AUTO_TEST_CASE(fullAcceptQueuesAreNoLostLink)
{
    UsedUpstreams used;
    for (net::PausableUpstream &upstream : used.upstreams)
        upstream.fill();
    bool wasCutOff = false;
    used.probeAndCall();
    LinkView view;
    for (const absl::Time end = absl::Now() + absl::Milliseconds(1500); absl::Now() < end;) {
        view = viewOf(used.entry);
        wasCutOff = wasCutOff || view.state != policy::LinkState::Working;
        absl::SleepFor(absl::Milliseconds(5));
    }
    BOOST_TEST(!wasCutOff);
    BOOST_TEST(view.isReachable);
}

// Guards against an upstream that pauses and whose accept queue is filled by probes: each silent
// call leads to one, and is noticed several times a second.
BOOST_AUTO_TEST_CASE(silentUpstreamIsProbedOnceASecond)
{
    ScriptedUpstreams upstreams({});
    ForwardingEntry entry;
    std::uint64_t opened = 0;
    entry.thread.run([&] { entry.upstreams.setUpstreams(upstreamsAt({upstreams.address(0)})); });
    for (int i = 0; i < 9; ++i) {
        entry.thread.run([&] { entry.upstreams.probeSilent("0"); });
        absl::SleepFor(absl::Milliseconds(100));
        BOOST_TEST(viewOf(entry).isReachable);
    }
    entry.thread.run([&] { opened = entry.connections.connectionsOpened(); });
    BOOST_TEST(opened == 1u);
}

// Guards against the accept queues of many upstreams that pause being filled by probes: the
// repeated ones are limited for the whole process, and each upstream gets its share of them.
BOOST_AUTO_TEST_CASE(silentUpstreamsAreProbedInTurn)
{
    constexpr absl::Duration turnPeriod = absl::Milliseconds(150);
    std::array<net::QueueingUpstream, 16> upstreams;
    std::vector<std::string> addresses;
    for (const net::QueueingUpstream &upstream : upstreams)
        addresses.push_back(upstream.address());
    ForwardingEntry entry;
    const auto list = upstreamsAt(addresses);
    entry.thread.run([&] { entry.upstreams.setUpstreams(list); });
    const absl::Time begin = absl::Now();
    while (absl::Now() - begin < absl::Milliseconds(2500)) {
        entry.thread.run([&] {
            for (const wire::FleetUpstream &upstream : list)
                entry.upstreams.probeSilent(upstream.id);
        });
        absl::SleepFor(absl::Milliseconds(50));
        BOOST_TEST(viewOf(entry).isReachable);
    }
    std::uint64_t opened = 0;
    entry.thread.run([&] { opened = entry.connections.connectionsOpened(); });
    const auto turns = static_cast<std::uint64_t>((absl::Now() - begin) / turnPeriod);
    BOOST_TEST_MESSAGE(opened << " connections in " << turns << " turns");
    BOOST_TEST(opened <= upstreams.size() + turns);
    std::vector<std::size_t> accepted;
    for (net::QueueingUpstream &upstream : upstreams)
        accepted.push_back(upstream.countQueued());
    const auto [least, most] = std::minmax_element(accepted.begin(), accepted.end());
    BOOST_TEST(*least >= 1u);
    BOOST_TEST(*most <= *least + 1);
}

// Guards against connections to an upstream that pauses, although its operating system shows that
// the link works.
BOOST_AUTO_TEST_CASE(upstreamThatAcknowledgesIsNotProbed)
{
    UsedUpstreams used;
    std::uint64_t opened = 0;
    used.callAll();
    absl::SleepFor(absl::Milliseconds(70));
    used.probe();
    used.entry.thread.run([&] { opened = used.entry.connections.connectionsOpened(); });
    BOOST_TEST(opened == used.upstreams.size());
    BOOST_TEST(viewOf(used.entry).isReachable);
}

// Guards against requests that go to upstreams which this entry knows to be silent, or no longer to
// ones which respond again.
BOOST_AUTO_TEST_CASE(silentUpstreamsAreListedUntilTheyRespond)
{
    UsedUpstreams used;
    absl::Notification ended;
    const auto silent = [&] {
        std::vector<std::string> result;
        used.entry.thread.run([&] { result = used.entry.upstreams.silentUpstreams(); });
        return result;
    };
    BOOST_TEST(silent().empty());
    used.probe();
    const std::vector<std::string> all = {"0", "1", "2", "3", "4"};
    BOOST_TEST(silent() == all, boost::test_tools::per_element());
    used.call(used.list[3], "b", [&](net::CallStatus) { ended.Notify(); });
    used.upstreams[3].serve();
    BOOST_TEST(ended.WaitForNotificationWithTimeout(absl::Seconds(10)));
    const std::vector<std::string> others = {"0", "1", "2", "4"};
    BOOST_TEST(silent() == others, boost::test_tools::per_element());
}

// Guards against a cut that is found late, or never for certain, because the established
// connections stay open.
BOOST_AUTO_TEST_CASE(unacknowledgedRequestsAreALostLink)
{
    UsedUpstreams used;
    for (net::PausableUpstream &upstream : used.upstreams)
        upstream.cut();
    const absl::Time begin = absl::Now();
    used.probeAndCall();
    LinkView view;
    BOOST_TEST(await([&] {
        view = viewOf(used.entry);
        return view.state == policy::LinkState::Lost;
    }));
    BOOST_TEST(view.isLost);
    // The next keep-alive probe would be due after 1 s.
    BOOST_TEST(absl::Now() - begin < absl::Milliseconds(900));
}

// Guards against a request on an established connection that may be lost, although another entry
// would forward it, and against one that is refused although such a connection exists.
BOOST_AUTO_TEST_CASE(forwarderIsPreferredWhileTheLinksAreUncertain)
{
    UsedUpstreams used;
    const wire::FleetUpstream other = used.list.back();
    used.list.pop_back();
    for (std::size_t i = 0; i < used.list.size(); ++i)
        used.upstreams[i].fill();
    used.entry.thread.run([&] { used.entry.upstreams.setUpstreams(used.list); });
    used.probe();
    BOOST_TEST(await([&] { return viewOf(used.entry).state == policy::LinkState::Unanswered; }));
    used.entry.thread.run([&] {
        UpstreamCaller &upstreams = used.entry.upstreams;
        const auto isForwarded = [&](const std::string &forwarder) {
            const UpstreamTarget target{other.id, other.address, forwarder};
            BOOST_TEST(upstreams.canCall(target, "b"));
            net::CallHandlers handlers;
            handlers.onEnd = [](net::CallStatus) {};
            const auto id = upstreams.call(
                    target, [] { return std::string("GET /x HTTP/1.1\r\n\r\n"); }, handlers, "b");
            return upstreams.isForwarded(id);
        };
        BOOST_TEST(isForwarded("127.0.0.1:1"));
        BOOST_TEST(!isForwarded(""));
    });
    used.entry.thread.run([&] { used.entry.forwarder.stop(); });
}

// Guards against a cut that stays uncertain because the running calls have nothing to send.
BOOST_AUTO_TEST_CASE(unacknowledgedKeepAliveProbesAreALostLink)
{
    UsedUpstreams used;
    for (net::PausableUpstream &upstream : used.upstreams)
        upstream.cut();
    used.probe();
    BOOST_TEST(await([&] { return viewOf(used.entry).state == policy::LinkState::Unanswered; }));
    BOOST_TEST(await([&] { return viewOf(used.entry).state == policy::LinkState::Lost; }));
}

// Guards against an entry that stays uncertain of its links until a new connection is accepted,
// although the upstreams' systems respond to keep-alive probes.
BOOST_AUTO_TEST_CASE(acknowledgedKeepAliveProbesEndTheDoubt)
{
    UsedUpstreams used;
    for (net::PausableUpstream &upstream : used.upstreams)
        upstream.fill();
    used.probe();
    BOOST_TEST(await([&] { return viewOf(used.entry).state == policy::LinkState::Unanswered; }));
    BOOST_TEST(await([&] { return viewOf(used.entry).state == policy::LinkState::Working; }));
}

// Guards against a cut that is found late because each upstream accepted a connection shortly
// before it: the latency objective is 300 ms.
BOOST_AUTO_TEST_CASE(cutAfterAcceptedProbesIsFoundWithinTheObjective)
{
    UsedUpstreams used;
    used.probe();
    absl::SleepFor(absl::Milliseconds(50));
    for (net::PausableUpstream &upstream : used.upstreams)
        upstream.cut();
    const absl::Time begin = absl::Now();
    BOOST_TEST(await([&] {
        used.probe();
        return viewOf(used.entry).state != policy::LinkState::Working;
    }));
    const absl::Duration duration = absl::Now() - begin;
    BOOST_TEST_MESSAGE("found after " << absl::ToInt64Milliseconds(duration) << " ms");
    BOOST_TEST((duration < absl::Milliseconds(300)));
}

// Guards against a second attempt that is ended for the sake of one on a link that was cut: the
// probe that was accepted before the cut must not outweigh a later one without an answer.
BOOST_AUTO_TEST_CASE(upstreamThatDoesNotAnswerAProbeIsNotReachable)
{
    UsedUpstreams used;
    used.probe();
    absl::SleepFor(absl::Milliseconds(50));
    for (net::PausableUpstream &upstream : used.upstreams)
        upstream.cut();
    absl::SleepFor(absl::Milliseconds(210));
    bool isReachable = false;
    absl::Notification probed;
    used.entry.thread.run([&] {
        used.entry.upstreams.probeSilent("0", [&] {
            isReachable = used.entry.upstreams.isReachable("0");
            probed.Notify();
        });
    });
    BOOST_REQUIRE(probed.WaitForNotificationWithTimeout(absl::Seconds(10)));
    BOOST_TEST(!isReachable);
}

BOOST_AUTO_TEST_SUITE_END()
