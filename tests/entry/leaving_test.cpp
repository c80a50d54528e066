#include "testfleet.h"

#include "rattanrill/base/concat.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <string>

namespace rattanrill::entry {
namespace {

/// Starts an entry that soon rejects requests for which no engine is available.
void startImpatientEntry(TestFleet &fleet)
{
    fleet.settings().scheduler.maxOnlineQueueTime = absl::Milliseconds(200);
    fleet.startEntry();
    fleet.awaitReady();
}

void setLeaving(ScriptedEngine &upstream, bool leaving)
{
    ScriptedEngine::Script script;
    script.leaving = leaving;
    upstream.setScript(script);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Leaving)

// R11: guards against an entry that sends requests to an engine that announces in its responses
// that it leaves, because the directory still lists the engine as active.
BOOST_AUTO_TEST_CASE(engineThatAnnouncesItsLeaveGetsNoRequestUntilALaterRevision)
{
    TestFleet fleet(0, 1);
    startImpatientEntry(fleet);
    setLeaving(fleet.engine(0), true);
    BOOST_REQUIRE(fleet.engine(0).awaitAnnouncement());
    const std::size_t runs = fleet.engine(0).runs();
    const auto refused = fleet.complete(0, "acme", "p", 1);
    BOOST_TEST(refused->status == 503);
    BOOST_TEST(errorOf(refused).value("run", "") == "not_run");
    // A change to another record says nothing about the engine.
    fleet.addWorkspace("other", 100, 100);
    fleet.awaitView(0);
    BOOST_TEST(fleet.complete(0, "acme", "p", 1)->status == 503);
    BOOST_TEST(fleet.engine(0).runs() == runs);
    // The engine at the same address was restarted.
    setLeaving(fleet.engine(0), false);
    BOOST_TEST(fleet.complete(0, "acme", "p", 1)->status == 503);
    fleet.putEngine(0, wire::UpstreamState::Leaving);
    fleet.awaitView(0);
    BOOST_TEST(fleet.complete(0, "acme", "p", 1)->status == 503);
    BOOST_TEST(fleet.engine(0).runs() == runs);
    fleet.putEngine(0);
    fleet.awaitView(0);
    BOOST_TEST(fleet.complete(0, "acme", "p", 1)->status == 200);
}

// R11: guards against an announcement that is taken as withdrawn by a directory change that
// precedes it but reaches the entry later: the next response must renew it.
BOOST_AUTO_TEST_CASE(repeatedAnnouncementHoldsAfterAnActiveRecord)
{
    TestFleet fleet(0, 1);
    startImpatientEntry(fleet);
    setLeaving(fleet.engine(0), true);
    BOOST_REQUIRE(fleet.engine(0).awaitAnnouncement());
    fleet.putEngine(0);
    fleet.awaitView(0);
    BOOST_REQUIRE(fleet.engine(0).awaitAnnouncement());
    const std::size_t runs = fleet.engine(0).runs();
    BOOST_TEST(fleet.complete(0, "acme", "p", 1)->status == 503);
    BOOST_TEST(fleet.engine(0).runs() == runs);
}

// R11: the same for a plain service.
BOOST_AUTO_TEST_CASE(serviceThatAnnouncesItsLeaveGetsNoRequestUntilALaterRevision)
{
    TestFleet fleet(1, 1, 1);
    fleet.control().write(wire::PutRoute{{"desk", "/desk", "desk", true, true}});
    fleet.awaitReady();
    BOOST_TEST(fleet.get(0, "/desk/a", "")->status == 200);
    setLeaving(fleet.service(0), true);
    BOOST_REQUIRE(fleet.service(0).awaitAnnouncement());
    const std::size_t runs = fleet.service(0).runs();
    const auto refused = fleet.get(0, "/desk/a", "");
    BOOST_TEST(refused->status == 503);
    BOOST_TEST(errorOf(refused).value("run", "") == "not_run");
    BOOST_TEST(fleet.service(0).runs() == runs);
    setLeaving(fleet.service(0), false);
    BOOST_TEST(fleet.get(0, "/desk/a", "")->status == 503);
    fleet.putService(0);
    fleet.awaitView(0);
    BOOST_TEST(fleet.get(0, "/desk/a", "")->status == 200);
}

// R11: guards against an attempt that waits for the record of a crash and is then sent to the
// engine that was chosen before the wait, although that engine has left meanwhile.
BOOST_AUTO_TEST_CASE(attemptThatWaitedForACrashRecordIsNotSentToAnEngineThatHasLeft)
{
    TestFleet fleet(0, 2);
    fleet.settings().timings.controlTimeout = absl::Seconds(5);
    // The request is a suspect after the crash, and no engine is left for it.
    fleet.settings().scheduler.maxIsolationWait = absl::Seconds(1);
    fleet.startEntry();
    fleet.awaitReady();
    ScriptedEngine::Script script;
    script.pauseAt = 0;
    std::size_t before[2];
    for (int i = 0; i < 2; ++i) {
        fleet.engine(i).setScript(script);
        before[i] = fleet.engine(i).runs();
    }
    const auto caller =
            std::async(std::launch::async, [&] { (void)fleet.complete(0, "acme", "crash", 2); });
    const auto hasRun = [&](int i) { return fleet.engine(i).runs() > before[i]; };
    BOOST_REQUIRE(eventually([&] { return hasRun(0) || hasRun(1); }));
    const int crashed = hasRun(0) ? 0 : 1;
    const int other = 1 - crashed;
    fleet.control().setUnresponsive("directory", true);
    fleet.engine(crashed).stop();
    const std::string crashes =
            concat("rattanrill_upstream_crashes_total{upstream=\"engine-", crashed, "\"}");
    BOOST_REQUIRE(eventually([&] {
        return fleet.metric(0, crashes) >= 1
               && fleet.metric(0, "rattanrill_works_running{kind=\"online\"}") == 1;
    }));
    BOOST_TEST(!hasRun(other));
    fleet.putEngine(other, wire::UpstreamState::Leaving);
    fleet.awaitView(0);
    fleet.control().setUnresponsive("directory", false);
    fleet.engine(other).resume();
    caller.wait();
    BOOST_TEST(!hasRun(other));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanrill::entry
