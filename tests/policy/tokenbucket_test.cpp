#include "rattanrill/policy/tokenbucket.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>
#include <random>
#include <vector>

using namespace rattanrill::policy;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

struct Phase
{
    absl::Time from;
    RateContract contract;
};

/// rate * t over the phases between two points in time. A lower rate counts from the end of the
/// longest wait granted before it.
double granted(const std::vector<Phase> &phases, absl::Time begin, absl::Time end,
               absl::Duration longestWait)
{
    double units = 0;
    for (std::size_t i = 0; i < phases.size(); ++i) {
        absl::Time to = i + 1 < phases.size() ? phases[i + 1].from : absl::InfiniteFuture();
        if (i + 1 < phases.size()
            && phases[i + 1].contract.ratePerSecond < phases[i].contract.ratePerSecond)
            to += longestWait;
        const absl::Time from = std::max(begin, phases[i].from);
        const double seconds = absl::ToDoubleSeconds(std::min(end, to) - from);
        units += std::max(seconds, 0.0) * phases[i].contract.ratePerSecond;
    }
    return units;
}

/// Units used above the bound in the worst window.
double worstExcess(const std::vector<Phase> &phases, std::vector<absl::Time> used,
                   absl::Duration longestWait)
{
    std::sort(used.begin(), used.end());
    double burst = 0;
    for (const Phase &phase : phases)
        burst = std::max(burst, phase.contract.burst);
    double worst = -burst;
    for (std::size_t i = 0; i < used.size(); ++i) {
        for (std::size_t j = i; j < used.size(); ++j) {
            const double bound = granted(phases, used[i], used[j], longestWait) + burst;
            worst = std::max(worst, static_cast<double>(j - i + 1) - bound);
        }
    }
    return worst;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TokenBucketTest)

// Guards against a second burst after an owner change: the former owner may have granted one.
BOOST_AUTO_TEST_CASE(newOwnerStartsEmpty)
{
    TokenBucket bucket({10, 50}, start);
    BOOST_TEST(!bucket.take(start, 1).granted);
    BOOST_TEST(bucket.take(start + absl::Milliseconds(101), 1).granted);
    BOOST_TEST(!bucket.take(start + absl::Milliseconds(102), 1).granted);
}

// Guards against grants before the former owner's lease and last waits have ended.
BOOST_AUTO_TEST_CASE(nothingComesIntoUseBeforeTheStart)
{
    TokenBucket bucket({10, 50}, start + absl::Seconds(2));
    BOOST_TEST(!bucket.take(start, 1, absl::Seconds(2)).granted);
    const RateGrant grant = bucket.take(start, 1, absl::Seconds(3));
    BOOST_TEST(grant.granted);
    BOOST_TEST((grant.wait >= absl::Milliseconds(2100)));
}

// Guards against a retry-after that is too early, after which the caller is refused again.
BOOST_AUTO_TEST_CASE(retryAfterTheAnnouncedTimeSucceeds)
{
    TokenBucket bucket({4, 4}, start);
    const RateGrant refused = bucket.take(start, 2, absl::Milliseconds(100));
    BOOST_TEST(!refused.granted);
    BOOST_TEST(bucket.take(start + refused.wait, 2, absl::Milliseconds(100)).granted);
}

// Guards against granting what the contract can never grant, and against an endless retry.
BOOST_AUTO_TEST_CASE(moreThanTheBurstIsNeverGranted)
{
    TokenBucket bucket({100, 5}, start);
    const RateGrant grant = bucket.take(start + absl::Hours(1), 6, absl::Hours(1));
    BOOST_TEST(!grant.granted);
    BOOST_TEST((grant.wait == absl::InfiniteDuration()));
}

// Guards against a contract that is switched back and forth to refill the burst.
BOOST_AUTO_TEST_CASE(changedContractGrantsNoSecondBurst)
{
    TokenBucket bucket({1, 10}, start);
    const absl::Time later = start + absl::Seconds(100);
    int granted = 0;
    for (int i = 0; i < 50; ++i) {
        granted += bucket.take(later, 1).granted ? 1 : 0;
        bucket.setContract(later, {1, i % 2 == 0 ? 20.0 : 10.0});
    }
    BOOST_TEST(granted == 10);
}

// Guards against over-admission in any window under random demand, waits, clocks that step back
// and contract changes.
BOOST_AUTO_TEST_CASE(noWindowExceedsRateAndBurst)
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        std::mt19937 random(seed);
        const auto number = [&](double low, double high) {
            return std::uniform_real_distribution<double>(low, high)(random);
        };
        const absl::Duration maxWait = absl::Milliseconds(number(0, 400));
        std::vector<Phase> phases{{start, {number(1, 40), number(1, 20)}}};
        TokenBucket bucket(phases[0].contract, start);
        std::vector<absl::Time> used;
        absl::Time now = start;
        for (int i = 0; i < 400; ++i) {
            now += absl::Milliseconds(number(0, 30));
            if (number(0, 1) < 0.02) {
                phases.push_back({now, {number(1, 40), number(1, 20)}});
                bucket.setContract(now, phases.back().contract);
            }
            const absl::Time seen = number(0, 1) < 0.1 ? now - absl::Milliseconds(5) : now;
            const RateGrant grant = bucket.take(seen, 1, maxWait);
            if (grant.granted)
                used.push_back(seen + grant.wait);
        }
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(worstExcess(phases, used, maxWait) <= 1e-6);
        }
    }
}

// Guards against over-admission across an owner change: two buckets, the second one started at the
// end of the lease plus the longest wait.
BOOST_AUTO_TEST_CASE(ownerChangeStaysInsideTheContract)
{
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 random(seed);
        std::uniform_real_distribution<double> number(0, 1);
        const RateContract contract{5 + 20 * number(random), 1 + 20 * number(random)};
        const absl::Duration maxWait = absl::Milliseconds(200);
        const absl::Time leaseEnd = start + absl::Seconds(10 * number(random));
        TokenBucket former(contract, start);
        TokenBucket next(contract, leaseEnd + maxWait);
        std::vector<absl::Time> used;
        for (absl::Time now = start; now < start + absl::Seconds(20);
             now += absl::Milliseconds(40 * number(random))) {
            TokenBucket &owner = now < leaseEnd ? former : next;
            const RateGrant grant = owner.take(now, 1, maxWait);
            if (grant.granted)
                used.push_back(now + grant.wait);
        }
        BOOST_TEST(worstExcess({{start, contract}}, used, maxWait) <= 1e-6);
    }
}

BOOST_AUTO_TEST_SUITE_END()
