#include "slotbrokerfixture.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::serving;
using wire::SlotOutcome;

BOOST_FIXTURE_TEST_SUITE(SlotBrokerTest, SlotBrokerFixture)

// Guards against a workspace that gets more requests in some window than its rate, its burst and
// the tolerance allow. A new broker has no record of what the previous one granted.
BOOST_AUTO_TEST_CASE(rateHoldsInEveryWindowAcrossBrokerReplacements)
{
    std::vector<absl::Time> grants;
    for (int step = 0; step < 3000; ++step) {
        timers.advance(absl::Milliseconds(10));
        // The tolerance covers at most two replacements of the broker within one window.
        if (step == 1000 || step == 1200)
            broker.reset();
        for (int i = 0; i < 2; ++i) {
            const std::string id = std::to_string(step) + "." + std::to_string(i);
            if (tryAcquire(id)) {
                grants.push_back(clock.now());
                release(id);
            }
        }
    }
    const double bound = (10 * 5 + 10) * 1.1 + 20;
    for (std::size_t first = 0, next = 0; first < grants.size(); ++first) {
        while (next < grants.size() && grants[next] - grants[first] <= absl::Seconds(5))
            ++next;
        BOOST_TEST_REQUIRE(static_cast<double>(next - first) <= bound);
    }
    BOOST_TEST(grants.size() > 290u);
}

// Guards against a workspace that gets its rate twice in some window while entry processes lose the
// broker for moments: they grant from their local shares what the broker grants to the others.
BOOST_AUTO_TEST_CASE(rateHoldsWhileEntriesLoseTheBrokerForMoments)
{
    constexpr int entries = 4;
    std::vector<std::unique_ptr<SlotBroker>> locals;
    for (int i = 0; i < entries; ++i) {
        locals.push_back(std::make_unique<SlotBroker>(timers, clock, brokerSettings()));
        locals.back()->setDeployment(deploymentOfRate(10, 10));
        locals.back()->setUpstreams({{"u", "llm", "u:1", "d", 100, false}},
                                    CapacityShare{1.0 / entries, 1});
    }
    timers.advance(absl::Seconds(10));
    std::vector<absl::Time> grants;
    std::vector<std::int64_t> charges(entries, 0);
    for (int step = 0; step < 3000; ++step) {
        timers.advance(absl::Milliseconds(10));
        for (int i = 0; i < entries; ++i) {
            // Each entry loses the broker for 500 of 600 ms, at other times than the others.
            const int phase = (step + i * 15) % 60;
            SlotBroker &local = *locals[static_cast<std::size_t>(i)];
            std::int64_t &charge = charges[static_cast<std::size_t>(i)];
            if (phase == 50)
                broker.chargeRates({{"w", std::exchange(charge, 0), 500}});
            const bool isLocal = phase < 50;
            wire::SlotRequest slotRequest = request(std::to_string(step * entries + i));
            slotRequest.instance = "e" + std::to_string(i);
            slotRequest.chargesRate = true;
            std::optional<wire::SlotResponse> response;
            SlotBroker &granting = isLocal ? local : broker;
            granting.acquire(slotRequest, [&](const wire::SlotResponse &r) { response = r; });
            if (!response || response->verdict != SlotOutcome::Granted)
                continue;
            grants.push_back(clock.now());
            charge += isLocal ? 1 : 0;
            granting.release({slotRequest.instance, slotRequest.requestId, "u", "served"});
        }
    }
    const double bound = (10 * 5 + 10) * 1.1 + 20;
    std::size_t most = 0;
    for (std::size_t first = 0, next = 0; first < grants.size(); ++first) {
        while (next < grants.size() && grants[next] - grants[first] <= absl::Seconds(5))
            ++next;
        most = std::max(most, next - first);
    }
    BOOST_TEST(static_cast<double>(most) <= bound);
    BOOST_TEST(grants.size() > 200u);
}

