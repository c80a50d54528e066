#include "rattanrill/directory/statemachine.h"

#include "directorydriver.h"
#include "responsecache.h"

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

/// Whether the write failed with \a code and was not applied.
bool failsWith(const Outcome<wire::DirectoryResult> &outcome, ErrorCode code)
{
    return !outcome.ok() && outcome.failure().code == code
           && outcome.failure().effect == EffectState::NotRun;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StateMachineTest)

// Guards against lost updates when two operators write from the same base revision, and
// against a failure that does not name the current revision of the record and the base revision of
// the write.
BOOST_AUTO_TEST_CASE(secondWriteFromTheSameBaseRevisionFailsWithConflict)
{
    DirectoryDriver driver;
    BOOST_REQUIRE(driver.write(wire::PutContract{contractOf("w", 1)}, 0).ok());
    BOOST_REQUIRE(driver.write(wire::PutContract{contractOf("w", 2)}, 1).ok());
    const auto second = driver.write(wire::PutContract{contractOf("w", 3)}, 1);
    BOOST_TEST(failsWith(second, ErrorCode::Conflict));
    BOOST_TEST(second.failure().detail.find("revision 2") != std::string::npos);
    BOOST_TEST(second.failure().detail.find("revision 1") != std::string::npos);
    BOOST_TEST(driver.view().contract("w")->ratePerSecond == 2);
}

// Guards against a write that is applied twice, or receives another response, when a client resends
// it after its response was lost and the replica was restored from a snapshot.
BOOST_AUTO_TEST_CASE(resendReceivesTheFirstResponseAlsoAfterRestore)
{
    DirectoryDriver driver;
    const auto first = driver.write(wire::PutContract{contractOf("w")}, 0, "r-1");
    const auto refusedWrite = driver.write(wire::PutContract{contractOf("w", 9)}, 0, "r-2");
    BOOST_REQUIRE(first.ok());
    BOOST_REQUIRE(failsWith(refusedWrite, ErrorCode::Conflict));
    driver.restart();
    const auto again = driver.write(wire::PutContract{contractOf("w")}, 0, "r-1");
    BOOST_REQUIRE(again.ok());
    BOOST_TEST(again.value().revision == first.value().revision);
    const auto refusedAgain = driver.write(wire::PutContract{contractOf("w", 9)}, 0, "r-2");
    BOOST_TEST(refusedAgain.failure().detail == refusedWrite.failure().detail);
    BOOST_TEST(failsWith(driver.write(wire::WithdrawContract{"w"}, 1, "r-1"),
                         ErrorCode::DuplicateRequest));
    BOOST_TEST(driver.view().revision() == 1u);
}

// Guards against adding a second key when the creation of a key is resent: the server generates a
// new key for each attempt.
BOOST_AUTO_TEST_CASE(resentKeyCreationReturnsTheFirstKey)
{
    DirectoryDriver driver;
    driver.write(wire::PutContract{contractOf("w")}, 0);
    driver.write(wire::AddKey{keyOf("k-1", "w", 'a')}, 0, "r-1");
    const auto again = driver.write(wire::AddKey{keyOf("k-2", "w", 'b')}, 0, "r-1");
    BOOST_REQUIRE(again.ok());
    BOOST_TEST(again.value().id == "k-1");
    BOOST_TEST(!driver.view().apiKeyByHash(std::string(64, 'b')));
}

// Guards against a revoked key that becomes valid again because its id or hash is added again.
BOOST_AUTO_TEST_CASE(withdrawnKeyCanNeverBeAddedAgain)
{
    DirectoryDriver driver;
    driver.write(wire::PutContract{contractOf("w")}, 0);
    driver.write(wire::AddKey{keyOf("k", "w", 'a')}, 0);
    driver.write(wire::RevokeKey{"k"}, 2);
    driver.restart();
    BOOST_TEST(failsWith(driver.writeUnconditionally(wire::AddKey{keyOf("k", "w", 'b')}),
                         ErrorCode::Conflict));
    BOOST_TEST(failsWith(driver.writeUnconditionally(wire::AddKey{keyOf("k-2", "w", 'a')}),
                         ErrorCode::Conflict));
    BOOST_TEST(driver.view().apiKeyByHash(std::string(64, 'a'))->withdrawn);
}

