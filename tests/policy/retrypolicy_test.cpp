#include "rattanrill/policy/retrypolicy.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill;
using namespace rattanrill::policy;

BOOST_AUTO_TEST_SUITE(RetryPolicyTest)

// Guards against a retry that repeats the effect of a request which may have run.
BOOST_AUTO_TEST_CASE(nonIdempotentIsNotRetriedAfterItMayHaveRun)
{
    RetryPolicy policy{RetrySettings{}};
    BOOST_TEST(!policy.tryAcquireRetry(1, EffectState::MayHaveRun, false));
    BOOST_TEST(policy.tryAcquireRetry(1, EffectState::NotRun, false));
    BOOST_TEST(policy.tryAcquireRetry(1, EffectState::MayHaveRun, true));
}

// Guards against retries that amplify an outage: their number is limited to the budget share of the
// requests plus the initial budget.
BOOST_AUTO_TEST_CASE(retriesStayWithinTheBudget)
{
    RetrySettings settings;
    RetryPolicy policy(settings);
    int retries = 0;
    constexpr int requests = 2000;
    for (int i = 0; i < requests; ++i) {
        policy.recordFirstAttempt();
        for (int attempt = 1; policy.tryAcquireRetry(attempt, EffectState::NotRun, true); ++attempt)
            ++retries;
    }
    BOOST_TEST(retries <= requests * settings.budgetShare + settings.initialBudget);
    BOOST_TEST(retries >= requests * settings.budgetShare - 1);
}

// Guards against callers that retry at the same time, and against backoffs that grow without limit.
BOOST_AUTO_TEST_CASE(backoffIsRandomAndBounded)
{
    RetrySettings settings;
    const RetryPolicy policy(settings);
    std::mt19937_64 random(3);
    bool differs = false;
    const absl::Duration first = policy.backoff(3, random);
    for (int attempt = 1; attempt < 40; ++attempt) {
        const absl::Duration wait = policy.backoff(attempt, random);
        BOOST_TEST((wait >= absl::ZeroDuration() && wait <= settings.maxBackoff));
        differs = differs || wait != first;
    }
    BOOST_TEST(differs);
}

BOOST_AUTO_TEST_SUITE_END()
