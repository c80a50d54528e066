#include "storefixture.h"

#include "endlessserver.h"
#include "itemrun.h"
#include "resumedresponses.h"
#include "scriptedserver.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::jobs;
using serving::chunk;
using serving::numberedEvent;

namespace {

const std::string streamHead =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
const std::string chunkedHead = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n";
const std::string serverError = "HTTP/1.1 500 X\r\nId: a\r\nContent-Length: 0\r\n\r\n";
const net::ServerAnswer crash{"", ""};
const net::ServerAnswer success{streamHead + "id: 0\ndata: a\n\nid: 1\ndata: b\n\n", ""};

std::string wholeStream()
{
    std::string stream = chunkedHead;
    for (int id = 1; id <= 4; ++id)
        stream += chunk(numberedEvent(id));
    return stream + serving::lastChunk;
}

struct ItemFixture : StoreFixture
{
    using StoreFixture::StoreFixture;

    /// Submits a job of one item. All upstreams have the address of \a server.
    void start(net::EndlessServer &server)
    {
        std::vector<wire::FleetUpstream> list;
        for (const std::string id : {"u1", "u2", "u3", "u4"})
            list.push_back({id, "llm", server.address(), "d", 1, false});
        thread.run([&] { broker.setUpstreams(list, serving::CapacityShare()); });
        wire::SubmitJobRequest request = submission("job");
        request.job.items.resize(1);
        submit(request);
    }

    /// Submits a job of one item that waits for a slot.
    void startWaiting()
    {
        wire::SubmitJobRequest request = submission("job");
        request.job.items.resize(1);
        submit(request);
        bool isWaiting = false;
        while (!isWaiting)
            thread.run([&] { isWaiting = executor.openItemCounts().waiting == 1; });
    }

    /// Runs a job of one item and returns the result, or one without id when there is none within
    /// 30 s.
    wire::JobItemResult runItem(net::EndlessServer &server)
    {
        start(server);
        return awaitResult();
    }

    /// Sets four upstreams at the address of \a server, whose ids begin with \a prefix.
    void setUpstreams(const net::ScriptedServer &server, const std::string &prefix,
                      const std::string &version = "")
    {
        std::vector<wire::FleetUpstream> list;
        for (int i = 0; i < 4; ++i)
            list.push_back(
                    {prefix + std::to_string(i), "llm", server.address(), "d", 1, false, version});
        thread.run([&] { broker.setUpstreams(list, serving::CapacityShare()); });
    }

    /// Runs the job \a job of one item, whose id is "a".
    wire::JobItemResult runItem(const net::ScriptedServer &server, const std::string &job)
    {
        setUpstreams(server, job);
        wire::SubmitJobRequest request = submission(job);
        request.job.items.resize(1);
        request.job.items.front().id = "a";
        submit(request);
        return awaitResult(job);
    }

    /// Sets the number of attempts of an item that fail with status 500.
    void setMaxAttempts(int maxAttempts)
    {
        serving::Deployment changed = deployment()->deployment();
        changed.routes.front().maxAttempts = maxAttempts;
        thread.run([&] {
            executor.setDeployment(std::make_shared<const serving::DeploymentIndex>(changed));
        });
    }

    /// Submits the job "job" of one item, whose id is "a".
    void startItem(const net::ScriptedServer &server)
    {
        setUpstreams(server, "u");
        wire::SubmitJobRequest request = submission("job");
        request.job.items.resize(1);
        request.job.items.front().id = "a";
        submit(request);
    }

    /// Waits until the item has failed at its request number \a requests. Then stops all items and
    /// takes them over again, as a new leader of the store group does. No upstream is known in
    /// between, so that the item is not sent meanwhile.
    void changeLeaderAfterFailure(const net::ScriptedServer &server, std::size_t requests)
    {
        await([&] {
            const bool hasFailed = server.requests().size() >= requests
                                   && executor.openItemCounts().backingOff == 1;
            if (hasFailed)
                broker.setUpstreams({}, serving::CapacityShare());
            return hasFailed;
        });
        await([&] { return executor.openItemCounts().waiting == 1; });
        thread.run([this] {
            service.handleLeadershipChange(false);
            service.handleLeadershipChange(true);
        });
        setUpstreams(server, "u");
    }

