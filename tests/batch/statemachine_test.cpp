#include "rattanrill/batch/statemachine.h"

#include "batchdriver.h"
#include "claimtable.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace rattanrill;
using namespace rattanrill::batch;
using wire::ItemState;
using wire::JobState;

namespace {

template <typename T>
bool refused(const Outcome<T> &outcome, ErrorCode code)
{
    return !outcome.ok() && outcome.failure().code == code
           && outcome.failure().effect == EffectState::NotRun;
}

std::map<std::string, int> countByWorkspace(const std::vector<wire::LeasedItem> &items)
{
    std::map<std::string, int> counts;
    for (const wire::LeasedItem &item : items)
        ++counts[item.workspace];
    return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StateMachineTest)

// Guards against items that are added twice, left out or replaced when parts of an upload are
// resent or arrive out of order.
BOOST_AUTO_TEST_CASE(uploadRangesAreIdempotent)
{
    BatchDriver driver;
    const wire::AppendItems first{"f", "w", 0, {itemSpec(0), itemSpec(1)}};
    const wire::AppendItems overlap{"f", "w", 1, {itemSpec(1), itemSpec(2)}};
    driver.apply(first);
    BOOST_TEST(driver.apply(first).value().file.itemCount == 2u);
    BOOST_TEST(driver.apply(overlap).value().file.itemCount == 3u);
    BOOST_TEST(refused(driver.apply(wire::AppendItems{"f", "w", 4, {itemSpec(4)}}),
                       ErrorCode::Conflict));
    BOOST_TEST(refused(driver.apply(wire::AppendItems{"f", "w", 0, {itemSpec(9)}}),
                       ErrorCode::Conflict));
    BOOST_TEST(refused(driver.apply(wire::AppendItems{"f", "w", 3, {itemSpec(3), itemSpec(0)}}),
                       ErrorCode::DuplicateItem));
    BOOST_TEST(refused(driver.apply(wire::SealFile{"f", "w", 4, 1}), ErrorCode::Conflict));
    BOOST_TEST(driver.apply(wire::SealFile{"f", "w", 3, 1}).value().file.sealed);
    BOOST_TEST(driver.apply(overlap).ok());
    BOOST_TEST(refused(driver.apply(wire::AppendItems{"f", "w", 3, {itemSpec(3)}}),
                       ErrorCode::Conflict));
}

// Guards against a second job when CreateJob is resent (F2).
BOOST_AUTO_TEST_CASE(sameIdempotencyKeyReturnsSameJob)
{
    BatchDriver driver;
    driver.upload("f", "w", 2);
    driver.upload("g", "w", 2);
    driver.apply(wire::AppendItems{"open", "w", 0, {itemSpec(0)}});
    BOOST_TEST(refused(driver.apply(wire::CreateJob{"j-0", "w", "open", "", 0, 0, ""}),
                       ErrorCode::InvalidRequest));
    BOOST_TEST(refused(driver.apply(wire::CreateJob{"j-0", "other", "f", "", 0, 0, ""}),
                       ErrorCode::NotFound));
    driver.apply(wire::CreateJob{"j-1", "w", "f", "k", 5, 60000, ""});
    driver.restart();
    const auto again = driver.apply(wire::CreateJob{"j-2", "w", "f", "k", 6, 60000, ""});
    BOOST_TEST(again.value().job.jobId == "j-1");
    BOOST_TEST(refused(driver.apply(wire::CreateJob{"j-3", "w", "g", "k", 5, 60000, ""}),
                       ErrorCode::Conflict));
    BOOST_TEST(driver.query(wire::ListJobs{""}).value().jobs.size() == 1u);
}

// Guards against a workspace with many items that delays other workspaces with the same due time,
// and against an urgent job that is queued behind jobs that are due later.
BOOST_AUTO_TEST_CASE(earliestDueJobIsLeasedFirstAndWorkspacesAlternate)
{
    BatchDriver driver;
    driver.makeJob("large-1", "large", 50, 2000);
    driver.makeJob("large-2", "large", 50, 2000);
    driver.makeJob("small", "small", 5, 2000);
    driver.makeJob("urgent", "large", 3, 1500);
    const auto first = countByWorkspace(driver.lease(3));
    BOOST_TEST(first.at("large") == 3);
    driver.restart();
    const auto next = countByWorkspace(driver.lease(10));
    BOOST_TEST(next.at("large") == 5);
    BOOST_TEST(next.at("small") == 5);
}

// Guards against two results of one item: a result must be dropped when its holder has lost the
// lease, names another item or job, or sends it twice.
BOOST_AUTO_TEST_CASE(resultWithoutCurrentLeaseIsDropped)
{
    BatchDriver driver;
    driver.makeJob("j", "w", 1);
    const auto old = driver.lease(1).at(0).item;
    driver.nowMs += 5000;
    const auto current = driver.lease(1, "e-2").at(0).item;
    BOOST_TEST(current.lease > old.lease);
    BOOST_TEST(driver.complete(old, "late").value().dropped == 1u);
    const wire::ItemRef otherItem{"j", 1, current.lease};
    const wire::ItemRef otherJob{"k", 0, current.lease};
    BOOST_TEST(driver.complete(otherItem).value().dropped == 1u);
    BOOST_TEST(driver.complete(otherJob).value().dropped == 1u);
    BOOST_TEST(driver.complete(current, "first").value().accepted == 1u);
    BOOST_TEST(driver.complete(current, "again").value().dropped == 1u);
    BOOST_TEST(driver.results("j").at(0).body == "first");
    BOOST_TEST((driver.job("j").state == JobState::Completed));
}

// Guards against preempted items that fail because preemptions count as failed attempts, and
// against items that fail forever and prevent their job from ending.
BOOST_AUTO_TEST_CASE(onlyFailedAttemptsCountTowardsLimit)
{
    BatchDriver driver;
    driver.makeJob("j", "w", 1);
    for (int round = 0; round < 50; ++round)
        driver.apply(wire::ReleaseItems{{driver.lease(1).at(0).item}, false, "", 0});
    for (int attempts = 0; attempts < maxFailedAttempts; ++attempts) {
        BOOST_TEST((driver.job("j").state == JobState::InProgress));
        const auto leased = driver.lease(1).at(0);
        BOOST_TEST(leased.failedTries == attempts);
        driver.apply(wire::ReleaseItems{{leased.item}, true, "upstream_failed", 0});
    }
    BOOST_TEST((driver.job("j").state == JobState::Completed));
    BOOST_TEST(driver.job("j").counts.failed == 1u);
    BOOST_TEST(driver.results("j").at(0).reason == "upstream_failed");
}

// Guards against an item that is leased forever because it crashes every entry that runs it.
BOOST_AUTO_TEST_CASE(itemFailsAfterMaxExpiredLeases)
{
    BatchDriver driver;
    driver.makeJob("j", "w", 1);
    for (int round = 0; round < maxExpiredLeases; ++round) {
        BOOST_REQUIRE(driver.lease(1).size() == 1u);
        driver.nowMs += 5000;
    }
    BOOST_TEST(driver.lease(1).empty());
    BOOST_TEST(driver.results("j").at(0).reason == "lease_expired");
}

// Guards against a retry before the backoff has ended, also after a restore from a snapshot.
BOOST_AUTO_TEST_CASE(backoffDelaysTheNextLease)
{
    BatchDriver driver;
    driver.makeJob("j", "w", 1);
    driver.apply(wire::ReleaseItems{{driver.lease(1).at(0).item}, true, "timeout", 100});
    driver.nowMs += 99;
    BOOST_TEST(driver.lease(1).empty());
    driver.restart();
    driver.nowMs += 1;
    BOOST_TEST(driver.lease(1).size() == 1u);
}

// Guards against a cancelled job whose items are still leased or renewed (R2) or whose counts do
// not add up.
BOOST_AUTO_TEST_CASE(cancelStopsLeasingAndReportsLostLeases)
{
    BatchDriver driver;
    driver.makeJob("j", "w", 6);
    const auto leased = driver.lease(4);
    driver.complete(leased[0].item);
    const auto status = driver.apply(wire::CancelJob{"j", "w"}).value().job;
    BOOST_TEST((status.state == JobState::Cancelling));
    BOOST_TEST(status.counts.cancelled == 2u);
    BOOST_TEST(status.counts.open == 3u);
    BOOST_TEST(driver.lease(10).empty());
    BOOST_TEST(driver.complete(leased[1].item).value().accepted == 1u);
    driver.restart();
    const wire::RenewLeases renew{"e-1", 5000, {leased[2].item}};
    BOOST_TEST(driver.apply(renew).value().lost.size() == 1u);
    driver.nowMs += 5000;
    driver.apply(wire::AdvanceTime{});
    BOOST_TEST((driver.job("j").state == JobState::Cancelled));
    BOOST_TEST(driver.job("j").counts.completed == 2u);
    BOOST_TEST(driver.job("j").counts.cancelled == 4u);
    BOOST_TEST(driver.apply(wire::CancelJob{"j", "w"}).ok());
}

// Guards against the renewal of a lease by another holder or after the lease has expired.
BOOST_AUTO_TEST_CASE(renewalReportsLostLeases)
{
    BatchDriver driver;
    driver.makeJob("j", "w", 2);
    const auto leased = driver.lease(2);
    BOOST_TEST(driver.apply(wire::RenewLeases{"e-2", 5000, {leased[0].item}}).value().lost.size()
               == 1u);
    driver.nowMs += 4000;
    driver.apply(wire::RenewLeases{"e-1", 5000, {leased[0].item}});
    driver.nowMs += 4000;
    const wire::RenewLeases both{"e-1", 5000, {leased[0].item, leased[1].item}};
    const auto lost = driver.apply(both).value().lost;
    BOOST_REQUIRE(lost.size() == 1u);
    BOOST_TEST(lost[0].index == 1u);
}

// Guards against results that are out of order, cannot be read while the job runs or are removed
// before the retention has ended.
BOOST_AUTO_TEST_CASE(resultsAreReadableInOrderUntilRetentionEnds)
{
    BatchDriver driver;
    driver.makeJob("j", "w", 3);
    const auto leased = driver.lease(3);
    driver.complete(leased[2].item, "two");
    driver.complete(leased[0].item, "zero");
    BOOST_TEST(driver.results("j").at(0).body == "zero");
    BOOST_TEST(driver.results("j").at(1).customId == "item-2");
    driver.complete(leased[1].item, "one");
    const auto page = driver.query(wire::ReadResults{"j", "w", 1, 1}).value();
    BOOST_TEST(page.results.at(0).body == "one");
    BOOST_TEST(page.nextIndex == 2u);
    driver.nowMs += 59999;
    driver.apply(wire::AdvanceTime{});
    BOOST_TEST(driver.results("j").size() == 3u);
    driver.nowMs += 1;
    driver.apply(wire::AdvanceTime{});
    driver.restart();
    BOOST_TEST(refused(driver.query(wire::ReadResults{"j", "w", 0, 9}), ErrorCode::ResultExpired));
    BOOST_TEST(driver.job("j").counts.completed == 3u);
    driver.nowMs += expiredJobRetentionMs;
    driver.apply(wire::AdvanceTime{});
    BOOST_TEST(refused(driver.query(wire::ReadJob{"j", "w"}), ErrorCode::NotFound));
}

// Guards against access to jobs and files of another workspace.
BOOST_AUTO_TEST_CASE(jobsOfOtherWorkspacesAreNotFound)
{
    BatchDriver driver;
    driver.makeJob("j", "w", 1);
    BOOST_TEST(refused(driver.query(wire::ReadJob{"j", "x"}), ErrorCode::NotFound));
    BOOST_TEST(refused(driver.query(wire::ReadResults{"j", "x", 0, 1}), ErrorCode::NotFound));
    BOOST_TEST(refused(driver.query(wire::ReadFile{"file-j", "x"}), ErrorCode::NotFound));
    BOOST_TEST(refused(driver.apply(wire::CancelJob{"j", "x"}), ErrorCode::NotFound));
}

// Guards against a second run of a non-idempotent request (R10), which happens if a claim is won by
// a second holder while the first still holds it.
BOOST_AUTO_TEST_CASE(claimIsWonByOneHolderUntilItIsAbandoned)
{
    BatchDriver driver;
    const auto claim = [&](const std::string &holder, const std::string &hash = "h") {
        return driver.apply(wire::ClaimRequest{"w", "k", hash, holder, 1000});
    };
    BOOST_TEST(claim("e-1").value().claim.won);
    BOOST_TEST(claim("e-1").value().claim.won);
    BOOST_TEST(!claim("e-2").value().claim.won);
    BOOST_TEST(refused(claim("e-2", "other"), ErrorCode::Conflict));
    driver.nowMs += 1000000;
    driver.restart();
    BOOST_TEST(!claim("e-2").value().claim.won);
    BOOST_TEST(refused(driver.apply(wire::AbandonClaim{"w", "k", "e-2"}), ErrorCode::Conflict));
    driver.apply(wire::AbandonClaim{"w", "k", "e-1"});
    BOOST_TEST(claim("e-2").value().claim.won);
    BOOST_TEST(refused(driver.apply(wire::FinishClaim{"w", "k", "e-1", 200, "t", "b"}),
                       ErrorCode::Conflict));
    driver.apply(wire::FinishClaim{"w", "k", "e-2", 200, "t", "answer"});
    BOOST_TEST(refused(driver.apply(wire::AbandonClaim{"w", "k", "e-2"}), ErrorCode::Conflict));
    driver.restart();
    BOOST_TEST(!claim("e-2").value().claim.won);
    BOOST_TEST(claim("e-3").value().claim.body == "answer");
    driver.nowMs += 1000;
    BOOST_TEST(claim("e-3").value().claim.won);
}

// Guards against a key that is blocked permanently because a delayed ClaimRequest arrives after the
// AbandonClaim of the same holder.
BOOST_AUTO_TEST_CASE(claimArrivingAfterAbandonIsRefused)
{
    BatchDriver driver;
    const wire::ClaimRequest late{"w", "k", "h", "e-1", 1000};
    driver.apply(wire::AbandonClaim{"w", "k", "e-1"});
    driver.restart();
    BOOST_TEST(refused(driver.apply(late), ErrorCode::Conflict));
    BOOST_TEST(driver.apply(wire::ClaimRequest{"w", "k", "h", "e-2", 1000}).value().claim.won);
    BOOST_TEST(!driver.apply(late).value().claim.won);
}

// Guards against exhausting the limit of running claims by claims whose holders have failed.
BOOST_AUTO_TEST_CASE(overdueClaimsDoNotCountAgainstTheLimit)
{
    ClaimTable claims;
    std::int64_t nowMs = 1000;
    const auto claim = [&](std::size_t key, const char *holder) {
        const wire::ClaimRequest request{"w", std::to_string(key), "h", holder, 1000};
        return outcomeOf([&] { return claims.claim(request, nowMs); });
    };
    for (std::size_t key = 0; key < maxRunningClaims; ++key)
        BOOST_REQUIRE(claim(key, "e-1").ok());
    BOOST_TEST(refused(claim(maxRunningClaims, "e-1"), ErrorCode::QueueFull));
    nowMs += 1000;
    claims.expire(nowMs);
    BOOST_TEST(claim(maxRunningClaims, "e-1").value().won);
    BOOST_TEST(!claim(0, "e-2").value().won);
}

// Guards against a restore that accepts corrupt bytes or changes the state although it fails.
BOOST_AUTO_TEST_CASE(damagedSnapshotIsRefusedAndChangesNothing)
{
    BatchDriver driver;
    driver.makeJob("j", "w", 3);
    driver.complete(driver.lease(2).at(0).item);
    const std::string snapshot = driver.machine().snapshot();
    const auto codeOf = [&](const std::string &bytes) {
        const auto outcome = outcomeOf([&] { return driver.machine().restore(bytes); });
        return outcome.ok() ? ErrorCode::Internal : outcome.failure().code;
    };
    for (std::size_t position = 0; position < snapshot.size(); ++position) {
        std::string damaged = snapshot;
        damaged[position] = static_cast<char>(damaged[position] ^ 0x10);
        const ErrorCode code = codeOf(damaged);
        const bool expectedCode =
                code == ErrorCode::CorruptData || code == ErrorCode::UnsupportedFormat;
        BOOST_REQUIRE(expectedCode);
        BOOST_REQUIRE((codeOf(snapshot.substr(0, position)) != ErrorCode::Internal));
    }
    BOOST_TEST((driver.machine().snapshot() == snapshot));
}

BOOST_AUTO_TEST_SUITE_END()
