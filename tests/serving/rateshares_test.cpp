#include "rateshares.h"

#include "slotbrokerfixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::serving;

namespace {

constexpr double rate = 60;
constexpr double burst = 60;
constexpr std::size_t entryCount = 6;
constexpr absl::Duration window = absl::Seconds(5);
const double tolerance = 0.1 * (rate * absl::ToDoubleSeconds(window) + burst) + 20;
/// Requests that may be granted in a window.
const double bound = rate * absl::ToDoubleSeconds(window) + burst + tolerance;
/// Time from the loss of a broker to the first grant of the next one.
constexpr absl::Duration takeover = absl::Milliseconds(1200);
constexpr absl::Duration step = absl::Milliseconds(10);
/// Requests per second at each entry; six times the rate at all entries together.
constexpr double flood = 6 * rate / entryCount;

/// Entries whose requests of one workspace are granted by a broker, or from their shares while
/// there is none, in virtual time.
struct Fixture
{
    struct Entry
    {
        explicit Entry(Fixture &fixture)
            : local(fixture.timers, fixture.clock, brokerSettings())
            , shares(fixture.clock, local)
        {
            local.setDeployment(deploymentOfRate(rate, burst));
            local.setUpstreams({{"u", "llm", "u:1", "d", 1000, false}},
                               CapacityShare{1.0 / entryCount, 1});
        }

        SlotBroker local;
        RateShares shares;
        /// Requests that the entry is to get.
        double due = 0;
        bool isCutOff = false;
    };

    Fixture()
    {
        broker.setDeployment(deploymentOfRate(rate, burst));
        broker.setUpstreams({{"u", "llm", "u:1", "d", 1000, false}}, CapacityShare());
        for (std::size_t i = 0; i < entryCount; ++i)
            entries.push_back(std::make_unique<Entry>(*this));
        // The buckets fill.
        timers.advance(absl::Seconds(10));
    }

    void request(std::size_t index)
    {
        Entry &entry = *entries[index];
        wire::SlotRequest slotRequest;
        slotRequest.requestId = std::to_string(++lastRequest);
        slotRequest.instance = "e" + std::to_string(index);
        slotRequest.service = "llm";
        slotRequest.workspace = "w";
        slotRequest.objectiveMs = 300;
        slotRequest.deadlineMs = 5000;
        const bool isLocal = !isBrokerAlive || entry.isCutOff;
        if (isLocal)
            entry.shares.take();
        SlotBroker &granting = isLocal ? entry.local : broker;
        wire::SlotResponse response;
        granting.acquire(slotRequest, [&](const wire::SlotResponse &r) { response = r; });
        if (!isLocal)
            entry.shares.recordLevel("w", response.rateLevel);
        if (response.verdict != wire::SlotOutcome::Granted) {
            ++refused;
            return;
        }
        grants.push_back(clock.now());
        if (isLocal)
            entry.shares.recordGrant("w");
        granting.release({slotRequest.instance, slotRequest.requestId, "u", "served"});
    }

    /// Sends \a perSecond requests at each entry that \a isUsed returns true for.
    void run(
            absl::Duration time, double perSecond,
            const std::function<bool(std::size_t)> &isUsed = [](std::size_t) { return true; })
    {
        for (const absl::Time end = clock.now() + time; clock.now() < end;) {
            timers.advance(step);
            for (std::size_t i = 0; i < entryCount; ++i) {
                if (!isUsed(i))
                    continue;
                entries[i]->due += perSecond * absl::ToDoubleSeconds(step);
                for (; entries[i]->due >= 1; entries[i]->due -= 1)
                    request(i);
            }
        }
    }

    void reportShares(std::size_t index)
    {
        wire::HeldSlots held;
        held.instance = "e" + std::to_string(index);
        held.charges = entries[index]->shares.giveBack();
        broker.adoptHeldSlots(held);
    }