// Guards against requests inside the rate that are refused because the local shares granted others
// while the broker was frozen: its bucket could not hold what became available meanwhile.
BOOST_AUTO_TEST_CASE(chargesOfAFrozenBrokerDoNotRefuseRequestsInsideTheRate)
{
    timers.advance(absl::Seconds(10));
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(tryAcquire("before-" + std::to_string(i)));
    timers.advance(absl::Seconds(4));
    // 30 of the 40 requests of 4 s were granted from local shares.
    broker.chargeRates({{"w", 30, 4000}});
    BOOST_TEST(tryAcquire("after"));
}

// Guards against refused callers that retry at once, and against a Retry-After that is longer than
// the time in which the rate grants the next request.
BOOST_AUTO_TEST_CASE(overRateResponseContainsRetryAfter)
{
    timers.advance(absl::Seconds(10));
    int granted = 0;
    for (int i = 0; i < 30; ++i)
        granted += tryAcquire(std::to_string(i)) ? 1 : 0;
    BOOST_TEST(granted == 10);
    BOOST_TEST((last->verdict == SlotOutcome::OverRate));
    BOOST_TEST(last->retryAfterMs > 0);
    BOOST_TEST(last->retryAfterMs <= 100);
}

// Guards against further attempts of a request that are charged to the rate again.
BOOST_AUTO_TEST_CASE(furtherAttemptIsNotCharged)
{
    timers.advance(absl::Seconds(10));
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(tryAcquire(std::to_string(i)));
    wire::SlotRequest furtherAttempt = request("0~2");
    furtherAttempt.chargesRate = false;
    BOOST_TEST((acquire(furtherAttempt)->verdict == SlotOutcome::Granted));
}

// Guards against a lost broker that the requester detects only after the longest wait for a slot: a
// broker that responds only with its decision is silent until then.
BOOST_AUTO_TEST_CASE(waitingRequestGetsOutcomeWaitingAndItsSlotWhenRepeated)
{
    broker.setUpstreams({{"u", "llm", "u:1", "d", 1, false}}, CapacityShare());
    wire::SlotRequest waitingRequest = request("waits");
    waitingRequest.objectiveMs = 5000;
    BOOST_TEST(tryAcquire("runs"));
    BOOST_TEST(!acquire(waitingRequest).has_value());
    timers.advance(brokerSettings().maxResponseDelay);
    BOOST_TEST_REQUIRE(last.has_value());
    BOOST_TEST((last->verdict == SlotOutcome::Waiting));
    // The slot becomes free while no request is pending.
    release("runs");
    waitingRequest.again = true;
    BOOST_TEST((acquire(waitingRequest)->verdict == SlotOutcome::Granted));
}

// Guards against a requester that treats the broker as unreachable because its pending call gets no
// response when the caller disconnects while the request waits.
BOOST_AUTO_TEST_CASE(requestReleasedWhileWaitingGetsAResponse)
{
    broker.setUpstreams({{"u", "llm", "u:1", "d", 1, false}}, CapacityShare());
    wire::SlotRequest waitingRequest = request("waits");
    waitingRequest.objectiveMs = 5000;
    tryAcquire("runs");
    acquire(waitingRequest);
    release("waits");
    BOOST_TEST(last.has_value());
}

// Guards against slots that stay occupied after the process that held them was lost.
BOOST_AUTO_TEST_CASE(slotsOfALostProcessAreReclaimed)
{
    broker.setUpstreams({{"u", "llm", "u:1", "d", 1, false}}, CapacityShare());
    BOOST_TEST(tryAcquire("lost"));
    // A process counts as lost after 2 s of silence.
    timers.advance(absl::Seconds(2));
    broker.setLiveEntries({{"other", "d", "other:1"}});
    BOOST_TEST(tryAcquire("next"));
}