// Guards against keys that stay valid after their contract was withdrawn, or that are added after
// that.
BOOST_AUTO_TEST_CASE(withdrawnContractWithdrawsItsKeysInTheSameRevision)
{
    DirectoryDriver driver;
    BOOST_TEST(failsWith(driver.write(wire::AddKey{keyOf("k", "w", 'a')}, 0), ErrorCode::NotFound));
    driver.write(wire::PutContract{contractOf("w")}, 0);
    driver.write(wire::AddKey{keyOf("k-1", "w", 'a')}, 0);
    driver.write(wire::AddKey{keyOf("k-2", "w", 'b')}, 0);
    const DirectoryView before = driver.view();
    BOOST_TEST(driver.write(wire::WithdrawContract{"w"}, 1).value().revision == 4u);
    const DirectoryView after = driver.updated(before);
    BOOST_TEST(after.revision() == 4u);
    BOOST_TEST(after.contract("w")->withdrawn);
    BOOST_TEST(after.apiKeyByHash(std::string(64, 'a'))->withdrawn);
    BOOST_TEST(after.apiKeyByHash(std::string(64, 'b'))->withdrawn);
    BOOST_TEST(!before.apiKeyByHash(std::string(64, 'b'))->withdrawn);
    BOOST_TEST(
            failsWith(driver.write(wire::AddKey{keyOf("k-3", "w", 'c')}, 0), ErrorCode::Conflict));
}

// Guards against a fencing token that is issued twice when an upstream is removed and added again:
// the upstream would then accept a command with an outdated token.
BOOST_AUTO_TEST_CASE(fencingTokensOnlyIncrease)
{
    DirectoryDriver driver;
    const wire::Upstream upstream{"u", wire::UpstreamKind::Engine, "m", "127.0.0.1", 80, "d"};
    BOOST_TEST(failsWith(driver.writeUnconditionally(wire::IssueFencingToken{"u"}),
                         ErrorCode::NotFound));
    driver.writeUnconditionally(wire::PutUpstream{upstream});
    BOOST_TEST(driver.writeUnconditionally(wire::IssueFencingToken{"u"}).value().fence == 1u);
    driver.writeUnconditionally(wire::RemoveUpstream{"u"});
    driver.restart();
    driver.writeUnconditionally(wire::PutUpstream{upstream});
    BOOST_TEST(driver.writeUnconditionally(wire::IssueFencingToken{"u"}).value().fence == 2u);
}

// Guards against quarantining a request after crashes of one upstream only, and against a
// quarantine that does not expire.
BOOST_AUTO_TEST_CASE(requestIsQuarantinedAfterCrashesOfTwoUpstreamsUntilItExpires)
{
    DirectoryDriver driver;
    driver.nowMs = 1000;
    BOOST_TEST(!driver.writeUnconditionally(wire::ReportCrash{"f", "u-1", 500}).value().held);
    BOOST_TEST(!driver.writeUnconditionally(wire::ReportCrash{"f", "u-1", 500}).value().held);
    BOOST_TEST(driver.writeUnconditionally(wire::ReportCrash{"f", "u-2", 500}).value().held);
    BOOST_TEST(bool(driver.view().quarantinedRequest("f", 1499)));
    BOOST_TEST(!driver.view().quarantinedRequest("f", 1500));
    driver.nowMs = 1500;
    BOOST_TEST(!driver.writeUnconditionally(wire::ReportCrash{"f", "u-3", 500}).value().held);
    BOOST_TEST(!driver.view().quarantinedRequest("f", 1500));
}

// Guards against two processes that are members under one instance name, and against a delayed join
// of the replaced process.
BOOST_AUTO_TEST_CASE(replacedIncarnationCannotJoinAgain)
{
    DirectoryDriver driver;
    driver.writeUnconditionally(wire::JoinMember{memberOf("e", "one")});
    const std::uint64_t joined = driver.view().memberRevision();
    driver.writeUnconditionally(wire::JoinMember{memberOf("e", "one")});
    BOOST_TEST(driver.view().memberRevision() == joined);
    driver.writeUnconditionally(wire::JoinMember{memberOf("e", "two")});
    driver.restart();
    BOOST_TEST(failsWith(driver.writeUnconditionally(wire::JoinMember{memberOf("e", "one")}),
                         ErrorCode::NotMember));
    BOOST_TEST(failsWith(driver.writeUnconditionally(wire::RemoveMember{"e", "one"}),
                         ErrorCode::Conflict));
    driver.writeUnconditionally(wire::RemoveMember{"e", "two"});
    BOOST_TEST(driver.view().members().empty());
    // A process that resumes after a pause still has the same incarnation.
    BOOST_TEST(driver.writeUnconditionally(wire::JoinMember{memberOf("e", "two")}).ok());
}

// Guards against entry instances that compute owners from different member revisions: a removed
// member leaves no record, so the records of a snapshot do not show its removal.
BOOST_AUTO_TEST_CASE(snapshotAndDeltasGiveTheSameMemberRevision)
{
    DirectoryDriver driver;
    driver.writeUnconditionally(wire::JoinMember{memberOf("e", "one")});
    const DirectoryView before = driver.view();
    driver.writeUnconditionally(wire::RemoveMember{"e", ""});
    driver.writeUnconditionally(wire::PutContract{contractOf("w")});
    BOOST_TEST(driver.updated(before).memberRevision() == 2u);
    BOOST_TEST(driver.updated(DirectoryView()).memberRevision() == 2u);
}

