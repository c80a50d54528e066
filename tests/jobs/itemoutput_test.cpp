#include "itemfixture.h"

#include "itemrun.h"
#include "resumedresponses.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::jobs;
using serving::chunk;
using serving::numberedEvent;

/// The output of an item, over one or several attempts.
BOOST_FIXTURE_TEST_SUITE(ItemOutputTest, ItemFixture)

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

// Guards against an upstream that is ejected because this process lacks the memory for the outputs
// of its items.
BOOST_AUTO_TEST_CASE(lackOfMemoryIsNoFailureOfTheUpstream)
{
    const net::EndlessServer server(streamHead, "data: " + std::string(65536, 'z') + "\n\n");
    JobExecutorContext smallContext = context;
    smallContext.buffers = std::make_shared<serving::BufferBudget>(std::size_t(48) << 10);
    const auto job = std::make_shared<const wire::JobRecord>(submission("j").job);
    std::shared_ptr<ItemRun> run;
    thread.run([&] {
        broker.setUpstreams({{"u", "llm", server.address(), "d", 1, false}},
                            serving::CapacityShare());
        run = std::make_shared<ItemRun>(smallContext, job, job->items.front(),
                                        [](const wire::JobItemResult &) {});
        run->setDeployment(deployment());
    });
    await([&] { return server.requests() >= 4; });
    thread.run([&] {
        BOOST_TEST(broker.ejectionCount(policy::ReleaseReason::Failed) == 0u);
        run->stop();
    });
}

// Guards against a store that ends by an exception, or stores progress whose text is missing,
// because an event that exceeded the limit of the output counted as received.
BOOST_AUTO_TEST_CASE(eventBeyondTheSizeLimitIsNotPartOfTheOutput)
{
    const auto largeEvent = [](int id) {
        return chunk("id: " + std::to_string(id) + "\ndata: " + std::string(400'000, 'z') + "\n\n");
    };
    net::ScriptedAnswer endless{chunkedHead, net::ConnectionEnd::KeptOpen};
    for (int id = 1; id <= 10; ++id)
        endless.bytes += largeEvent(id);
    // The events before it are stored by then.
    endless.late = largeEvent(11);
    endless.lateDelay = absl::Milliseconds(1200);
    net::ScriptedServer server(
            {endless, {chunkedHead, net::ConnectionEnd::KeptOpen}, {wholeStream()}});
    const wire::JobItemResult result = runItem(server, "job");
    BOOST_TEST((result.outcome == wire::ItemOutcome::Completed));
    BOOST_TEST(result.output == "d1\nd2\nd3\nd4");
    BOOST_TEST(server.requests().back().text.find("After: ") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
