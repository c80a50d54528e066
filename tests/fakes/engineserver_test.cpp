#include "engineserver.h"

#include "rattanrill/fakes/answer.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <sstream>
#include <thread>

using namespace rattanrill;
using namespace rattanrill::fakes;

namespace {

constexpr const char *loopback = "127.0.0.1";
constexpr const char *json = "application/json";

EngineModelSettings settings()
{
    EngineModelSettings settings;
    settings.models = {"m"};
    settings.timings.stepBase = absl::Milliseconds(1);
    return settings;
}

/// A fake engine that listens in this process.
struct Fixture
{
    Fixture()
        : runner(settings(), faults, records)
        , server(HttpSettings{loopback, 0, 16})
        , engine(server, runner, faults, records)
        , port(outcomeOf([this] { return server.bind(); }).value())
        , listener([this] { server.listen_after_bind(); })
        , client(loopback, port)
    {
        while (!server.is_running())
            std::this_thread::yield();
    }

    ~Fixture()
    {
        client.stop();
        server.stop();
        listener.join();
    }

    static Json body(const std::string &id, const std::string &prompt, int maxTokens, bool stream)
    {
        return {{"model", "m"},
                {"prompt", prompt},
                {"request_id", id},
                {"max_tokens", maxTokens},
                {"stream", stream}};
    }

    httplib::Result post(const std::string &path, const Json &body)
    {
        // Opens a connection for each request: the server keeps serving persistent ones until their
        // timeout.
        httplib::Client single(loopback, port);
        return single.Post(path, body.dump(), json);
    }

    /// Waits until two requests run; returns false after 10 s.
    bool waitUntilBothRun() const
    {
        const absl::Time end = SystemClock::instance().now() + absl::Seconds(10);
        while (SystemClock::instance().now() < end) {
            const std::vector<RequestRecord> seen = records.recordsAfter(0);
            if (seen.size() == 2 && seen[0].started && seen[1].started)
                return true;
            std::this_thread::yield();
        }
        return false;
    }

    /// Returns the bytes of a streamed response up to its end or the end of the connection. Calls
    /// \a onData for each chunk.
    std::string stream(const Json &body, const std::function<void()> &onData)
    {
        std::string received;
        httplib::Request request;
        request.method = "POST";
        request.path = "/v1/completions";
        request.body = body.dump();
        request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t,
                                       std::uint64_t) {
            received.append(data, size);
            onData();
            return true;
        };
        client.send(request);
        return received;
    }

    /// The events in \a text, without the prefix "data: ".
    static std::vector<std::string> events(const std::string &text)
    {
        std::vector<std::string> events;
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            if (!line.empty())
                events.push_back(line.substr(std::string("data: ").size()));
        }
        return events;
    }

    Faults faults;
    RequestLog records;
    EngineRunner runner;
    FakeHttpServer server;
    EngineServer engine;
    int port;
    std::thread listener;
    httplib::Client client;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EngineServerTest, Fixture)

// Guards against a response that a checker cannot match to its request or compare with the text
// expected for its prompt.
BOOST_AUTO_TEST_CASE(completionHasRequestIdAndExpectedText)
{
    const auto result = post("/v1/completions", body("r1", "p", 3, false));
    BOOST_TEST_REQUIRE(result->status == 200);
    const Json response = Json::parse(result->body);
    BOOST_TEST(response.at("request_id") == "r1");
    BOOST_TEST(response.at("choices")[0].at("text") == expectedText("p", 0, 3));
    BOOST_TEST(response.at("usage").at("completion_tokens") == 3);
}

// Guards against events that deviate from the format which the engine client parses.
BOOST_AUTO_TEST_CASE(resumedChatStreamHasTheDocumentedEvents)
{
    Json request = body("r2", "", 4, true);
    request.erase("prompt");
    request["messages"] = {{{"role", "system"}, {"content", "a"}},
                           {{"role", "user"}, {"content", "b"}}};
    request["resume_after"] = 2;
    const auto result = post("/v1/chat/completions", request);
    const std::vector<std::string> lines = events(result->body);
    BOOST_TEST_REQUIRE(lines.size() == 4u);
    const Json first = Json::parse(lines[0]);
    BOOST_TEST(first.at("request_id") == "r2");
    BOOST_TEST(first.at("object") == "chat.completion.chunk");
    BOOST_TEST(first.at("index") == 2);
    BOOST_TEST(first.at("choices")[0].at("finish_reason").is_null());
    BOOST_TEST(first.at("choices")[0].at("delta").at("content") == expectedToken("a\nb", 2));
    const Json last = Json::parse(lines[2]);
    BOOST_TEST(last.at("choices")[0].at("finish_reason") == "length");
    BOOST_TEST(last.at("usage").at("completion_tokens") == 4);
    BOOST_TEST(lines[3] == "[DONE]");
}