    /// Waits until \a condition, which is evaluated on the loop, is true.
    template <typename Condition>
    void await(const Condition &condition)
    {
        const absl::Time end = absl::Now() + absl::Seconds(10);
        bool isTrue = false;
        while (!isTrue && absl::Now() < end) {
            absl::SleepFor(absl::Milliseconds(1));
            thread.run([&] { isTrue = condition(); });
        }
        BOOST_REQUIRE(isTrue);
    }

    wire::JobItemResult awaitResult(const std::string &job = "job")
    {
        wire::JobItemResult result;
        const absl::Time end = absl::Now() + absl::Seconds(30);
        while (result.id.empty() && absl::Now() < end) {
            absl::Notification done;
            thread.run([&] {
                client.read({"w", job, 0, 1000}, absl::Seconds(5), [&](const auto &outcome) {
                    if (outcome.ok() && !outcome.value().results.empty())
                        result = outcome.value().results.front();
                    done.Notify();
                });
            });
            done.WaitForNotification();
        }
        return result;
    }
};

/// Reads the streams of items at intervals, as the process of a store does.
struct ReadIntervalFixture : ItemFixture
{
    ReadIntervalFixture()
        : ItemFixture(true, options())
    {}

    static net::ConnectionPoolOptions options()
    {
        net::ConnectionPoolOptions result;
        result.readInterval = absl::Milliseconds(150);
        return result;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ItemRunTest, ItemFixture)

// Guards against a sound item that is dead-lettered, or never placed again, because the upstreams
// that ran it crashed one after another.
BOOST_AUTO_TEST_CASE(itemIsPlacedAgainAfterCrashesOfItsUpstreams)
{
    net::EndlessServer server({crash, crash, crash, crash, crash, crash, success});
    const wire::JobItemResult result = runItem(server);
    BOOST_TEST((result.outcome == wire::ItemOutcome::Completed));
    BOOST_TEST(result.output == "a\nb");
    BOOST_TEST(server.requests() == 7);
}

// Guards against an item that crashes one upstream after the other until its time limit, and
// against one that is dead-lettered or lost because it was held for a time.
BOOST_AUTO_TEST_CASE(itemThatIsBlockedIsHeldUntilTheBlockEnds)
{
    net::EndlessServer server({crash, success});
    thread.run([this] {
        crashGuard.setBlocks(1, {}, {});
        // The second attempt starts 100 ms after the first one, the report 20 ms after it.
        onCrashReport = [this] {
            const auto &traits = crashReports.front().crashes.front().promptParts;
            crashGuard.setBlocks(1, {{traits}}, traits);
        };
    });
    start(server);
    await([this] { return !crashReports.empty(); });
    absl::SleepFor(absl::Seconds(2));
    BOOST_TEST(server.requests() == 1);
    thread.run([&] {
        BOOST_TEST(crashReports.size() == 1u);
        onCrashReport = [] {};
        crashGuard.setBlocks(1, {}, {});
    });
    const wire::JobItemResult result = awaitResult();
    BOOST_TEST((result.outcome == wire::ItemOutcome::Completed));
    BOOST_TEST(result.output == "a\nb");
    BOOST_TEST(server.requests() == 2);
}

// Guards against a sound item whose trial is used up, or returned, while it waits for a slot.
BOOST_AUTO_TEST_CASE(itemThatWaitsForASlotKeepsItsTrial)
{
    net::EndlessServer server({crash, success});
    thread.run([this] { crashGuard.setBlocks(1, {}, {}); });
    start(server);
    const auto awaitReport = [this](const auto &condition) {
        bool result = false;
        while (!result) {
            absl::SleepFor(absl::Milliseconds(1));
            thread.run([&] { result = !crashReports.empty() && condition(crashReports.back()); });
        }
    };
    awaitReport([](const wire::CrashEvidence &evidence) { return !evidence.crashes.empty(); });
    std::vector<std::string> traits;
    thread.run([&] {
        traits = crashReports.back().crashes.front().promptParts;
        crashGuard.setBlocks(1, {{traits, 2, ""}}, traits);
    });
    awaitReport([](const wire::CrashEvidence &evidence) { return !evidence.rejected.empty(); });
    thread.run([&] {
        broker.setUpstreams({}, serving::CapacityShare());
        crashGuard.setBlocks(1, {{traits, 1, crashReports.back().process, 1}}, traits);
    });
    absl::SleepFor(absl::Seconds(6));
    thread.run([&] {
        BOOST_TEST_REQUIRE(crashReports.back().trials.size() == 1u);
        BOOST_TEST(!crashReports.back().trials.front().isReturned);
        broker.setUpstreams({{"u5", "llm", server.address(), "d", 1, false}},
                            serving::CapacityShare());
    });
    BOOST_TEST((awaitResult().outcome == wire::ItemOutcome::Completed));
    BOOST_TEST(server.requests() == 2);
}

// Guards against a result with a part of the output, or none, because a response without a length
// was broken off inside an event or before the first one.
BOOST_AUTO_TEST_CASE(brokenOffResponseWithoutLengthIsNoResult)
{
    net::EndlessServer server(
            {{streamHead, ""}, {streamHead + "id: 0\ndata: a\n\nid: 1\nda", ""}, success});
    const wire::JobItemResult result = runItem(server);
    BOOST_TEST((result.outcome == wire::ItemOutcome::Completed));
    BOOST_TEST(result.output == "a\nb");
    BOOST_TEST(server.requests() == 3);
}

// Guards against an upstream that keeps the slot of an item, or fills the memory of the process,
// by bytes without end: in the head, without an event, as comments only, or as an error body.
BOOST_AUTO_TEST_CASE(bytesWithoutEndEndTheAttempt)
{
    const std::string filler(65536, 'z');
    net::EndlessServer server({{"HTTP/1.1 200 OK\r\nX: ", filler},
                               {streamHead, filler},
                               {streamHead, ": no event\n\n", absl::Milliseconds(1)},
                               {"HTTP/1.1 503 X\r\n\r\n", filler},
                               success});
    const wire::JobItemResult result = runItem(server);
    BOOST_TEST((result.outcome == wire::ItemOutcome::Completed));
    BOOST_TEST(result.output == "a\nb");
}

// Guards against an upstream that sends events without end: the output of an item is bounded.
BOOST_AUTO_TEST_CASE(outputWithoutEndEndsTheAttempt)
{
    const std::string event = "data: " + std::string(65536, 'z') + "\n\n";
    net::EndlessServer server({{streamHead, event}, success});
    start(server);
    const absl::Time end = absl::Now() + absl::Seconds(20);
    while (server.requests() < 2 && absl::Now() < end)
        absl::SleepFor(absl::Milliseconds(20));
    BOOST_TEST(server.requests() >= 2);
    BOOST_TEST(server.sentBytes() < (std::size_t(64) << 20));
}

// Guards against a result with missing or foreign text, because the response to the attempt that
// resumes an item does not continue its stream.
BOOST_AUTO_TEST_CASE(wrongResponseToAResumedAttemptIsNoResult)
{
    // Attempts that fail with status 500 are repeated.
    serving::Deployment repeating = deployment()->deployment();
    repeating.routes.front().maxAttempts = 3;
    thread.run([&] {
        executor.setDeployment(std::make_shared<const serving::DeploymentIndex>(repeating));
    });
    int number = 0;
    for (const serving::ResumedResponse &row : serving::wrongResumedResponses()) {
        BOOST_TEST_INFO_SCOPE(row.name);
        net::ScriptedServer server({
                {chunkedHead + chunk(numberedEvent(1)) + chunk(numberedEvent(2)),
                 net::ConnectionEnd::Closed},
                {row.bytes, row.closes ? net::ConnectionEnd::Closed : net::ConnectionEnd::KeptOpen},
                {wholeStream()},
        });
        const wire::JobItemResult result = runItem(server, "j" + std::to_string(number++));
        BOOST_TEST((result.outcome == wire::ItemOutcome::Completed));
        BOOST_TEST(result.output == "d1\nd2\nd3\nd4");
        BOOST_TEST(server.requests().size() == 3u);
    }
}

// Guards against an item that is refused for good and gets the part of its output, or the text of
// the refusal, as its result.
BOOST_AUTO_TEST_CASE(refusedItemHasNoOutput)
{
    net::ScriptedServer server({
            {chunkedHead + chunk(numberedEvent(1)), net::ConnectionEnd::Closed},
            {serving::unprocessableResponse().bytes},
    });
    const wire::JobItemResult result = runItem(server, "job");
    BOOST_TEST((result.outcome == wire::ItemOutcome::DeadLettered));
    BOOST_TEST(result.output.empty());
    BOOST_TEST(server.requests().size() == 2u);
}

// Guards against a result without text, or with the text of an error, because the response to the
// first attempt is no stream.
BOOST_AUTO_TEST_CASE(responseThatIsNoStreamIsNoResult)
{
    const std::string ok = "HTTP/1.1 200 OK\r\nId: a\r\n";
    const std::string rows[] = {
            ok + "Content-Length: 0\r\n\r\n",
            ok + "Content-Type: text/plain\r\nContent-Length: 6\r\n\r\noops\n\n",
            ok + "Content-Type: text/plain\r\nContent-Length: 12\r\n\r\ndata: oops\n\n",
            ok + "Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n",
            chunkedHead + serving::lastChunk,
            chunkedHead + chunk(": oops\n\n") + serving::lastChunk,
            "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n",
            "HTTP/1.1 301 X\r\nId: a\r\nContent-Length: 0\r\n\r\n",
    };
    int number = 0;
    for (const std::string &bytes : rows) {
        BOOST_TEST_INFO_SCOPE(bytes);
        net::ScriptedServer server({{bytes}, {wholeStream()}});
        const wire::JobItemResult result = runItem(server, "j" + std::to_string(number++));
        BOOST_TEST((result.outcome == wire::ItemOutcome::Completed));
        BOOST_TEST(result.output == "d1\nd2\nd3\nd4");
        BOOST_TEST(server.requests().size() == 2u);
    }
}

// Guards against an item that never completes because its stream broke off between its last event
// and its end: an upstream that resumes it has nothing to send, so the item starts anew.
BOOST_AUTO_TEST_CASE(itemWhoseStreamHasNoFurtherEventCompletes)
{
    const std::string events = chunk(numberedEvent(1)) + chunk(numberedEvent(2));
    net::ScriptedServer server({
            {chunkedHead + events, net::ConnectionEnd::Closed},
            {chunkedHead + serving::lastChunk},
            {chunkedHead + events + serving::lastChunk},
    });
    const wire::JobItemResult result = runItem(server, "job");
    BOOST_TEST((result.outcome == wire::ItemOutcome::Completed));
    BOOST_TEST(result.output == "d1\nd2");
    const auto requests = server.requests();
    BOOST_TEST_REQUIRE(requests.size() == 3u);
    BOOST_TEST((requests[1].text.find("After: 2") != std::string::npos));
    BOOST_TEST((requests[2].text.find("After:") == std::string::npos));
}

// Guards against a result that joins the text of two runs: an item that is run again from its first
// event keeps nothing of the run before.
BOOST_AUTO_TEST_CASE(textOfARunFromTheFirstEventReplacesTheTextBefore)
{
    const std::string other = chunk("id: 1\ndata: e1\n\n") + chunk("id: 2\ndata: e2\n\n")
                              + chunk("id: 3\ndata: e3\n\n");
    net::ScriptedServer server({
            {chunkedHead + chunk(numberedEvent(1)) + chunk(numberedEvent(2)),
             net::ConnectionEnd::Closed},
            {chunkedHead + serving::lastChunk},
            {chunkedHead + other + serving::lastChunk},
    });
    BOOST_TEST(runItem(server, "job").output == "e1\ne2\ne3");
}

// Guards against text that is twice in a result, because events without an id were received before
// the stream broke off.
BOOST_AUTO_TEST_CASE(textWithoutAnEventIdIsNotRepeated)
{
    const std::string first = chunk("data: x\n\n");
    const std::string both = first + chunk("data: y\n\n");
    net::ScriptedServer unnumbered({
            {chunkedHead + first, net::ConnectionEnd::Closed},
            {chunkedHead + both + serving::lastChunk},
    });
    BOOST_TEST(runItem(unnumbered, "job-1").output == "x\ny");
    const std::string numbered = chunk(numberedEvent(1));
    net::ScriptedServer mixed({
            {chunkedHead + numbered + first, net::ConnectionEnd::Closed},
            {chunkedHead + both + serving::lastChunk},
            {chunkedHead + numbered + both + serving::lastChunk},
    });
    BOOST_TEST(runItem(mixed, "job-2").output == "d1\nx\ny");
}

// Guards against text that is twice in a result after a change of the store's leader: the stored
// progress ends with the event after which the stream is resumed.
BOOST_AUTO_TEST_CASE(progressEndsWithANumberedEvent)
{
    net::ScriptedServer server({{chunkedHead + chunk(numberedEvent(1)) + chunk("data: x\n\n")}});
    setUpstreams(server, "u");
    wire::JobRecord record = submission("j").job;
    record.items.front().id = "a";
    const auto job = std::make_shared<const wire::JobRecord>(std::move(record));
    std::shared_ptr<ItemRun> run;
    thread.run([&] {
        run = std::make_shared<ItemRun>(context, job, job->items.front(), [](const auto &) {});
        run->setDeployment(deployment());
    });
    std::optional<wire::ItemProgress> progress;
    const absl::Time end = absl::Now() + absl::Seconds(10);
    while (!progress && absl::Now() < end) {
        absl::SleepFor(absl::Milliseconds(10));
        thread.run([&] { progress = run->unstoredProgress(); });
    }
    thread.run([&] { run->stop(); });
    BOOST_TEST_REQUIRE(progress.has_value());
    BOOST_TEST(progress->output == "d1");
}

// Guards against a result that joins the text of two runs after a change of the store's leader: the
// events of a run from the first event are not stored behind those of the run before.
BOOST_AUTO_TEST_CASE(progressOfARunFromTheFirstEventIsNotStored)
{
    net::ScriptedServer server({
            {chunkedHead + chunk(numberedEvent(1)) + chunk(numberedEvent(2)),
             net::ConnectionEnd::Closed},
            {chunkedHead + serving::lastChunk},
            {chunkedHead + chunk("id: 1\ndata: e1\n\n") + chunk("id: 2\ndata: e2\n\n")
             + chunk("id: 3\ndata: e3\n\n")},
    });
    setUpstreams(server, "u");
    wire::JobRecord record = submission("j").job;
    record.items.front().id = "a";
    const auto job = std::make_shared<const wire::JobRecord>(std::move(record));
    std::shared_ptr<ItemRun> run;
    thread.run([&] {
        run = std::make_shared<ItemRun>(context, job, job->items.front(), [](const auto &) {});
        run->setDeployment(deployment());
    });
    std::vector<std::string> stored;
    absl::Time end = absl::Now() + absl::Seconds(10);
    while (absl::Now() < end) {
        absl::SleepFor(absl::Milliseconds(2));
        thread.run([&] {
            const auto progress = run->unstoredProgress();
            if (!progress)
                return;
            stored.push_back(progress->output);
            run->markStored(progress->lastEvent);
        });
        // Time for the events of the last run to arrive.
        if (server.requests().size() == 3)
            end = std::min(end, absl::Now() + absl::Milliseconds(500));
    }
    thread.run([&] { run->stop(); });
    BOOST_TEST(server.requests().size() == 3u);
    std::string output;
    for (const std::string &part : stored)
        output += part + ";";
    BOOST_TEST(output.find('e') == std::string::npos, output);
    BOOST_TEST(output.find("d2") != std::string::npos, output);
}

// Guards against the text of an item that is joined from two software versions, also after a change
// of the store's leader, and against one that starts again although its version serves.
BOOST_AUTO_TEST_CASE(storedTextIsContinuedByItsVersionOnly)
{
    for (const bool isSame : {true, false}) {
        const std::string rest = chunk(numberedEvent(3)) + chunk(numberedEvent(4));
        net::ScriptedServer server(
                {isSame ? net::ScriptedAnswer{chunkedHead + rest + serving::lastChunk}
                        : net::ScriptedAnswer{wholeStream()}});
        setUpstreams(server, isSame ? "s" : "o", isSame ? "v1" : "v2");
        wire::JobRecord record = submission("j").job;
        record.items.front().id = "a";
        const auto job = std::make_shared<const wire::JobRecord>(std::move(record));
        wire::ItemProgress progress;
        progress.lastEvent = 2;
        progress.output = "e1\ne2";
        progress.version = "v1";
        std::string output;
        absl::Notification ended;
        std::shared_ptr<ItemRun> run;
        thread.run([&] {
            run = std::make_shared<ItemRun>(context, job, job->items.front(),
                                            [&](const wire::JobItemResult &result) {
                                                output = result.output;
                                                ended.Notify();
                                            });
            run->resume(progress);
            run->setDeployment(deployment());
        });
        BOOST_REQUIRE(ended.WaitForNotificationWithTimeout(absl::Seconds(10)));
        BOOST_TEST(output == (isSame ? "e1\ne2\nd3\nd4" : "d1\nd2\nd3\nd4"));
        const std::string request = server.requests().front().text;
        BOOST_TEST((request.find("After: 2") != std::string::npos) == isSame);
    }
}

// Guards against an item that runs at a second upstream while the first one runs it, because a
// repeated refusal on a kept connection is taken for the response to its next attempt.
BOOST_AUTO_TEST_CASE(repeatedRefusalIsNotTakenForTheNextResponse)
{
    const std::string refused = "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    int number = 0;
    for (const std::string id : {"Id: a\r\n", ""}) {
        BOOST_TEST_INFO_SCOPE(id);
        const std::string refusal = "HTTP/1.1 503 X\r\n" + id + refused;
        net::ScriptedServer server(
                {{refusal}, {wholeStream(), net::ConnectionEnd::KeptOpen, refusal}});
        const wire::JobItemResult result = runItem(server, "j" + std::to_string(number++));
        BOOST_TEST((result.outcome == wire::ItemOutcome::Completed));
        BOOST_TEST(server.requests().size() == 2u);
    }
}

// Guards against an upstream that responds to batch items with errors at once and counts as
// healthy: it would get a task although another upstream is as free.
BOOST_AUTO_TEST_CASE(serverErrorOfAnItemCountsAgainstItsUpstream)
{
    const std::string error = "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n";
    net::ScriptedServer server(std::vector<net::ScriptedAnswer>(200, {error}));
    setMaxAttempts(1000);
    const auto grant = [this](const std::string &id) {
        policy::SlotTask task;
        task.id = id;
        task.service = "llm";
        task.kind = policy::TaskKind::Batch;
        std::string upstream;
        broker.acquireBatch(task, {[&](const auto &slot) { upstream = slot.upstream; }, [] {}});
        return upstream;
    };
    const wire::FleetUpstream failing = {"u1", "llm", server.address(), "d", 1, false};
    const wire::FleetUpstream other = {"u2", "llm", server.address(), "d", 1, false};
    thread.run([&] {
        broker.setUpstreams({other}, serving::CapacityShare());
        BOOST_TEST(grant("held") == "u2");
        broker.setUpstreams({failing, other}, serving::CapacityShare());
    });
    submit("job");
    await([&] { return executor.openItemCounts().backingOff == 10; });
    thread.run([&] {
        broker.releaseBatch("held", policy::ReleaseReason::Cancelled);
        BOOST_TEST(grant("next") == "u2");
        broker.cancelBatch("next");
        broker.setUpstreams({}, serving::CapacityShare());
    });
}

// Guards against an item that is sent again to an upstream which announced in a response that it
// leaves.
BOOST_AUTO_TEST_CASE(itemIsNotSentAgainToAnUpstreamThatLeaves)
{
    net::EndlessServer leaving("HTTP/1.1 503 X\r\nNot-Run: 1\r\nLeaving: 1\r\n\r\n", "");
    net::EndlessServer other({success});
    startWaiting();
    thread.run([&] {
        broker.setUpstreams({{"u1", "llm", leaving.address(), "d", 1, false}},
                            serving::CapacityShare());
    });
    const absl::Time end = absl::Now() + absl::Seconds(10);
    while (leaving.requests() == 0 && absl::Now() < end)
        absl::SleepFor(absl::Milliseconds(1));
    absl::SleepFor(absl::Milliseconds(500));
    BOOST_TEST(leaving.requests() == 1);
    thread.run([&] {
        broker.setUpstreams({{"u1", "llm", leaving.address(), "d", 1, false},
                             {"u2", "llm", other.address(), "d", 1, false}},
                            serving::CapacityShare());
    });
    BOOST_TEST((awaitResult().outcome == wire::ItemOutcome::Completed));
    BOOST_TEST(leaving.requests() == 1);
}

// Guards against an item that is sent again to an upstream which announced that it leaves in the
// response to another request.
BOOST_AUTO_TEST_CASE(announcementInAForeignResponseKeepsItemsAway)
{
    net::EndlessServer leaving(
            "HTTP/1.1 200 OK\r\nId: former\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", "");
    startWaiting();
    thread.run([&] {
        broker.setUpstreams({{"u1", "llm", leaving.address(), "d", 1, false}},
                            serving::CapacityShare());
    });
    const absl::Time end = absl::Now() + absl::Seconds(10);
    while (leaving.requests() == 0 && absl::Now() < end)
        absl::SleepFor(absl::Milliseconds(1));
    absl::SleepFor(absl::Milliseconds(500));
    BOOST_TEST(leaving.requests() == 1);
    thread.run([&] { BOOST_TEST(broker.isLeaving("u1", leaving.address())); });
}

// Guards against an item that is sent to an upstream which announced that it leaves while the
// connection was being established.
BOOST_AUTO_TEST_CASE(itemThatWaitsForAConnectionIsNotSentToAnUpstreamThatLeaves)
{
    net::EndlessServer leaving({success});
    net::EndlessServer other({success});
    startWaiting();
    thread.run([&] {
        broker.setUpstreams({{"u1", "llm", leaving.address(), "d", 1, false},
                             {"u2", "llm", other.address(), "d", 1, false}},
                            serving::CapacityShare());
        BOOST_TEST(executor.openItemCounts().running == 1);
        broker.reportLoad({"u1", -1, -1, true, 0, leaving.address()});
    });
    BOOST_TEST((awaitResult().outcome == wire::ItemOutcome::Completed));
    BOOST_TEST(leaving.requests() == 0);
    BOOST_TEST(other.requests() == 1);
}

// Guards against an item that is sent to an upstream which the list showed as draining while the
// connection was being established: a connection to an upstream that stands still may take long.
BOOST_AUTO_TEST_CASE(itemThatWaitsForAConnectionIsNotSentToAnUpstreamThatDrains)
{
    net::EndlessServer draining({success});
    net::EndlessServer other({success});
    startWaiting();
    thread.run([&] {
        for (const bool isDraining : {false, true}) {
            broker.setUpstreams({{"u1", "llm", draining.address(), "d", 1, isDraining},
                                 {"u2", "llm", other.address(), "d", 1, false}},
                                serving::CapacityShare());
            BOOST_TEST(executor.openItemCounts().running == 1);
        }
    });
    BOOST_TEST((awaitResult().outcome == wire::ItemOutcome::Completed));
    BOOST_TEST(draining.requests() == 0);
    BOOST_TEST(other.requests() == 1);
}

// Guards against an item that runs again because its store stood still: the events that arrived
// meanwhile wait in the socket while the time for the next event passes.
BOOST_FIXTURE_TEST_CASE(eventsThatArriveWhileTheStoreStandsStillCount, ReadIntervalFixture)
{
    std::string rest;
    for (int id = 2; id <= 4; ++id)
        rest += chunk(numberedEvent(id));
    net::ScriptedAnswer answer;
    answer.bytes = chunkedHead + chunk(numberedEvent(1));
    answer.late = rest + serving::lastChunk;
    answer.lateDelay = absl::Milliseconds(300);
    net::ScriptedServer server({answer});
    startItem(server);
    await([&] { return server.requests().size() == 1; });
    absl::SleepFor(absl::Milliseconds(50));
    thread.run([] { absl::SleepFor(absl::Milliseconds(1700)); });
    BOOST_TEST((awaitResult().outcome == wire::ItemOutcome::Completed));
    BOOST_TEST(server.requests().size() == 1u);
}

// Guards against an item that fails at each run and has all its attempts again after each change of
// the store's leader.
BOOST_AUTO_TEST_CASE(changesOfTheLeaderGiveAFailingItemNoFurtherAttempts)
{
    setMaxAttempts(3);
    net::ScriptedServer server({{serverError}});
    startItem(server);
    for (const std::size_t requests : {1, 2})
        changeLeaderAfterFailure(server, requests);
    BOOST_TEST((awaitResult().outcome == wire::ItemOutcome::DeadLettered));
    BOOST_TEST(server.requests().size() == 3u);
}

// Guards against a count of failed attempts that is lost, or that changes the stored text, because
// the item has output.
BOOST_AUTO_TEST_CASE(failuresOfAnItemWithOutputAreCountedAcrossLeaders)
{
    setMaxAttempts(3);
    net::ScriptedServer server({
            // Longer than the period at which the output is stored.
            {chunkedHead + chunk(numberedEvent(1)) + chunk(numberedEvent(2)),
             net::ConnectionEnd::Closed, "", chunk(": c\n\n"), absl::Milliseconds(800)},
            {serverError},
            {serverError},
            {chunkedHead + chunk(numberedEvent(3)) + chunk(numberedEvent(4)) + serving::lastChunk},
    });
    startItem(server);
    for (const std::size_t requests : {2, 3})
        changeLeaderAfterFailure(server, requests);
    BOOST_TEST(awaitResult().output == "d1\nd2\nd3\nd4");
    BOOST_TEST(server.requests().size() == 4u);
    BOOST_TEST((server.requests().back().text.find("After: 2") != std::string::npos));
}

// Guards against an item with stored output that fails at each run and is sent again after a change
// of the store's leader as often as a new one.
BOOST_AUTO_TEST_CASE(failingItemWithOutputIsGivenUpAcrossLeaders)
{
    setMaxAttempts(2);
    net::ScriptedServer server({
            {chunkedHead + chunk(numberedEvent(1)), net::ConnectionEnd::Closed, "",
             chunk(": c\n\n"), absl::Milliseconds(800)},
            {serverError},
    });
    startItem(server);
    changeLeaderAfterFailure(server, 2);
    const wire::JobItemResult result = awaitResult();
    BOOST_TEST((result.outcome == wire::ItemOutcome::DeadLettered));
    BOOST_TEST(result.output.empty());
    BOOST_TEST(server.requests().size() == 3u);
}

// Guards against an item that fails at each run and is sent again without limit, because the
// response breaks off after its status, or does not end.
BOOST_AUTO_TEST_CASE(statusOfAnIncompleteResponseCounts)
{
    setMaxAttempts(2);
    const std::string rest = " X\r\nId: a\r\nContent-Length: 9\r\n\r\nfa";
    int number = 0;
    for (const net::ConnectionEnd end :
         {net::ConnectionEnd::Closed, net::ConnectionEnd::KeptOpen}) {
        for (const bool isRefusal : {true, false}) {
            net::ScriptedServer server({
                    {(isRefusal ? "HTTP/1.1 422" : "HTTP/1.1 500") + rest, end},
                    {(isRefusal ? "HTTP/1.1 422" : "HTTP/1.1 500") + rest, end},
                    {wholeStream()},
            });
            const wire::JobItemResult result = runItem(server, "j" + std::to_string(number++));
            BOOST_TEST((result.outcome == wire::ItemOutcome::DeadLettered));
            BOOST_TEST(server.requests().size() == (isRefusal ? 1u : 2u));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