// Guards against a slot that stays occupied because the message that releases it was lost.
BOOST_AUTO_TEST_CASE(unreleasedSlotIsReclaimedAfterItsDeadline)
{
    broker.setUpstreams({{"u", "llm", "u:1", "d", 1, false}}, CapacityShare());
    BOOST_TEST(tryAcquire("lost"));
    timers.advance(absl::Seconds(9));
    BOOST_TEST(tryAcquire("next"));
}

// Guards against a new broker that grants slots which entry processes already hold.
BOOST_AUTO_TEST_CASE(slotsGrantedByAPreviousBrokerAreAdopted)
{
    broker.setUpstreams({{"u", "llm", "u:1", "d", 2, false}}, CapacityShare());
    broker.adoptHeldSlots({"e", {{"old", "llm", "w", "u", 3000}}});
    BOOST_TEST(tryAcquire("new"));
    BOOST_TEST(!tryAcquire("third"));
    release("old");
    BOOST_TEST(tryAcquire("fourth"));
    // An adopted slot that is not released is reclaimed after its deadline, as any other slot is.
    broker.adoptHeldSlots({"f", {{"lost", "llm", "w", "u", 100}}});
    timers.advance(absl::Seconds(4));
    release("new");
    release("fourth");
    BOOST_TEST(tryAcquire("fifth"));
    BOOST_TEST(tryAcquire("sixth"));
}

// Guards against an upstream that gets requests, online or batch, after it announced that it
// leaves, while the list still shows it as ready or after another process took over.
BOOST_AUTO_TEST_CASE(upstreamThatAnnouncedToLeaveGetsNoRequests)
{
    timers.advance(absl::Seconds(10));
    const std::vector<wire::FleetUpstream> list = {{"u", "llm", "u:1", "d", 1, false},
                                                   {"v", "llm", "v:1", "d", 100, false}};
    broker.setUpstreams(list, CapacityShare());
    wire::SlotRequest busy = request("busy");
    BOOST_TEST(acquire(busy)->upstream == "u");
    broker.reportLoad(leaving("u"));
    release("busy");
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(acquire(request(std::to_string(i)))->upstream == "v");
    BOOST_TEST(grantBatch("item-1") == "v");
    broker.setUpstreams(list, CapacityShare(), clock.now());
    broker.reset();
    timers.advance(absl::Seconds(5));
    BOOST_TEST(acquire(request("after"))->upstream == "v");
    BOOST_TEST(grantBatch("item-2") == "v");
}

// Guards against an upstream that leaves at one of the addresses that an id had, or that had the
// same address as another upstream.
BOOST_AUTO_TEST_CASE(announcementConcernsOneUpstreamAtOneAddress)
{
    timers.advance(absl::Seconds(10));
    broker.reportLoad(leaving("u", "old:1"));
    BOOST_TEST(tryAcquire("1"));
    broker.reportLoad(leaving("u"));
    BOOST_TEST(!tryAcquire("2"));
    broker.setUpstreams({{"v", "llm", "u:1", "d", 100, false}}, CapacityShare());
    BOOST_TEST(tryAcquire("3"));
    BOOST_TEST(!broker.isLeaving("v", "u:1"));
    timers.advance(absl::Seconds(20));
    broker.confirmUpstreams(clock.now());
    BOOST_TEST(!broker.isLeaving("u", "u:1"));
}

