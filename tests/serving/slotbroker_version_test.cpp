#include "slotbrokerfixture.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::serving;
using wire::SlotOutcome;

namespace {

/// Two upstreams of two versions, and a deployment whose streams last 5 s.
struct VersionFixture : SlotBrokerFixture
{
    VersionFixture()
    {
        Deployment result;
        result.version = 1;
        result.workspaces = {{"w", {"k"}, -1, 1000, 1000}};
        Route route;
        route.kind = RouteKind::Streaming;
        route.timeout = absl::Seconds(5);
        result.routes = {route};
        broker.setDeployment(std::make_shared<const DeploymentIndex>(std::move(result)));
        timers.advance(absl::Seconds(1));
        setVersions({"v1", "v2"});
    }

    void setVersions(const std::vector<std::string> &versions)
    {
        std::vector<wire::FleetUpstream> list;
        for (const std::string &version : versions)
            list.push_back({"u-" + version, "llm", "u:1", "d", 1, false, version});
        broker.setUpstreams(list, CapacityShare(), clock.now());
    }

    /// Lets time pass in which the list is read each second without a change.
    void readFor(int seconds)
    {
        for (int second = 0; second < seconds; ++second) {
            timers.advance(absl::Seconds(1));
            broker.confirmUpstreams(clock.now());
        }
    }

    /// Resumes the stream \a stream without a decision, and repeats the request until \a seconds
    /// have passed. Returns the outcome.
    std::optional<SlotOutcome> awaitResumption(const std::string &id, const std::string &stream,
                                               int seconds)
    {
        wire::SlotRequest resumed = request(id);
        resumed.stream = stream;
        resumed.resumed = true;
        acquire(resumed);
        resumed.again = true;
        for (int step = 0; step < seconds * 20; ++step) {
            if (last && last->verdict != SlotOutcome::Waiting)
                return last->verdict;
            if (last)
                acquire(resumed);
            timers.advance(absl::Milliseconds(50));
        }
        return std::nullopt;
    }

    /// Begins the stream \a id and returns its version.
    std::string begin(const std::string &id)
    {
        wire::SlotRequest begun = request(id);
        begun.stream = id;
        return acquire(begun)->version;
    }

    /// Releases the slot of \a id and resumes the stream \a stream.
    wire::SlotResponse resume(const std::string &id, const std::string &stream)
    {
        wire::SlotRequest resumed = request(id);
        resumed.stream = stream;
        resumed.resumed = true;
        const auto response = acquire(resumed);
        BOOST_REQUIRE(response.has_value());
        return *response;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SlotBrokerVersionTest, VersionFixture)

// Guards against a caller's resumption at another version, also when this process lost its slots as
// the broker.
BOOST_AUTO_TEST_CASE(resumedStreamStaysAtTheVersionOfItsFirstGrant)
{
    const std::string first = begin("a");
    const std::string second = begin("b");
    BOOST_TEST(first != second);
    release("a");
    release("b");
    broker.reset();
    BOOST_TEST(resume("c", "a").version == first);
    BOOST_TEST(resume("d", "b").version == second);
}

// Guards against a stream that is recorded at the version of a slot that it did not use, because
// the upstream of an earlier slot responded after all.
BOOST_AUTO_TEST_CASE(versionOfTheReleaseReplacesThatOfTheLastGrant)
{
    const std::string granted = begin("a");
    const std::string used = granted == "v1" ? "v2" : "v1";
    broker.release({"e", "a", "", "abandoned", "a", "llm", used});
    BOOST_TEST(resume("b", "a").version == used);
}

// Guards against an empty memory that looks like "any version", and against a refusal on a day
// with one version.
BOOST_AUTO_TEST_CASE(unknownStreamIsResumedOnlyIfOneVersionServed)
{
    BOOST_TEST((resume("b", "a").verdict == SlotOutcome::VersionUnknown));
    setVersions({"v2"});
    BOOST_TEST((resume("c", "a").verdict == SlotOutcome::VersionUnknown));
    // The time limit of streams, and the margin in which the list may lag.
    readFor(9);
    timers.subscribeOnce(absl::Milliseconds(500), [this] { broker.confirmUpstreams(clock.now()); });
    BOOST_TEST((awaitResumption("d", "a", 1) == SlotOutcome::Granted));
}

// Guards against a stream of a new version that a process continues at the old one, because its
// list is older than that of the process which began the stream.
BOOST_AUTO_TEST_CASE(unknownStreamWaitsForALaterRead)
{
    setVersions({"v1"});
    readFor(9);
    // The list that arrives next was read before the resumption.
    const absl::Time formerRead = clock.now();
    timers.advance(absl::Milliseconds(100));
    timers.subscribeOnce(absl::Milliseconds(100), [&] { broker.confirmUpstreams(formerRead); });
    timers.subscribeOnce(absl::Milliseconds(500), [&] { setVersions({"v1", "v2"}); });
    BOOST_TEST((awaitResumption("b", "a", 1) == SlotOutcome::VersionUnknown));
}

// Guards against a resumption that waits until its deadline for a list that doesn't come, in a
// process that is cut off.
BOOST_AUTO_TEST_CASE(unknownStreamIsRefusedWhenTheListIsNotRead)
{
    setVersions({"v1"});
    readFor(9);
    timers.advance(absl::Milliseconds(100));
    const absl::Time start = clock.now();
    BOOST_TEST((awaitResumption("b", "a", 5) == SlotOutcome::VersionUnknown));
    BOOST_TEST((clock.now() - start <= absl::Milliseconds(2200)));
}

// Guards against a resumption that waits for upstreams that left, or continues at another service.
BOOST_AUTO_TEST_CASE(streamOfAVersionThatLeftIsRefused)
{
    const std::string version = begin("a");
    release("a");
    setVersions({version == "v1" ? "v2" : "v1"});
    BOOST_TEST((resume("b", "a").verdict == SlotOutcome::VersionGone));
    broker.recordStream("s", {"other", "v1"});
    BOOST_TEST((resume("c", "s").verdict == SlotOutcome::VersionGone));
}

// Guards against a new broker that has no record of the streams of the entries.
BOOST_AUTO_TEST_CASE(reportedStreamsAreAdopted)
{
    wire::HeldSlots held;
    held.instance = "e";
    held.streams = {{"a", "llm", "v2", 100}};
    broker.adoptHeldSlots(held);
    BOOST_TEST(resume("b", "a").version == "v2");
}

BOOST_AUTO_TEST_SUITE_END()
