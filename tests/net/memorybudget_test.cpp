#include "rattanrill/net/memorybudget.h"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace rattanrill;
using namespace rattanrill::net;

namespace {

constexpr std::size_t mebibyte = std::size_t(1) << 20;
/// Longer than the time after which a client counts as stalled.
constexpr absl::Duration stall = absl::Seconds(3);

/// A share that counts how often it was given up.
struct Owner
{
    Owner(const std::shared_ptr<MemoryBudget> &budget, MemoryUse use)
        : share(budget, use, [this] { ++givenUp; })
    {}

    int givenUp = 0;
    MemoryShare share;
};

struct Fixture
{
    ManualClock clock;
    std::shared_ptr<MemoryBudget> budget =
            std::make_shared<MemoryBudget>(MemoryLimits{16 * mebibyte, 8 * mebibyte}, clock);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MemoryBudgetTest, Fixture)

// Guards against clients that stop before the end of their bodies and so keep all others out, and
// against the loss of a body that still arrives.
BOOST_AUTO_TEST_CASE(longestStalledBodyIsGivenUp)
{
    Owner moving(budget, MemoryUse::Receiving);
    Owner stalledFirst(budget, MemoryUse::Receiving);
    BOOST_TEST(moving.share.resize(5 * mebibyte));
    BOOST_TEST(stalledFirst.share.resize(4 * mebibyte));
    clock.advance(stall);
    Owner stalledLater(budget, MemoryUse::Receiving);
    BOOST_TEST(stalledLater.share.resize(4 * mebibyte));
    clock.advance(stall);
    moving.share.recordProgress();
    Owner newcomer(budget, MemoryUse::Receiving);
    BOOST_TEST(newcomer.share.resize(5 * mebibyte));
    BOOST_TEST(stalledFirst.givenUp == 1);
    BOOST_TEST(stalledLater.givenUp == 0);
    BOOST_TEST(moving.givenUp == 0);
    BOOST_TEST(budget->requestBytes() == 14 * mebibyte);
}

// Guards against a newcomer that ends a body that moves or a request that runs.
BOOST_AUTO_TEST_CASE(newcomerIsRefusedWhileTheOthersMoveOrRun)
{
    Owner running(budget, MemoryUse::Receiving);
    BOOST_TEST(running.share.resize(7 * mebibyte));
    running.share.startRunning();
    clock.advance(stall);
    Owner moving(budget, MemoryUse::Receiving);
    BOOST_TEST(moving.share.resize(6 * mebibyte));
    Owner newcomer(budget, MemoryUse::Receiving);
    BOOST_TEST(!newcomer.share.resize(2 * mebibyte));
    BOOST_TEST(running.givenUp + moving.givenUp == 0);
    BOOST_TEST(budget->requestBytes() == 13 * mebibyte);
    BOOST_TEST(budget->refusedRequests() == 1u);
}

// Guards against bodies without a length that grow together until none of them fits: the newest one
// is refused, so that the others end.
BOOST_AUTO_TEST_CASE(newestBodyIsGivenUpForOneThatGrows)
{
    Owner first(budget, MemoryUse::Receiving);
    Owner second(budget, MemoryUse::Receiving);
    BOOST_TEST(first.share.resize(6 * mebibyte));
    BOOST_TEST(second.share.resize(6 * mebibyte));
    BOOST_TEST(first.share.resize(9 * mebibyte));
    BOOST_TEST(second.givenUp == 1);
    BOOST_TEST(first.givenUp == 0);
}

// Guards against ordinary callers who are refused because large bodies use the whole budget.
BOOST_AUTO_TEST_CASE(smallRequestFitsBesideLargeOnes)
{
    Owner large(budget, MemoryUse::Receiving);
    BOOST_TEST(large.share.resize(14 * mebibyte));
    large.share.startRunning();
    Owner other(budget, MemoryUse::Receiving);
    BOOST_TEST(!other.share.resize(mebibyte));
    Owner small(budget, MemoryUse::Receiving);
    BOOST_TEST(small.share.resize(64 * 1024));
}

// Guards against a growing body that ends the requests of ordinary callers, which free little.
BOOST_AUTO_TEST_CASE(smallRequestsAreNotGivenUpForLargeOnes)
{
    Owner small(budget, MemoryUse::Receiving);
    BOOST_TEST(small.share.resize(1000));
    clock.advance(stall);
    Owner large(budget, MemoryUse::Receiving);
    BOOST_TEST(!large.share.resize(15 * mebibyte));
    BOOST_TEST(small.givenUp == 0);
    BOOST_TEST(budget->requestBytes() == 1000u);
}

// Guards against the loss of a response that is read, for one that nobody reads, and against the
// loss of responses because of requests.
BOOST_AUTO_TEST_CASE(responseThatNobodyReadsIsGivenUp)
{
    Owner unread(budget, MemoryUse::Unsent);
    BOOST_TEST(unread.share.resize(mebibyte));
    clock.advance(stall);
    Owner read(budget, MemoryUse::Unsent);
    Owner buffered(budget, MemoryUse::Buffered);
    Owner request(budget, MemoryUse::Receiving);
    BOOST_TEST(read.share.resize(3 * mebibyte));
    BOOST_TEST(request.share.resize(14 * mebibyte));
    BOOST_TEST(buffered.share.resize(4 * mebibyte + 1));
    BOOST_TEST(unread.givenUp == 1);
    BOOST_TEST(read.givenUp + request.givenUp == 0);
    BOOST_TEST(!buffered.share.resize(6 * mebibyte));
    BOOST_TEST(budget->responseBytes() == 3 * mebibyte);
}

// Guards against a memory setting with which a request within the documented limits never fits.
BOOST_AUTO_TEST_CASE(oneLegalBodyFitsWithEachSetting)
{
    for (const std::size_t memory : {16 * mebibyte, 96 * mebibyte, 256 * mebibyte}) {
        const auto small = std::make_shared<MemoryBudget>(memoryLimitsOf(memory), clock);
        Owner legal(small, MemoryUse::Receiving);
        BOOST_TEST(legal.share.resize(requestCost(4 * mebibyte) + 16384));
    }
}

// Guards against a limit of bodies that are always refused because they exceed the budget alone,
// and against one below the documented limit.
BOOST_AUTO_TEST_CASE(largestBodyFitsWithEachSetting)
{
    /// Memory of a header of the documented limit that consists of the shortest lines.
    constexpr std::size_t headerBytes = 16384 / 4 * 100;
    for (const std::size_t memory : {16 * mebibyte, 96 * mebibyte, 256 * mebibyte}) {
        const MemoryLimits limits = memoryLimitsOf(memory);
        const std::size_t largest = maxBodyBytesOf(limits);
        BOOST_TEST(largest >= 4 * mebibyte);
        const auto limited = std::make_shared<MemoryBudget>(limits, clock);
        Owner owner(limited, MemoryUse::Receiving);
        BOOST_TEST(owner.share.resize(requestCost(largest) + headerBytes));
        BOOST_TEST(!owner.share.resize(requestCost(largest + mebibyte)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
