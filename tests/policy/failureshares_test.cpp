#include "rattanrill/policy/failureshares.h"

#include "absl/time/time.h"

#include <boost/test/unit_test.hpp>

#include <malloc.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

using namespace rattanrill::policy;

namespace {

/// Far more than the workspaces of the last seconds need.
constexpr std::size_t maxWorkspaceBytes = std::size_t(1) << 20;

/// Upstreams of one service, "0" to "N - 1", that respond one after another.
struct Fixture
{
    void setCount(int count)
    {
        for (int i = 0; i < count; ++i)
            upstreams.push_back(std::to_string(i));
    }

    /// One response of each upstream in \a interval; those below \a failing respond with an error.
    /// Returns the number of ejections.
    int respond(int failing, absl::Duration interval = absl::Milliseconds(100))
    {
        int ejections = 0;
        now += interval;
        for (int i = 0; i < static_cast<int>(upstreams.size()); ++i) {
            const std::string id = std::to_string(i);
            if (shares.isEjected(now, id))
                continue;
            if (i < failing)
                ejections += shares.failed(now, id, workspace, upstreams) ? 1 : 0;
            else
                shares.succeeded(now, id, workspace);
        }
        return ejections;
    }

    absl::Time now = absl::FromUnixSeconds(1000);
    std::string workspace = "w";
    std::vector<std::string> upstreams;
    FailureShares shares;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FailureSharesTest, Fixture)

// Guards against an upstream that is ejected because of single errors.
BOOST_AUTO_TEST_CASE(fewErrorsEjectNothing)
{
    setCount(6);
    // 2.9 decayed errors after three, so the fourth begins the suspicion, which lasts 500 ms.
    for (int i = 0; i < 8; ++i)
        BOOST_TEST(respond(1) == 0);
    BOOST_TEST(respond(1) == 1);
    BOOST_TEST(shares.isEjected(now, "0"));
}

// Guards against ejections because of errors that all upstreams return, and against more ejections
// than the others can bear the load of.
BOOST_AUTO_TEST_CASE(atMostAThirdIsEjected)
{
    for (const int failing : {9, 12, 15, 36}) {
        shares = FailureShares();
        upstreams.clear();
        setCount(36);
        int ejections = 0;
        for (int i = 0; i < 10; ++i)
            ejections += respond(failing);
        BOOST_TEST(ejections == (failing == 36 ? 0 : std::min(failing, 12)));
    }
}

// Guards against failing upstreams that stay because those which were ejected no longer accept
// tasks: they are not part of the third.
BOOST_AUTO_TEST_CASE(onlyEjectionsOfCandidatesCount)
{
    setCount(12);
    int ejections = 0;
    for (int i = 0; i < 9; ++i)
        ejections += respond(4);
    BOOST_TEST_REQUIRE(ejections == 4);
    // The four ejected ones leave. Another one begins to fail.
    const std::vector<std::string> remaining(upstreams.begin() + 4, upstreams.end());
    for (int i = 0; i < 30; ++i) {
        now += absl::Milliseconds(25);
        BOOST_TEST_REQUIRE(shares.isEjected(now, "0"));
        for (const std::string &id : remaining) {
            if (id == "4")
                shares.failed(now, id, workspace, remaining);
            else
                shares.succeeded(now, id, workspace);
        }
    }
    BOOST_TEST(shares.isEjected(now, "4"));
}

// Guards against a service without an upstream: a single one is never ejected, and of two only one.
BOOST_AUTO_TEST_CASE(smallServicesKeepAnUpstream)
{
    setCount(1);
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(respond(1) == 0);
    BOOST_TEST(!shares.isSuspected(now, "0"));
    shares = FailureShares();
    upstreams.clear();
    setCount(2);
    for (int i = 0; i < 9; ++i)
        respond(1);
    BOOST_TEST(shares.isEjected(now, "0"));
    for (int i = 0; i < 9; ++i)
        BOOST_TEST(!shares.failed(now, "1", workspace, upstreams));
}

// Guards against an ejection because of requests that fail everywhere, while only one upstream gets
// requests.
BOOST_AUTO_TEST_CASE(upstreamIsNotJudgedAlone)
{
    setCount(3);
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(!shares.failed(now, "0", workspace, upstreams));
    BOOST_TEST(shares.isSuspected(now, "0"));
    BOOST_TEST(!shares.hasRespondedSinceSuspicion(now, "1"));
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(!shares.failed(now, "1", workspace, upstreams));
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(!shares.failed(now, "2", workspace, upstreams));
    BOOST_TEST(!shares.failed(now, "0", workspace, upstreams));
    BOOST_TEST(!shares.isSuspected(now, "0"));
}

// Guards against the ejection of sound upstreams to which the requests of one workspace, which fail
// everywhere, go first, and against an upstream that fails the requests of all workspaces and
// stays.
BOOST_AUTO_TEST_CASE(errorsOfOneWorkspaceEjectNothing)
{
    setCount(6);
    const auto runAll = [&](const std::vector<std::string> &failing) {
        bool isEjected = false;
        for (int i = 0; i < 200; ++i) {
            now += absl::Milliseconds(20);
            for (const std::string &id : upstreams)
                shares.succeeded(now, id, "good");
            for (const std::string &name : failing)
                isEjected = shares.failed(now, "0", name, upstreams) || isEjected;
        }
        return isEjected;
    };
    BOOST_TEST(!runAll({"bad"}));
    BOOST_TEST(runAll({"bad", "good", "other"}));
    shares = FailureShares();
    BOOST_TEST(runAll({"good", "good"}));
}

// Guards against a relapse that is seen in errors long after an ejection.
BOOST_AUTO_TEST_CASE(oldEjectionIsForgotten)
{
    setCount(6);
    while (respond(1) == 0) {
    }
    now += absl::Hours(1);
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(!shares.failed(now, "0", workspace, upstreams));
}

// Guards against an upstream that fails 40% of its requests and that each success clears.
BOOST_AUTO_TEST_CASE(ejectionsGrowWhileAPartOfTheRequestsFails)
{
    setCount(6);
    std::vector<absl::Duration> lengths;
    for (int i = 0; lengths.size() < 6 && i < 2000; ++i) {
        const bool fails = i % 5 == 1 || i % 5 == 3;
        if (respond(fails ? 1 : 0, absl::Milliseconds(50)) != 0)
            lengths.push_back(shares.ejectedUntil("0") - now);
    }
    const std::vector<absl::Duration> expected = {absl::Seconds(1), absl::Seconds(2),
                                                  absl::Seconds(4), absl::Seconds(8),
                                                  absl::Seconds(8), absl::Seconds(8)};
    BOOST_TEST((lengths == expected));
}

// Guards against an upstream that has recovered and is ejected again, for longer, by its first
// error because of the errors before its ejection. The others fail as often.
BOOST_AUTO_TEST_CASE(relapseNeedsNewErrors)
{
    setCount(6);
    while (respond(1) == 0) {
    }
    now = shares.ejectedUntil("0");
    int ejections = 0;
    // Each upstream fails one request of eight.
    for (int i = 0; i < 80; ++i) {
        now += absl::Milliseconds(50);
        for (int upstream = 0; upstream < 6; ++upstream) {
            const std::string id = std::to_string(upstream);
            if (shares.isEjected(now, id))
                continue;
            if ((i + upstream) % 8 == 0)
                ejections += shares.failed(now, id, workspace, upstreams) ? 1 : 0;
            else
                shares.succeeded(now, id, workspace);
        }
    }
    BOOST_TEST(ejections == 0);
}

// Guards against an upstream that is down for longer than its ejections and, on each return, fails
// more requests than it has to.
BOOST_AUTO_TEST_CASE(upstreamThatStillFailsAfterItsReturnIsEjectedSoon)
{
    setCount(6);
    while (respond(1) == 0) {
    }
    for (int i = 0; i < 3; ++i) {
        now = shares.ejectedUntil("0");
        int errors = 0;
        for (; !shares.isEjected(now, "0"); ++errors)
            respond(1);
        // 2.9 decayed errors after three.
        BOOST_TEST(errors <= 4);
    }
}

// Guards against memory for each workspace that an upstream has ever served: while it has no
// errors, and after it was ejected and has recovered.
BOOST_AUTO_TEST_CASE(workspacesAreForgottenWhileNothingIsSuspected)
{
    setCount(2);
    for (const bool wasEjected : {false, true}) {
        while (wasEjected && respond(1) == 0) {
        }
        const std::size_t before = mallinfo2().uordblks;
        for (int i = 0; i < 100000; ++i) {
            workspace = "workspace-with-a-name-of-its-own-" + std::to_string(i);
            respond(0, absl::Milliseconds(20));
        }
        const std::size_t growth = mallinfo2().uordblks - before;
        BOOST_TEST_MESSAGE("bytes after 100,000 workspaces: " << growth);
        BOOST_TEST(growth < maxWorkspaceBytes);
    }
}

// Guards against an upstream that has recovered and gets little traffic, or a long ejection for
// later errors.
BOOST_AUTO_TEST_CASE(recoveredUpstreamGetsItsTrafficBack)
{
    setCount(6);
    while (respond(1) == 0) {
    }
    BOOST_TEST(shares.trafficShare(now, "0") == 0);
    for (int i = 0; i < 35; ++i)
        respond(0);
    BOOST_TEST(shares.trafficShare(now, "0") == 1);
    for (int i = 0; i < 100; ++i)
        respond(0);
    while (respond(1) == 0) {
    }
    BOOST_TEST((shares.ejectedUntil("0") - now == absl::Seconds(1)));
}

// Guards against an upstream that returns under its id and is judged by its former history.
BOOST_AUTO_TEST_CASE(removedUpstreamIsForgotten)
{
    setCount(6);
    while (respond(1) == 0) {
    }
    shares.retain({"1", "2"});
    BOOST_TEST(!shares.isEjected(now, "0"));
    BOOST_TEST(respond(1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