// Guards against a request that is sent although the list shows its upstream as draining, and
// against a restarted upstream whose slots, granted by a process with a newer list, are not used.
BOOST_AUTO_TEST_CASE(upstreamCountsAsLeavingWhileItsSlotsMayHaveBeenGrantedBefore)
{
    const auto list = [](bool isDraining, const std::string &address = "u:1") {
        return std::vector<wire::FleetUpstream>{{"u", "llm", address, "d", 1, isDraining}};
    };
    BOOST_TEST(!broker.isLeaving("u", "u:1"));
    broker.setUpstreams(list(true), CapacityShare());
    BOOST_TEST(broker.isLeaving("u", "u:1"));
    BOOST_TEST(!broker.isLeaving("u", "other:1"));
    timers.advance(absl::Seconds(2));
    broker.setUpstreams(list(true), CapacityShare());
    BOOST_TEST(broker.isLeaving("u", "u:1"));
    timers.advance(absl::Seconds(2));
    BOOST_TEST(!broker.isLeaving("u", "u:1"));
    broker.setUpstreams(list(true, "other:1"), CapacityShare());
    BOOST_TEST(broker.isLeaving("u", "other:1"));
    broker.setUpstreams(list(false, "other:1"), CapacityShare());
    BOOST_TEST(!broker.isLeaving("u", "other:1"));
}

// Guards against requests, online or batch, that reach an evacuated domain, also by a slot that was
// granted before, and against a domain that gets none after the evacuation.
BOOST_AUTO_TEST_CASE(evacuatedDomainGetsNoRequests)
{
    timers.advance(absl::Seconds(10));
    const std::vector<wire::FleetUpstream> list = {{"u", "llm", "u:1", "d", 100, false},
                                                   {"v", "llm", "v:1", "far", 1, false}};
    broker.setUpstreams(list, CapacityShare());
    broker.setEvacuatedDomains({"d"});
    BOOST_TEST(broker.isLeaving("u", "u:1"));
    BOOST_TEST(!broker.isLeaving("v", "v:1"));
    BOOST_TEST(acquire(request("1"))->upstream == "v");
    BOOST_TEST(grantBatch("item").empty());
    // A new list and another broker don't end it.
    broker.setUpstreams(list, CapacityShare(), clock.now());
    broker.reset();
    timers.advance(absl::Seconds(5));
    BOOST_TEST(acquire(request("2"))->upstream == "v");
    broker.setEvacuatedDomains({});
    BOOST_TEST(!broker.isLeaving("u", "u:1"));
    BOOST_TEST(acquire(request("3"))->upstream == "u");
}

// Guards against a request that waits for an evacuated domain until its deadline, and against one
// that runs there and is ended.
BOOST_AUTO_TEST_CASE(requestsAreRefusedAtOnceWhenAllUpstreamsAreEvacuated)
{
    timers.advance(absl::Seconds(10));
    broker.setUpstreams({{"u", "llm", "u:1", "d", 1, false}}, CapacityShare());
    BOOST_TEST(tryAcquire("runs"));
    wire::SlotRequest waits = request("waits");
    waits.objectiveMs = 5000;
    BOOST_TEST(!acquire(waits).has_value());
    broker.setEvacuatedDomains({"d"});
    BOOST_TEST_REQUIRE(last.has_value());
    BOOST_TEST((last->verdict == SlotOutcome::NoSlot));
    BOOST_TEST(last->retryAfterMs > 0);
    BOOST_TEST(broker.scheduler().running("llm", policy::TaskKind::Online) == 1u);
}

// Guards against a restarted upstream that never gets requests again, and against one that gets
// requests because the list has not caught up with the announcement.
BOOST_AUTO_TEST_CASE(announcementEndsWhenTheListHasCaughtUp)
{
    timers.advance(absl::Seconds(10));
    broker.reportLoad(leaving("u"));
    timers.advance(absl::Seconds(20));
    broker.confirmUpstreams(clock.now() - absl::Seconds(11));
    BOOST_TEST(!tryAcquire("1"));
    broker.confirmUpstreams(clock.now() - absl::Seconds(9));
    BOOST_TEST(tryAcquire("2"));
    // A report of a process that did not receive the list does not count from its arrival.
    wire::UpstreamLoad late = leaving("u");
    late.leavingAgeMs = 20000;
    broker.reportLoad(late, ReportSource::OtherProcess);
    BOOST_TEST(!tryAcquire("3"));
    broker.confirmUpstreams(clock.now() - absl::Seconds(1));
    BOOST_TEST(tryAcquire("4"));
}

