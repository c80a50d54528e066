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
           && outcome.failure().run == EffectState::NotRun;
}

std::map<std::string, int> byWorkspace(const std::vector<wire::LeasedItem> &items)
{
    std::map<std::string, int> counts;
    for (const wire::LeasedItem &item : items)
        ++counts[item.workspace];
    return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StateMachineTest)

// Guards against items that a resent or reordered upload adds twice, leaves out or replaces.
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

// Guards against a second job when its creation is resent (F2).
BOOST_AUTO_TEST_CASE(sameIdempotencyKeyIsTheSameJob)
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

// Guards against a workspace whose surge delays others with the same due time, and against late
// jobs behind early ones.
BOOST_AUTO_TEST_CASE(earliestDueComesFirstAndWorkspacesOfEqualDueTimeTakeTurns)
{
    BatchDriver driver;
    driver.makeJob("large-1", "large", 50, 2000);
    driver.makeJob("large-2", "large", 50, 2000);
    driver.makeJob("small", "small", 5, 2000);
    driver.makeJob("urgent", "large", 3, 1500);
    const auto first = byWorkspace(driver.lease(3));
    BOOST_TEST(first.at("large") == 3);
    driver.restart();
    const auto next = byWorkspace(driver.lease(10));
    BOOST_TEST(next.at("large") == 5);
    BOOST_TEST(next.at("small") == 5);
}

// Guards against two results of one item: the result of a holder that lost its lease must not
// count.
BOOST_AUTO_TEST_CASE(lateResultUnderAnOldLeaseIsDropped)
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

// Guards against preempted items that run out of tries, and against items that hold up their job.
BOOST_AUTO_TEST_CASE(onlyFailedTriesCountAndTheyAreBounded)
{
    BatchDriver driver;
    driver.makeJob("j", "w", 1);
    for (int round = 0; round < 50; ++round)
        driver.apply(wire::ReleaseItems{{driver.lease(1).at(0).item}, false, "", 0});
    for (int tries = 0; tries < maxFailedAttempts; ++tries) {
        BOOST_TEST((driver.job("j").state == JobState::InProgress));
        const auto leased = driver.lease(1).at(0);
        BOOST_TEST(leased.failedTries == tries);
        driver.apply(wire::ReleaseItems{{leased.item}, true, "upstream_failed", 0});
    }
    BOOST_TEST((driver.job("j").state == JobState::Completed));
    BOOST_TEST(driver.job("j").counts.failed == 1u);
    BOOST_TEST(driver.results("j").at(0).reason == "upstream_failed");
}

// Guards against an item without end that stops every entry that runs it.
BOOST_AUTO_TEST_CASE(expiredLeasesAreBounded)
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

// Guards against a retry before its backoff, also after a restart.
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

// Guards against a cancelled job that goes on (R2) or whose counts do not add up.
BOOST_AUTO_TEST_CASE(cancelStopsLeasingAndTellsHolders)
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

// Guards against leases that are renewed by a holder that lost them.
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

// Guards against results out of order, unreadable while the job runs, or lost before retention
// ends.
BOOST_AUTO_TEST_CASE(resultsAreReadableInOrderUntilRetentionIsOver)
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

// Guards against another workspace that reads or cancels a job.
BOOST_AUTO_TEST_CASE(jobsOfOtherWorkspacesAreNotFound)
{
    BatchDriver driver;
    driver.makeJob("j", "w", 1);
    BOOST_TEST(refused(driver.query(wire::ReadJob{"j", "x"}), ErrorCode::NotFound));
    BOOST_TEST(refused(driver.query(wire::ReadResults{"j", "x", 0, 1}), ErrorCode::NotFound));
    BOOST_TEST(refused(driver.query(wire::ReadFile{"file-j", "x"}), ErrorCode::NotFound));
    BOOST_TEST(refused(driver.apply(wire::CancelJob{"j", "x"}), ErrorCode::NotFound));
}

// Guards against a second run of a non-idempotent request (R10).
BOOST_AUTO_TEST_CASE(claimIsWonByOneHolderUntilItIsGivenBack)
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

// Guards against a key that is blocked for good by a delayed copy of a claim that was given back.
BOOST_AUTO_TEST_CASE(claimThatArrivesAfterItsAbandonIsRefused)
{
    BatchDriver driver;
    const wire::ClaimRequest late{"w", "k", "h", "e-1", 1000};
    driver.apply(wire::AbandonClaim{"w", "k", "e-1"});
    driver.restart();
    BOOST_TEST(refused(driver.apply(late), ErrorCode::Conflict));
    BOOST_TEST(driver.apply(wire::ClaimRequest{"w", "k", "h", "e-2", 1000}).value().claim.won);
    BOOST_TEST(!driver.apply(late).value().claim.won);
}

// Guards against lost holders that use up the limit of running claims.
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

// Guards against a restore that accepts damaged bytes or that leaves half a state behind.
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
        const bool typed = code == ErrorCode::CorruptData || code == ErrorCode::UnsupportedFormat;
        BOOST_REQUIRE(typed);
        BOOST_REQUIRE((codeOf(snapshot.substr(0, position)) != ErrorCode::Internal));
    }
    BOOST_TEST((driver.machine().snapshot() == snapshot));
}

BOOST_AUTO_TEST_SUITE_END()