    /// Another broker takes over.
    void replaceBroker()
    {
        broker.reset();
        isBrokerAlive = true;
        for (std::size_t i = 0; i < entryCount; ++i) {
            entries[i]->shares.take();
            entries[i]->shares.handleNewBroker();
            reportShares(i);
        }
    }

    /// Loses the broker under a load of \a perSecond at each entry until the next one takes over.
    void loseBroker(double perSecond)
    {
        isBrokerAlive = false;
        run(takeover, perSecond);
        replaceBroker();
    }

    /// The same broker is in reach again.
    void regainBroker()
    {
        isBrokerAlive = true;
        for (std::size_t i = 0; i < entryCount; ++i)
            reportShares(i);
    }

    std::size_t mostInAWindow() const
    {
        std::size_t most = 0;
        for (std::size_t first = 0, next = 0; first < grants.size(); ++first) {
            while (next < grants.size() && grants[next] - grants[first] <= window)
                ++next;
            most = std::max(most, next - first);
        }
        return most;
    }

    ManualClock clock;
    ManualTimerService timers{clock};
    SlotBroker broker{timers, clock, brokerSettings()};
    std::vector<std::unique_ptr<Entry>> entries;
    bool isBrokerAlive = true;
    std::uint64_t lastRequest = 0;
    std::vector<absl::Time> grants;
    int refused = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RateSharesTest, Fixture)

// Guards against a second burst when the broker is lost: QUOTA. The shares of the entries had
// filled while the broker granted.
BOOST_AUTO_TEST_CASE(lossOfTheBrokerGrantsNoSecondBurst)
{
    run(absl::Milliseconds(700), flood);
    loseBroker(flood);
    run(absl::Seconds(6), flood);
    // The burst is granted once; the rest of the tolerance is left for further losses.
    BOOST_TEST(static_cast<double>(mostInAWindow()) <= bound - tolerance / 2);
    // Nothing of the rate is lost either.
    BOOST_TEST(static_cast<double>(mostInAWindow()) >= rate * absl::ToDoubleSeconds(window));
}

// Guards against the same when brokers are lost one after another.
BOOST_AUTO_TEST_CASE(lossesOfSeveralBrokersGrantNoFurtherBursts)
{
    run(absl::Milliseconds(700), flood);
    for (int loss = 0; loss < 4; ++loss) {
        loseBroker(flood);
        run(absl::Milliseconds(800), flood);
    }
    BOOST_TEST(static_cast<double>(mostInAWindow()) <= bound);
}

// Guards against a burst from the shares of entries that had no requests of the workspace before
// the broker was lost, whose clients come to them then.
BOOST_AUTO_TEST_CASE(entriesThatHeardOfNoLevelGrantAShareOfTheTolerance)
{
    run(absl::Seconds(2), 6 * rate, [](std::size_t entry) { return entry == 0; });
    loseBroker(flood);
    run(absl::Seconds(5), flood);
    BOOST_TEST(static_cast<double>(mostInAWindow()) <= bound);
}

// Guards against a broker that is frozen, or restarted, and grants again what the shares have
// granted meanwhile.
BOOST_AUTO_TEST_CASE(brokerThatReturnsChargesWhatWasGrantedMeanwhile)
{
    run(absl::Milliseconds(700), flood);
    isBrokerAlive = false;
    run(absl::Milliseconds(3200), flood);
    regainBroker();
    run(absl::Seconds(5), flood);
    BOOST_TEST(static_cast<double>(mostInAWindow()) <= bound);
    isBrokerAlive = false;
    run(absl::Milliseconds(500), flood);
    // The process is another one at the same address, so that the entries notice no new broker.
    broker.reset();
    regainBroker();
    run(absl::Seconds(5), flood);
    BOOST_TEST(static_cast<double>(mostInAWindow()) <= bound);
}

// Guards against a burst of an entry that is cut off when the broker is lost, and of one that
// starts then.
BOOST_AUTO_TEST_CASE(entriesThatAreCutOffOrStartGrantNoBurst)
{
    run(absl::Milliseconds(700), flood);
    isBrokerAlive = false;
    entries[0]->isCutOff = true;
    run(takeover / 2, flood);
    entries[1] = std::make_unique<Entry>(*this);
    run(takeover / 2, flood);
    replaceBroker();
    run(absl::Seconds(1), flood);
    entries[0]->isCutOff = false;
    entries[0]->shares.take();
    reportShares(0);
    run(absl::Seconds(5), flood);
    BOOST_TEST(static_cast<double>(mostInAWindow()) <= bound);
}

// Guards against a burst from the share of an entry that lost the broker long ago and has had no
// request since.
BOOST_AUTO_TEST_CASE(entryThatNoticedNoReturnGrantsNoBurst)
{
    for (const auto &entry : entries)
        entry->isCutOff = true;
    for (std::size_t i = 0; i < entryCount; ++i)
        request(i);
    for (const auto &entry : entries)
        entry->isCutOff = false;
    timers.advance(absl::Seconds(3));
    reportShares(0);
    run(absl::Seconds(2), 6 * rate, [](std::size_t entry) { return entry == 0; });
    loseBroker(flood);
    run(absl::Seconds(5), flood);
    BOOST_TEST(static_cast<double>(mostInAWindow()) <= bound);
}

// Guards against a burst because the rate changes while the broker is lost.
BOOST_AUTO_TEST_CASE(changeOfTheRateMeanwhileGrantsNoBurst)
{
    run(absl::Milliseconds(700), flood);
    isBrokerAlive = false;
    run(takeover / 2, flood);
    for (const auto &entry : entries)
        entry->local.setDeployment(deploymentOfRate(rate / 2, burst / 2));
    broker.setDeployment(deploymentOfRate(rate / 2, burst / 2));
    run(takeover / 2, flood);
    replaceBroker();
    run(absl::Seconds(2), flood);
    broker.setDeployment(deploymentOfRate(rate, burst));
    run(absl::Seconds(5), flood);
    BOOST_TEST(static_cast<double>(mostInAWindow()) <= bound);
}

// Guards against requests inside the rate that are refused because the broker is lost or replaced.
BOOST_AUTO_TEST_CASE(requestsInsideTheRateAreGrantedThroughout)
{
    constexpr double perSecond = 0.75 * rate / entryCount;
    run(absl::Seconds(3), perSecond);
    for (int loss = 0; loss < 3; ++loss) {
        loseBroker(perSecond);
        run(absl::Milliseconds(900), perSecond);
    }
    BOOST_TEST(refused == 0);
    // A workspace that uses its burst at once, after it was idle.
    timers.advance(absl::Seconds(5));
    for (std::size_t i = 0; i < 30; ++i)
        request(i % entryCount);
    isBrokerAlive = false;
    for (std::size_t i = 0; i < 24; ++i)
        request(i % entryCount);
    BOOST_TEST(refused == 0);
}

// Guards against more than the contract in some window in any order of losses, returns and changes
// of the load.
BOOST_AUTO_TEST_CASE(boundHoldsUnderRandomLosses)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        Fixture fixture;
        std::mt19937 random(seed);
        const auto pick = [&random](int count) {
            return std::uniform_int_distribution<int>(0, count - 1)(random);
        };
        for (int i = 0; i < 8; ++i) {
            const unsigned used = static_cast<unsigned>(pick(63)) + 1;
            const auto isUsed = [used](std::size_t entry) { return (used >> entry & 1) != 0; };
            fixture.run(absl::Milliseconds(2000 + pick(3000)), flood, isUsed);
            fixture.isBrokerAlive = false;
            fixture.run(absl::Milliseconds(300 + pick(2500)), flood, isUsed);
            if (pick(3) == 0)
                fixture.regainBroker();
            else
                fixture.replaceBroker();
        }
        BOOST_TEST_INFO("seed " << seed);
        BOOST_TEST(static_cast<double>(fixture.mostInAWindow()) <= bound);
    }
}

BOOST_AUTO_TEST_SUITE_END()