// Guards against callers that wait for a slot, or get one, when all upstreams leave.
BOOST_AUTO_TEST_CASE(requestsAreRefusedAtOnceWhenAllUpstreamsLeave)
{
    timers.advance(absl::Seconds(10));
    broker.setUpstreams({{"u", "llm", "u:1", "d", 1, false}}, CapacityShare());
    BOOST_TEST(tryAcquire("runs"));
    wire::SlotRequest waits = request("waits");
    waits.objectiveMs = 5000;
    BOOST_TEST(!acquire(waits).has_value());
    broker.reportLoad(leaving("u"));
    BOOST_TEST_REQUIRE(last.has_value());
    BOOST_TEST((last->verdict == SlotOutcome::NoSlot));
    BOOST_TEST_REQUIRE(acquire(request("next")).has_value());
    BOOST_TEST((last->verdict == SlotOutcome::NoSlot));
    BOOST_TEST(last->retryAfterMs > 0);
}

// Guards against the limit of an upstream that ends because a repeated announcement names none.
BOOST_AUTO_TEST_CASE(repeatedAnnouncementKeepsTheLimit)
{
    broker.reportLoad({"u", 1, 5.0});
    broker.reportLoad(leaving("u"));
    BOOST_TEST(broker.hasRequestLimit("u"));
}

// Guards against a cold upstream that gets requests from local shares in addition to those of the
// broker, and against a configuration or a list that takes effect only in one order.
BOOST_AUTO_TEST_CASE(coldUpstreamGetsItsRateFromTheBrokerOnly)
{
    Deployment warming;
    warming.services = {{"llm", "", 0, 0, absl::Seconds(8), 5}};
    const auto index = std::make_shared<const DeploymentIndex>(std::move(warming));
    wire::FleetUpstream cold{"u", "llm", "u:1", "d", 100, false};
    cold.coldRemainingMs = 8000;
    SlotBroker local(timers, clock, brokerSettings());
    local.setUpstreams({cold}, CapacityShare{0.5, 1, 0.5, 0});
    local.setDeployment(index);
    broker.setDeployment(index);
    broker.setUpstreams({cold}, CapacityShare());
    BOOST_TEST(broker.coldUpstreamCount() == 1u);
    int granted = 0;
    int grantedLocally = 0;
    for (int step = 0; step < 100; ++step) {
        timers.advance(absl::Milliseconds(10));
        const std::string id = std::to_string(step);
        granted += tryAcquire(id) ? 1 : 0;
        release(id);
        local.acquire(request(id), [&](const wire::SlotResponse &response) {
            grantedLocally += response.verdict == SlotOutcome::Granted ? 1 : 0;
        });
        local.release({"e", id, "u", "served"});
    }
    BOOST_TEST((granted >= 4 && granted <= 7));
    BOOST_TEST(grantedLocally == 0);
    BOOST_TEST(broker.warmUpWaits() > 0u);
    // A response shows earlier than the list that the upstream is warm.
    for (SlotBroker *each : {&broker, &local})
        each->reportLoad({"u", -1, -1, false, 0, "", 0});
    BOOST_TEST(broker.coldUpstreamCount() == 0u);
    BOOST_TEST(tryAcquire("warm"));
}

BOOST_AUTO_TEST_CASE(batchTaskIsPreemptedByAnOnlineRequest)
{
    broker.setUpstreams({{"u", "llm", "u:1", "d", 1, false}}, CapacityShare());
    policy::SlotTask task;
    task.id = "item";
    task.service = "llm";
    task.workspace = "w";
    task.kind = policy::TaskKind::Batch;
    std::string events;
    SlotBroker::BatchHandlers handlers;
    handlers.granted = [&](const policy::GrantSlot &) { events += "granted "; };
    handlers.preempted = [&] { events += "yield"; };
    broker.acquireBatch(task, handlers);
    BOOST_TEST(events == "granted ");
    BOOST_TEST(tryAcquire("online"));
    BOOST_TEST(events == "granted yield");
}

