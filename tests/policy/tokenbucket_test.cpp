#include "rattanrill/policy/tokenbucket.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>
#include <random>
#include <vector>

using namespace rattanrill::policy;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

/// A contract and the time from which it applies.
struct ContractPhase
{
    absl::Time from;
    RateContract contract;
};

/// Returns the sum of rate * t over the phases between \a begin and \a end. A lower rate applies
/// only after \a longestWait, the longest wait granted before it.
double accruedUnits(const std::vector<ContractPhase> &phases, absl::Time begin, absl::Time end,
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

/// Returns the number of units by which use exceeds the bound in the worst window; negative when it
/// stays below.
double worstExcess(const std::vector<ContractPhase> &phases, std::vector<absl::Time> used,
                   absl::Duration longestWait)
{
    std::sort(used.begin(), used.end());
    double burst = 0;
    for (const ContractPhase &phase : phases)
        burst = std::max(burst, phase.contract.burst);
    double worst = -burst;
    for (std::size_t i = 0; i < used.size(); ++i) {
        for (std::size_t j = i; j < used.size(); ++j) {
            const double bound = accruedUnits(phases, used[i], used[j], longestWait) + burst;
            worst = std::max(worst, static_cast<double>(j - i + 1) - bound);
        }
    }
    return worst;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TokenBucketTest)

// Guards against a second burst after a change of owner. The previous owner may just have granted
// the whole burst.
BOOST_AUTO_TEST_CASE(newOwnerStartsEmpty)
{
    TokenBucket bucket({10, 50}, start);
    BOOST_TEST(!bucket.take(start, 1).granted);
    BOOST_TEST(bucket.take(start + absl::Milliseconds(101), 1).granted);
    BOOST_TEST(!bucket.take(start + absl::Milliseconds(102), 1).granted);
}

// Guards against units that come into use before the previous owner's lease and the waits that it
// granted have ended.
BOOST_AUTO_TEST_CASE(nothingComesIntoUseBeforeTheStart)
{
    TokenBucket bucket({10, 50}, start + absl::Seconds(2));
    BOOST_TEST(!bucket.take(start, 1, absl::Seconds(2)).granted);
    const RateGrant grant = bucket.take(start, 1, absl::Seconds(3));
    BOOST_TEST(grant.granted);
    BOOST_TEST((grant.wait >= absl::Milliseconds(2100)));
}

// Guards against a returned wait that is too short, so that the caller's retry is refused again.
BOOST_AUTO_TEST_CASE(retryAfterTheReturnedWaitSucceeds)
{
    TokenBucket bucket({4, 4}, start);
    const RateGrant refused = bucket.take(start, 2, absl::Milliseconds(100));
    BOOST_TEST(!refused.granted);
    BOOST_TEST(bucket.take(start + refused.wait, 2, absl::Milliseconds(100)).granted);
}

// Guards against a grant of more units than the burst, and against a caller that retries without
// end because a finite wait is returned.
BOOST_AUTO_TEST_CASE(moreThanTheBurstIsNeverGranted)
{
    TokenBucket bucket({100, 5}, start);
    const RateGrant grant = bucket.take(start + absl::Hours(1), 6, absl::Hours(1));
    BOOST_TEST(!grant.granted);
    BOOST_TEST((grant.wait == absl::InfiniteDuration()));
}

// Guards against a burst that is refilled when the contract is changed back and forth.
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

// Guards against a window in which more units come into use than rate and burst allow, under random
// demand, waits, contract changes and a clock that steps back.
BOOST_AUTO_TEST_CASE(noWindowExceedsRateAndBurst)
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        std::mt19937 random(seed);
        const auto uniform = [&](double low, double high) {
            return std::uniform_real_distribution<double>(low, high)(random);
        };
        const absl::Duration maxWait = absl::Milliseconds(uniform(0, 400));
        std::vector<ContractPhase> phases{{start, {uniform(1, 40), uniform(1, 20)}}};
        TokenBucket bucket(phases[0].contract, start);
        std::vector<absl::Time> used;
        absl::Time now = start;
        for (int i = 0; i < 400; ++i) {
            now += absl::Milliseconds(uniform(0, 30));
            if (uniform(0, 1) < 0.02) {
                phases.push_back({now, {uniform(1, 40), uniform(1, 20)}});
                bucket.setContract(now, phases.back().contract);
            }
            const absl::Time observedNow = uniform(0, 1) < 0.1 ? now - absl::Milliseconds(5) : now;
            const RateGrant grant = bucket.take(observedNow, 1, maxWait);
            if (grant.granted)
                used.push_back(observedNow + grant.wait);
        }
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(worstExcess(phases, used, maxWait) <= 1e-6);
        }
    }
}

// Guards against a window that exceeds rate and burst across a change of owner. The bucket of the
// new owner starts at the end of the previous owner's lease plus the longest wait.
BOOST_AUTO_TEST_CASE(ownerChangeStaysInsideTheContract)
{
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 random(seed);
        std::uniform_real_distribution<double> uniform(0, 1);
        const RateContract contract{5 + 20 * uniform(random), 1 + 20 * uniform(random)};
        const absl::Duration maxWait = absl::Milliseconds(200);
        const absl::Time leaseEnd = start + absl::Seconds(10 * uniform(random));
        TokenBucket previousOwner(contract, start);
        TokenBucket nextOwner(contract, leaseEnd + maxWait);
        std::vector<absl::Time> used;
        for (absl::Time now = start; now < start + absl::Seconds(20);
             now += absl::Milliseconds(40 * uniform(random))) {
            TokenBucket &owner = now < leaseEnd ? previousOwner : nextOwner;
            const RateGrant grant = owner.take(now, 1, maxWait);
            if (grant.granted)
                used.push_back(now + grant.wait);
        }
        BOOST_TEST(worstExcess({{start, contract}}, used, maxWait) <= 1e-6);
    }
}

// Guards against requests of several processes that all count as granted in the same idle time.
BOOST_AUTO_TEST_CASE(idleTimeIsUsedByOneChargeOnly)
{
    const absl::Time now = start + absl::Seconds(2);
    TokenBucket bucket({10, 10}, start, 10);
    bucket.charge(now, 15, start);
    BOOST_TEST(bucket.level(now) == 10, boost::test_tools::tolerance(1e-6));
    bucket.charge(now, 15, start);
    BOOST_TEST(bucket.level(now) == 0, boost::test_tools::tolerance(1e-6));
}

BOOST_AUTO_TEST_SUITE_END()
