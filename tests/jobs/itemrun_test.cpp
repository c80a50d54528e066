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

    /// Runs a job of one item and returns the result, or one without id when there is none within
    /// 30 s.
    wire::JobItemResult runItem(net::EndlessServer &server)
    {
        start(server);
        return awaitResult();
    }

    /// Sets four upstreams at the address of \a server, whose ids begin with \a prefix.
    void setUpstreams(const net::ScriptedServer &server, const std::string &prefix)
    {
        std::vector<wire::FleetUpstream> list;
        for (int i = 0; i < 4; ++i)
            list.push_back({prefix + std::to_string(i), "llm", server.address(), "d", 1, false});
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

BOOST_AUTO_TEST_SUITE_END()