// Guards against an upstream that gets more requests than it has slots, because the slot of a
// process that has just started, and is not listed as live yet, is granted again.
BOOST_AUTO_TEST_CASE(slotOfAProcessThatIsNotListedYetStaysTaken)
{
    broker.setUpstreams({{"u", "llm", "u:1", "d", 1, false}}, CapacityShare());
    BOOST_TEST(tryAcquire("a"));
    broker.setLiveEntries({});
    BOOST_TEST(!tryAcquire("b"));
}

// Guards against requests that are refused although the workspace is within its rate: a slow broker
// counts grants that arrive too late, and the entries' local shares count the same requests.
BOOST_AUTO_TEST_CASE(grantThatWasNotReceivedIsNotCharged)
{
    timers.advance(absl::Seconds(10));
    for (int request = 0; request < 100; ++request) {
        const std::string id = std::to_string(request);
        BOOST_TEST_REQUIRE(tryAcquire(id));
        broker.release({"e", id, "", ""});
    }
    // A slot that was used is charged: the burst is 10 requests.
    int granted = 0;
    while (tryAcquire("x" + std::to_string(granted)))
        release("x" + std::to_string(granted++));
    BOOST_TEST(granted == 10);
}

// Guards against a request whose entry is cut off from the upstreams and gets a slot that it cannot
// use, although other entries can forward its call.
BOOST_AUTO_TEST_CASE(requestOfACutOffEntryIsGrantedWithAForwarder)
{
    broker.setLiveEntries({{"e", "d", "e:1"}, {"linked", "d", "linked:1"}});
    wire::SlotRequest slotRequest = request("a");
    slotRequest.needsForwarder = true;
    const auto granted = acquire(slotRequest);
    BOOST_TEST_REQUIRE(granted.has_value());
    BOOST_TEST(granted->forwarder == "linked");
    BOOST_TEST(granted->forwarderAddress == "linked:1");
    slotRequest = request("b");
    slotRequest.instance = "linked";
    BOOST_TEST(acquire(slotRequest)->forwarder.empty());
}

// Guards against a call that is forwarded again to an entry which did not take the last one.
BOOST_AUTO_TEST_CASE(forwarderThatFailedIsNotChosenAgain)
{
    broker.setLiveEntries({{"e", "d", "e:1"}, {"frozen", "d", "frozen:1"}, {"x", "far", "x:1"}});
    wire::SlotRequest slotRequest = request("a");
    slotRequest.needsForwarder = true;
    BOOST_TEST(acquire(slotRequest)->forwarder == "frozen");
    wire::SlotRelease failed{"e", "a", "u", "gone"};
    failed.isCutOff = true;
    failed.forwarder = "frozen";
    failed.forwarderFailed = true;
    failed.isWitness = false;
    broker.release(failed);
    slotRequest.requestId = "b";
    BOOST_TEST(acquire(slotRequest)->forwarder == "x");
    BOOST_TEST(!broker.scheduler().isEjectedFor(clock.now(), "u", "frozen"));
}

// Guards against an entry that is cut off and is chosen to forward, because a request that it sent
// before waits on.
BOOST_AUTO_TEST_CASE(repeatedRequestSaysNothingAboutTheLinks)
{
    broker.setLiveEntries({{"e", "d", "e:1"}, {"x", "d", "x:1"}});
    broker.setUpstreams({{"u", "llm", "u:1", "d", 1, false}}, CapacityShare());
    BOOST_TEST(tryAcquire("runs"));
    wire::SlotRequest waits = request("waits");
    acquire(waits);
    wire::SlotRequest cutOff = request("cut off");
    cutOff.needsForwarder = true;
    acquire(cutOff);
    waits.again = true;
    acquire(waits);
    BOOST_TEST(!broker.chooseForwarder("x", "d", "u").has_value());
}