// Guards against a record from which a test cannot determine the headers of a request or whether it
// was executed.
BOOST_AUTO_TEST_CASE(recordHasHeadersAndExecutionState)
{
    const httplib::Headers headers = {{"Authorization", "Bearer secret"}};
    client.Post("/v1/completions", headers, body("r3", "p", 1, false).dump(), json);
    post("/faults", {{"refuse", true}});
    post("/v1/completions", body("r4", "p", 1, false));
    const std::vector<RequestRecord> seen = records.recordsAfter(0);
    BOOST_TEST_REQUIRE(seen.size() == 2u);
    BOOST_TEST(seen[0].headers.at("Authorization") == "Bearer secret");
    BOOST_TEST((seen[0].started && seen[0].finished && seen[0].tokens == 1));
    BOOST_TEST((!seen[1].started && !seen[1].finished));
}

// Guards against a refusal without NotRun, and against unknown models or faults being accepted.
BOOST_AUTO_TEST_CASE(refusalsReportNotRun)
{
    post("/faults", {{"refuse", true}});
    const auto busy = post("/v1/completions", body("r5", "p", 1, false));
    BOOST_TEST(busy->status == 503);
    BOOST_TEST(Json::parse(busy->body).at("error").at("code") == "upstream_busy");
    BOOST_TEST(Json::parse(busy->body).at("error").at("run") == "not_run");
    post("/faults", {{"refuse", nullptr}});
    Json other = body("r6", "p", 1, false);
    other["model"] = "absent";
    BOOST_TEST(post("/v1/completions", other)->status == 404);
    BOOST_TEST(post("/faults", {{"refuze", true}})->status == 400);
}

// Guards against a cancel that leaves the stream open or ends it without its last events.
BOOST_AUTO_TEST_CASE(cancelEndsTheStream)
{
    Json response;
    const std::string received = stream(body("r7", "p", 100000, true), [&] {
        if (response.is_null())
            response = Json::parse(post("/engine/cancel", {{"request_id", "r7"}})->body);
    });
    BOOST_TEST(response.at("cancelled") == true);
    const std::vector<std::string> lines = events(received);
    BOOST_TEST(lines.back() == "[DONE]");
    const Json last = Json::parse(lines[lines.size() - 2]);
    BOOST_TEST(last.at("choices")[0].at("finish_reason") == "cancelled");
    BOOST_TEST(last.at("index") == response.at("tokens"));
}

// Guards against a cut stream that looks complete to its client.
BOOST_AUTO_TEST_CASE(cutStreamEndsWithoutDone)
{
    post("/faults", {{"cut_after_tokens", 2}});
    const std::string received = stream(body("r8", "p", 50, true), [] {});
    BOOST_TEST(events(received).size() == 2u);
}

// Guards against a fault without effect: each caller must receive the response to the other
// request.
BOOST_AUTO_TEST_CASE(crossAnswersFaultSwapsResponses)
{
    // The engine is slow until both requests run, so that neither ends before the other starts.
    post("/faults", {{"cross_answers", 1}, {"slow_factor", 50}});
    std::string own;
    std::string other;
    std::thread first([&] { own = post("/v1/completions", body("r9", "p", 400, false))->body; });
    std::thread second(
            [&] { other = post("/v1/completions", body("r10", "q", 400, false))->body; });
    BOOST_TEST(waitUntilBothRun());
    post("/faults", {{"slow_factor", nullptr}});
    first.join();
    second.join();
    BOOST_TEST(Json::parse(own).at("request_id") == "r10");
    BOOST_TEST(Json::parse(other).at("request_id") == "r9");
}

// R11: guards against a stand-in that is told to leave and announces it only in some responses.
BOOST_AUTO_TEST_CASE(leavingEngineAnnouncesItInEachResponse)
{
    const auto announces = [](const httplib::Result &response) {
        BOOST_REQUIRE(response);
        return response->get_header_value("X-Rattanrill-Leaving") == "1";
    };
    BOOST_TEST(!announces(post("/v1/completions", body("r1", "p", 1, true))));
    post("/faults", {{"leaving", true}, {"refuse", true}});
    BOOST_TEST(announces(post("/v1/completions", body("r2", "p", 1, true))));
    post("/faults", {{"refuse", false}});
    BOOST_TEST(announces(post("/v1/completions", body("r3", "p", 1, true))));
    BOOST_TEST(announces(post("/engine/cancel", {{"request_id", "r3"}})));
    post("/faults", {{"leaving", nullptr}});
    BOOST_TEST(!announces(post("/v1/completions", body("r4", "p", 1, true))));
}

BOOST_AUTO_TEST_SUITE_END()
