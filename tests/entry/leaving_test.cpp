#include "testfleet.h"

#include <boost/test/unit_test.hpp>

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

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanrill::entry
