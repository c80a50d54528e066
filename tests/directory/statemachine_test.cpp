#include "rattanrill/directory/statemachine.h"

#include "answermemory.h"
#include "directorydriver.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <limits>

using namespace rattanrill;
using namespace rattanrill::directory;

namespace {

wire::Contract contractOf(const std::string &workspace, double rate = 5)
{
    wire::Contract contract;
    contract.workspace = workspace;
    contract.ratePerSecond = rate;
    contract.burst = 10;
    return contract;
}

wire::ApiKey keyOf(const std::string &keyId, const std::string &workspace, char digit)
{
    return {keyId, std::string(64, digit), workspace, false, 0};
}

wire::Member memberOf(const std::string &instance, const std::string &incarnation)
{
    return {instance, "domain-1", "127.0.0.1:1", "127.0.0.1:2", incarnation, 0};
}

wire::Route routeOf(const std::string &name, const std::string &prefix)
{
    return {name, prefix, "order-desk", false, false, 0};
}

bool refused(const Outcome<wire::DirectoryResult> &outcome, ErrorCode code)
{
    return !outcome.ok() && outcome.failure().code == code
           && outcome.failure().run == EffectState::NotRun;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StateMachineTest)

// Guards against lost updates when operators write from the same base revision, and against an
// answer that does not tell the operator which revision to read.
BOOST_AUTO_TEST_CASE(equalBaseRevisionsHaveOneWinnerAndANamedConflict)
{
    DirectoryDriver driver;
    BOOST_REQUIRE(driver.write(wire::PutContract{contractOf("w", 1)}, 0).ok());
    BOOST_REQUIRE(driver.write(wire::PutContract{contractOf("w", 2)}, 1).ok());
    const auto loser = driver.write(wire::PutContract{contractOf("w", 3)}, 1);
    BOOST_TEST(refused(loser, ErrorCode::Conflict));
    BOOST_TEST(loser.failure().detail.find("revision 2") != std::string::npos);
    BOOST_TEST(loser.failure().detail.find("revision 1") != std::string::npos);
    BOOST_TEST(driver.view().contract("w")->ratePerSecond == 2);
}

// Guards against a second effect, or another answer, when a client resends after a lost response
// and a restart of the replica.
BOOST_AUTO_TEST_CASE(resendGetsTheFirstAnswerAlsoAfterRestore)
{
    DirectoryDriver driver;
    const auto first = driver.write(wire::PutContract{contractOf("w")}, 0, "r-1");
    const auto lost = driver.write(wire::PutContract{contractOf("w", 9)}, 0, "r-2");
    BOOST_REQUIRE(first.ok());
    BOOST_REQUIRE(refused(lost, ErrorCode::Conflict));
    driver.restart();
    const auto again = driver.write(wire::PutContract{contractOf("w")}, 0, "r-1");
    BOOST_REQUIRE(again.ok());
    BOOST_TEST(again.value().revision == first.value().revision);
    const auto lostAgain = driver.write(wire::PutContract{contractOf("w", 9)}, 0, "r-2");
    BOOST_TEST(lostAgain.failure().detail == lost.failure().detail);
    BOOST_TEST(refused(driver.write(wire::WithdrawContract{"w"}, 1, "r-1"),
                       ErrorCode::DuplicateRequest));
    BOOST_TEST(driver.view().revision() == 1u);
}

// Guards against a second key when key creation is resent: the server draws a new key each time.
BOOST_AUTO_TEST_CASE(resentKeyCreationNamesTheFirstKey)
{
    DirectoryDriver driver;
    driver.write(wire::PutContract{contractOf("w")}, 0);
    driver.write(wire::AddKey{keyOf("k-1", "w", 'a')}, 0, "r-1");
    const auto again = driver.write(wire::AddKey{keyOf("k-2", "w", 'b')}, 0, "r-1");
    BOOST_REQUIRE(again.ok());
    BOOST_TEST(again.value().id == "k-1");
    BOOST_TEST(!driver.view().apiKeyByHash(std::string(64, 'b')));
}

// Guards against a revoked key that comes back.
BOOST_AUTO_TEST_CASE(withdrawnKeyCanNeverBeAddedAgain)
{
    DirectoryDriver driver;
    driver.write(wire::PutContract{contractOf("w")}, 0);
    driver.write(wire::AddKey{keyOf("k", "w", 'a')}, 0);
    driver.write(wire::RevokeKey{"k"}, 2);
    driver.restart();
    BOOST_TEST(
            refused(driver.writeAnyway(wire::AddKey{keyOf("k", "w", 'b')}), ErrorCode::Conflict));
    BOOST_TEST(
            refused(driver.writeAnyway(wire::AddKey{keyOf("k-2", "w", 'a')}), ErrorCode::Conflict));
    BOOST_TEST(driver.view().apiKeyByHash(std::string(64, 'a'))->withdrawn);
}

// Guards against keys that outlive their contract, or that are added after its end.
BOOST_AUTO_TEST_CASE(withdrawnContractWithdrawsItsKeysInTheSameRevision)
{
    DirectoryDriver driver;
    BOOST_TEST(refused(driver.write(wire::AddKey{keyOf("k", "w", 'a')}, 0), ErrorCode::NotFound));
    driver.write(wire::PutContract{contractOf("w")}, 0);
    driver.write(wire::AddKey{keyOf("k-1", "w", 'a')}, 0);
    driver.write(wire::AddKey{keyOf("k-2", "w", 'b')}, 0);
    const DirectoryView before = driver.view();
    BOOST_TEST(driver.write(wire::WithdrawContract{"w"}, 1).value().revision == 4u);
    const DirectoryView after = driver.followFrom(before);
    BOOST_TEST(after.revision() == 4u);
    BOOST_TEST(after.contract("w")->withdrawn);
    BOOST_TEST(after.apiKeyByHash(std::string(64, 'a'))->withdrawn);
    BOOST_TEST(after.apiKeyByHash(std::string(64, 'b'))->withdrawn);
    BOOST_TEST(!before.apiKeyByHash(std::string(64, 'b'))->withdrawn);
    BOOST_TEST(refused(driver.write(wire::AddKey{keyOf("k-3", "w", 'c')}, 0), ErrorCode::Conflict));
}

// Guards against an order with an old number that an upstream would obey.
BOOST_AUTO_TEST_CASE(fencingNumbersOnlyGrow)
{
    DirectoryDriver driver;
    const wire::Upstream upstream{"u", wire::UpstreamKind::Engine, "m", "127.0.0.1", 80, "d"};
    BOOST_TEST(refused(driver.writeAnyway(wire::IssueFencingToken{"u"}), ErrorCode::NotFound));
    driver.writeAnyway(wire::PutUpstream{upstream});
    BOOST_TEST(driver.writeAnyway(wire::IssueFencingToken{"u"}).value().fence == 1u);
    driver.writeAnyway(wire::RemoveUpstream{"u"});
    driver.restart();
    driver.writeAnyway(wire::PutUpstream{upstream});
    BOOST_TEST(driver.writeAnyway(wire::IssueFencingToken{"u"}).value().fence == 2u);
}

// Guards against holding a request after crashes of one upstream only, and against a hold without
// end.
BOOST_AUTO_TEST_CASE(requestIsHeldFromTheSecondDistinctUpstreamUntilItExpires)
{
    DirectoryDriver driver;
    driver.nowMs = 1000;
    BOOST_TEST(!driver.writeAnyway(wire::ReportCrash{"f", "u-1", 500}).value().held);
    BOOST_TEST(!driver.writeAnyway(wire::ReportCrash{"f", "u-1", 500}).value().held);
    BOOST_TEST(driver.writeAnyway(wire::ReportCrash{"f", "u-2", 500}).value().held);
    BOOST_TEST(bool(driver.view().quarantinedRequest("f", 1499)));
    BOOST_TEST(!driver.view().quarantinedRequest("f", 1500));
    driver.nowMs = 1500;
    BOOST_TEST(!driver.writeAnyway(wire::ReportCrash{"f", "u-3", 500}).value().held);
    BOOST_TEST(!driver.view().quarantinedRequest("f", 1500));
}

// Guards against two processes under one instance name, and against a delayed join of the old one.
BOOST_AUTO_TEST_CASE(joinReplacesAnOlderIncarnationForGood)
{
    DirectoryDriver driver;
    driver.writeAnyway(wire::JoinMember{memberOf("e", "one")});
    const std::uint64_t joined = driver.view().memberRevision();
    driver.writeAnyway(wire::JoinMember{memberOf("e", "one")});
    BOOST_TEST(driver.view().memberRevision() == joined);
    driver.writeAnyway(wire::JoinMember{memberOf("e", "two")});
    driver.restart();
    BOOST_TEST(refused(driver.writeAnyway(wire::JoinMember{memberOf("e", "one")}),
                       ErrorCode::NotMember));
    BOOST_TEST(refused(driver.writeAnyway(wire::RemoveMember{"e", "one"}), ErrorCode::Conflict));
    driver.writeAnyway(wire::RemoveMember{"e", "two"});
    BOOST_TEST(driver.view().members().empty());
    // A frozen process that comes back is the same incarnation.
    BOOST_TEST(driver.writeAnyway(wire::JoinMember{memberOf("e", "two")}).ok());
}

// Guards against entries that choose owners by different revisions after a snapshot: a removed
// member leaves no record.
BOOST_AUTO_TEST_CASE(snapshotAndDeltasGiveTheSameMemberRevision)
{
    DirectoryDriver driver;
    driver.writeAnyway(wire::JoinMember{memberOf("e", "one")});
    const DirectoryView before = driver.view();
    driver.writeAnyway(wire::RemoveMember{"e", ""});
    driver.writeAnyway(wire::PutContract{contractOf("w")});
    BOOST_TEST(driver.followFrom(before).memberRevision() == 2u);
    BOOST_TEST(driver.followFrom(DirectoryView()).memberRevision() == 2u);
}

// Guards against routes that hide the callers' interface or the probes, and against fields that
// make later arithmetic or lookups undefined.
BOOST_AUTO_TEST_CASE(fieldsAreValidated)
{
    DirectoryDriver driver;
    for (const std::string prefix :
         {"", "desk", "/", "/v1", "/v1/", "/v1/completions/x", "/v", "/metrics", "/healthz/x",
          "/a//b", "/a/../b", "/a?b", "/a b", "/a%2f"}) {
        BOOST_TEST(refused(driver.writeAnyway(wire::PutRoute{routeOf("r", prefix)}),
                           ErrorCode::InvalidRequest),
                   prefix);
    }
    BOOST_TEST(driver.writeAnyway(wire::PutRoute{routeOf("r", "/v10")}).ok());
    BOOST_TEST(refused(driver.writeAnyway(wire::PutRoute{routeOf("s", "/v10/")}),
                       ErrorCode::Conflict));
    for (const double rate : {-1.0, std::nan(""), std::numeric_limits<double>::infinity()}) {
        BOOST_TEST(refused(driver.writeAnyway(wire::PutContract{contractOf("w", rate)}),
                           ErrorCode::InvalidRequest));
    }
    for (const std::int64_t port : {-1, 0, 65536}) {
        const wire::Upstream upstream{"u", wire::UpstreamKind::Engine, "m", "h", port, "d"};
        BOOST_TEST(refused(driver.writeAnyway(wire::PutUpstream{upstream}),
                           ErrorCode::InvalidRequest));
    }
    BOOST_TEST(
            refused(driver.writeAnyway(wire::PutConfig{{"c", "{", 0}}), ErrorCode::InvalidRequest));
    BOOST_TEST(driver.view().revision() == 1u);
}

// Guards against a follower that keeps removed records, or misses changes, after it fell behind the
// kept history of a restarted replica.
BOOST_AUTO_TEST_CASE(followerBehindTheHistoryGetsAllRecords)
{
    DirectoryDriver driver;
    driver.writeAnyway(wire::PutRoute{routeOf("r", "/old")});
    driver.writeAnyway(wire::PutContract{contractOf("w", 1)});
    const DirectoryView before = driver.view();
    driver.writeAnyway(wire::RemoveRoute{"r"});
    for (std::size_t change = 0; change <= maxChangeHistory; ++change)
        driver.writeAnyway(wire::PutContract{contractOf("w", 2)});
    driver.restart();
    BOOST_TEST(driver.query(before.revision()).snapshot);
    BOOST_TEST(!driver.query(driver.view().revision() - 1).snapshot);
    const DirectoryView after = driver.followFrom(before);
    BOOST_TEST(!after.route("/old"));
    BOOST_TEST(after.contract("w")->ratePerSecond == 2);
}

// Guards against memory that grows with every request id, and against forgetting the newest ones.
BOOST_AUTO_TEST_CASE(oldestAnswerIsForgottenFirst)
{
    AnswerMemory memory(2);
    for (const char *id : {"a", "b", "c"})
        memory.remember({id, 0, id});
    BOOST_TEST(memory.find("a") == nullptr);
    BOOST_TEST(memory.find("b")->bytes == "b");
    BOOST_TEST(memory.find("c")->bytes == "c");
}

// Guards against a restore that accepts damaged bytes or that leaves half a state behind.
BOOST_AUTO_TEST_CASE(damagedSnapshotIsRefusedAndChangesNothing)
{
    DirectoryDriver driver;
    driver.writeAnyway(wire::PutContract{contractOf("w")});
    const std::string snapshot = driver.machine().snapshot();
    for (std::size_t position = 0; position < snapshot.size(); ++position) {
        std::string damaged = snapshot;
        damaged[position] = static_cast<char>(damaged[position] ^ 0x10);
        const ErrorCode code = driver.restoreFailure(damaged);
        const bool typed = code == ErrorCode::CorruptData || code == ErrorCode::UnsupportedFormat;
        BOOST_REQUIRE(typed);
        BOOST_REQUIRE((driver.restoreFailure(snapshot.substr(0, position)) != ErrorCode::Internal));
    }
    BOOST_TEST(driver.machine().snapshot() == snapshot);
}

BOOST_AUTO_TEST_SUITE_END()