// Guards against a process that counts as two observers, by its name and without one, because it
// sent a request itself for which it had named the need of a forwarder.
BOOST_AUTO_TEST_CASE(releaseNamesTheObserver)
{
    wire::SlotRequest slotRequest = request("a");
    slotRequest.needsForwarder = true;
    BOOST_TEST_REQUIRE(acquire(slotRequest).has_value());
    broker.release({"e", "a", "u", "gone"});
    BOOST_TEST(broker.scheduler().isEjectedFor(clock.now(), "u", "e"));
    BOOST_TEST(!broker.scheduler().isEjectedFor(clock.now(), "u", "other"));
}

// Guards against slots that stay occupied, and upstreams that are ejected, because an entry of a
// later version names a reason that this one does not know.
BOOST_AUTO_TEST_CASE(unknownReasonOnlyFreesTheSlot)
{
    for (int i = 0; i < 10; ++i) {
        for (const std::string instance : {"e1", "e2"}) {
            wire::SlotRequest slotRequest = request("a");
            slotRequest.instance = instance;
            slotRequest.chargesRate = false;
            BOOST_TEST_REQUIRE(acquire(slotRequest).has_value());
            broker.release({instance, "a", "u", "of a later version"});
        }
    }
    BOOST_TEST(broker.scheduler().running("llm", policy::TaskKind::Online) == 0u);
    BOOST_TEST(!broker.scheduler().isEjectedFor(clock.now(), "u", "e1"));
}

// Guards against a release that names a server error and is counted as a success.
BOOST_AUTO_TEST_CASE(serverErrorIsKnownByItsName)
{
    // The nearer upstream goes first until it is suspected.
    broker.setUpstreams({{"u", "llm", "u:1", "d", 1, false}, {"v", "llm", "v:1", "far", 1, false}},
                        CapacityShare());
    for (int i = 0; i < 4; ++i) {
        wire::SlotRequest slotRequest = request("a");
        slotRequest.failureDomain = "d";
        slotRequest.chargesRate = false;
        BOOST_TEST_REQUIRE(acquire(slotRequest).has_value());
        BOOST_TEST(last->upstream == (i < 3 ? "u" : "v"));
        broker.release({"e", "a", "u", "server_error"});
    }
}

// Guards against an upstream that is ejected because entries which are cut off do not reach it.
BOOST_AUTO_TEST_CASE(releasesOfACutOffEntrySayNothingAboutTheUpstream)
{
    for (const std::string instance : {"e1", "e2", "e3"}) {
        wire::SlotRequest slotRequest = request("a");
        slotRequest.instance = instance;
        BOOST_TEST_REQUIRE(acquire(slotRequest).has_value());
        wire::SlotRelease release{instance, "a", "u", "gone"};
        release.isCutOff = instance != "e1";
        release.isWitness = !release.isCutOff;
        broker.release(release);
    }
    BOOST_TEST(broker.scheduler().isEjectedFor(clock.now(), "u", "e1"));
    BOOST_TEST(!broker.scheduler().isEjectedFor(clock.now(), "u", "e4"));
}

// Guards against a pace that is reported and does not reach the choice, and against an implausible
// one that does.
BOOST_AUTO_TEST_CASE(reportedPaceCountsInTheChoice)
{
    broker.setUpstreams({{"slow", "llm", "s:1", "d", 8, false}, {"u", "llm", "u:1", "d", 8, false}},
                        CapacityShare());
    broker.reportLoad({"u", 0, 0, false, 0, "u:1", -1, 1e300});
    broker.reportLoad({"slow", 0, 0, false, 0, "s:1", -1, 4});
    for (const char *id : {"1", "2", "3"})
        BOOST_TEST(grantBatch(id) == "u");
}

BOOST_AUTO_TEST_SUITE_END()
