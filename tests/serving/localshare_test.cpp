#include "loopthread.h"

#include "rattanrill/base/hash.h"
#include "rattanrill/serving/slotclient.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::serving;

namespace {

constexpr std::int64_t slots = 8;

peer::TransportOptions transport()
{
    peer::TransportOptions options;
    options.self = {"e", "d", "entry"};
    options.clusterSecret = "s";
    return options;
}

wire::FleetUpstream upstream(const std::string &id)
{
    return {id, "llm", id + ":1", "d", slots, false};
}

/// Entries that have no broker, in virtual time. All members are used on the thread of the loop.
struct Fixture
{
    ~Fixture()
    {
        thread.run([this] { entries.clear(); });
        channels.close();
    }

    void run(const std::function<void()> &task) { thread.run(task); }

    void start(std::size_t count, const std::vector<wire::FleetUpstream> &upstreams)
    {
        for (std::size_t i = 0; i < count; ++i) {
            SlotClientSettings settings;
            settings.localBroker.scheduler.turnSeed = stableHash("entry-" + std::to_string(i));
            entries.push_back(
                    std::make_unique<SlotClient>(thread.loop(), channels, clock, settings));
            Deployment deployment;
            deployment.version = 1;
            entries.back()->setDeployment(
                    std::make_shared<const DeploymentIndex>(std::move(deployment)));
            entries.back()->setUpstreams(upstreams, count);
        }
    }

    /// Returns a request that is charged to no rate.
    wire::SlotRequest request()
    {
        wire::SlotRequest result;
        result.requestId = std::to_string(nextRequest++);
        result.instance = "e";
        result.service = "llm";
        result.chargesRate = false;
        result.objectiveMs = 300;
        result.deadlineMs = 5000;
        return result;
    }

    /// Sends a request that ends at once. Returns whether it was granted.
    bool isServed(std::size_t entry)
    {
        const wire::SlotRequest slotRequest = request();
        const auto isGranted = std::make_shared<bool>(false);
        entries[entry]->acquire(slotRequest, [isGranted](const wire::SlotResponse &response, bool) {
            *isGranted = response.verdict == wire::SlotOutcome::Granted;
        });
        entries[entry]->release({"e", slotRequest.requestId, "u", "served"});
        return *isGranted;
    }

    /// Outlives the loop, on which callbacks and timers of the entries run.
    ManualClock clock;
    net::LoopThread thread;
    peer::ChannelPool channels{transport()};
    std::vector<std::unique_ptr<SlotClient>> entries;
    std::uint64_t nextRequest = 0;
};

struct End
{
    absl::Time at;
    std::size_t entry = 0;
    std::string requestId;
    std::string upstream;
    bool operator<(const End &other) const { return at > other.at; }
};

/// Requests that hold slots. Callbacks of requests that wait share it.
struct Load
{
    std::map<std::string, std::int64_t> running{{"u", 0}, {"v", 0}};
    /// By entry and upstream.
    std::map<std::pair<std::size_t, std::string>, std::int64_t> held;
    std::priority_queue<End> ends;
};

/// Entries whose requests hold slots of two upstreams for random times.
struct LoadFixture : Fixture
{
    static constexpr std::size_t entryCount = 20;
    static constexpr double holdSeconds = 0.1;

    /// Whether some upstream has a free slot and \a entry has not used up its part there, which is
    /// one slot.
    bool hasRoom(std::size_t entry)
    {
        return std::any_of(load->running.begin(), load->running.end(), [&](const auto &use) {
            return use.second < slots && load->held[{entry, use.first}] == 0;
        });
    }

    /// Sends a request. Returns whether it was granted at once.
    bool isGrantedAtOnce(std::size_t entry)
    {
        const wire::SlotRequest slotRequest = request();
        const absl::Duration heldFor = absl::Seconds(holdTime(random));
        const auto isGranted = std::make_shared<bool>(false);
        entries[entry]->acquire(slotRequest, [this, shared = load, isGranted, heldFor, entry,
                                              id = slotRequest.requestId](
                                                     const wire::SlotResponse &response, bool) {
            if (response.verdict != wire::SlotOutcome::Granted)
                return;
            *isGranted = true;
            ++shared->running[response.upstream];
            ++shared->held[{entry, response.upstream}];
            shared->ends.push({clock.now() + heldFor, entry, id, response.upstream});
        });
        return *isGranted;
    }

    /// Ends the requests that are due until \a time. Their responses report the load.
    void endUntil(absl::Time time)
    {
        while (!load->ends.empty() && load->ends.top().at <= time) {
            const End end = load->ends.top();
            load->ends.pop();
            clock.advanceTo(end.at);
            entries[end.entry]->reportLoad(
                    {end.upstream, load->running[end.upstream], 0, false, 0, end.upstream + ":1"});
            --load->running[end.upstream];
            --load->held[{end.entry, end.upstream}];
            entries[end.entry]->release({"e", end.requestId, end.upstream, "served"});
        }
        clock.advanceTo(time);
    }

    std::shared_ptr<Load> load = std::make_shared<Load>();
    std::mt19937_64 random{1};
    std::exponential_distribution<double> holdTime{1 / holdSeconds};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LocalShareTest, Fixture)

// Guards against an entry that rejects requests because each of its few slots at an upstream counts
// as used up by a request of another entry, although most slots are free.
BOOST_AUTO_TEST_CASE(requestsOfOthersDoNotUseUpTheShare)
{
    constexpr std::size_t entryCount = 60;
    std::size_t served = 0;
    run([&] {
        start(entryCount, {upstream("u")});
        for (std::size_t i = 0; i < entryCount; ++i) {
            for (int report = 0; report < 2; ++report)
                entries[i]->reportLoad({"u", 3, 0, false, 0, "u:1"});
            served += isServed(i) ? 1 : 0;
        }
    });
    BOOST_TEST(served == entryCount);
}

// Guards against requests that wait or are rejected while an upstream has a free slot and the entry
// has not used up its part of them, at a load that leaves most slots free.
BOOST_FIXTURE_TEST_CASE(loadIsServedWhileUpstreamsHaveFreeSlots, LoadFixture)
{
    constexpr double utilization = 0.25;
    constexpr int requests = 5000;
    int withRoom = 0;
    int notGranted = 0;
    run([&] {
        start(entryCount, {upstream("u"), upstream("v")});
        std::exponential_distribution<double> interval(utilization * 2 * slots / holdSeconds);
        for (int i = 0; i < requests; ++i) {
            endUntil(clock.now() + absl::Seconds(interval(random)));
            const std::size_t entry = random() % entryCount;
            const bool mustBeGranted = hasRoom(entry);
            const bool isGranted = isGrantedAtOnce(entry);
            withRoom += mustBeGranted ? 1 : 0;
            notGranted += mustBeGranted && !isGranted ? 1 : 0;
        }
        endUntil(clock.now() + absl::Seconds(60));
    });
    BOOST_TEST(withRoom > requests / 2);
    BOOST_TEST(notGranted == 0);
}

BOOST_AUTO_TEST_SUITE_END()