// Guards against routes that hide the API or the health and metrics paths of the entry, and against
// field values with which later arithmetic or lookups would be undefined.
BOOST_AUTO_TEST_CASE(fieldsAreValidated)
{
    DirectoryDriver driver;
    for (const std::string prefix :
         {"", "desk", "/", "/v1", "/v1/", "/v1/completions/x", "/v", "/metrics", "/healthz/x",
          "/a//b", "/a/../b", "/a?b", "/a b", "/a%2f"}) {
        BOOST_TEST(failsWith(driver.writeUnconditionally(wire::PutRoute{routeOf("r", prefix)}),
                             ErrorCode::InvalidRequest),
                   prefix);
    }
    BOOST_TEST(driver.writeUnconditionally(wire::PutRoute{routeOf("r", "/v10")}).ok());
    BOOST_TEST(failsWith(driver.writeUnconditionally(wire::PutRoute{routeOf("s", "/v10/")}),
                         ErrorCode::Conflict));
    for (const double rate : {-1.0, std::nan(""), std::numeric_limits<double>::infinity()}) {
        BOOST_TEST(failsWith(driver.writeUnconditionally(wire::PutContract{contractOf("w", rate)}),
                             ErrorCode::InvalidRequest));
    }
    for (const std::int64_t port : {-1, 0, 65536}) {
        const wire::Upstream upstream{"u", wire::UpstreamKind::Engine, "m", "h", port, "d"};
        BOOST_TEST(failsWith(driver.writeUnconditionally(wire::PutUpstream{upstream}),
                             ErrorCode::InvalidRequest));
    }
    BOOST_TEST(failsWith(driver.writeUnconditionally(wire::PutConfig{{"c", "{", 0}}),
                         ErrorCode::InvalidRequest));
    BOOST_TEST(driver.view().revision() == 1u);
}

// Guards against a subscriber that keeps removed records, or misses changes, when the history of a
// restored replica no longer contains all changes since the view of the subscriber.
BOOST_AUTO_TEST_CASE(subscriberBehindTheHistoryReceivesASnapshot)
{
    DirectoryDriver driver;
    driver.writeUnconditionally(wire::PutRoute{routeOf("r", "/old")});
    driver.writeUnconditionally(wire::PutContract{contractOf("w", 1)});
    const DirectoryView before = driver.view();
    driver.writeUnconditionally(wire::RemoveRoute{"r"});
    for (std::size_t change = 0; change <= maxChangeHistory; ++change)
        driver.writeUnconditionally(wire::PutContract{contractOf("w", 2)});
    driver.restart();
    BOOST_TEST(driver.query(before.revision()).snapshot);
    BOOST_TEST(!driver.query(driver.view().revision() - 1).snapshot);
    const DirectoryView after = driver.updated(before);
    BOOST_TEST(!after.route("/old"));
    BOOST_TEST(after.contract("w")->ratePerSecond == 2);
}

// Guards against a cache that grows with every request id, and against evicting the newest ones.
BOOST_AUTO_TEST_CASE(oldestCachedResponseIsEvictedFirst)
{
    ResponseCache cache(2);
    for (const char *id : {"a", "b", "c"})
        cache.add({id, 0, id});
    BOOST_TEST(cache.find("a") == nullptr);
    BOOST_TEST(cache.find("b")->bytes == "b");
    BOOST_TEST(cache.find("c")->bytes == "c");
}

// Guards against a restore that accepts a damaged or truncated snapshot, or that fails after it has
// changed a part of the state.
BOOST_AUTO_TEST_CASE(damagedSnapshotIsRefusedAndChangesNothing)
{
    DirectoryDriver driver;
    driver.writeUnconditionally(wire::PutContract{contractOf("w")});
    const std::string snapshot = driver.machine().snapshot();
    for (std::size_t position = 0; position < snapshot.size(); ++position) {
        std::string damaged = snapshot;
        damaged[position] = static_cast<char>(damaged[position] ^ 0x10);
        const ErrorCode code = driver.restoreFailure(damaged);
        const bool expectedCode =
                code == ErrorCode::CorruptData || code == ErrorCode::UnsupportedFormat;
        BOOST_REQUIRE(expectedCode);
        BOOST_REQUIRE((driver.restoreFailure(snapshot.substr(0, position)) != ErrorCode::Internal));
    }
    BOOST_TEST(driver.machine().snapshot() == snapshot);
}

BOOST_AUTO_TEST_SUITE_END()
