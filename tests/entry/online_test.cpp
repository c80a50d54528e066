#include "testfleet.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <sstream>
#include <thread>

namespace rattanrill::entry {

BOOST_AUTO_TEST_SUITE(Online)

// Guards against completions that are truncated or deviate from the format that client libraries
// expect.
BOOST_AUTO_TEST_CASE(wholeAndStreamedAnswersAreComplete)
{
    TestFleet fleet(1, 1);
    const auto whole = fleet.complete(0, "acme", "two lanterns", 6);
    BOOST_REQUIRE(whole);
    const Json body = Json::parse(whole->body);
    BOOST_TEST(body.at("choices").at(0).at("text") == expectedText("two lanterns", 6));
    BOOST_TEST(body.at("choices").at(0).at("finish_reason") == "length");
    BOOST_TEST(body.at("usage").at("completion_tokens") == 6);
    BOOST_TEST(!whole->get_header_value("X-Request-Id").empty());

    StreamedCall streamed(fleet.port(0), "key-acme", "two lanterns", 6);
    streamed.join();
    BOOST_TEST(streamed.complete);
    BOOST_TEST(streamed.text == expectedText("two lanterns", 6));

    const auto chat = fleet.post(
            0, "/v1/chat/completions", "acme",
            R"({"model":"m","max_tokens":3,"messages":[{"role":"system","content":"a"},{"role":"user","content":"b"}]})");
    BOOST_REQUIRE(chat);
    BOOST_TEST(Json::parse(chat->body).at("choices").at(0).at("message").at("content")
               == expectedText("a\nb", 3));
}

// R4, R9: guards against running a request of a caller without a valid key.
BOOST_AUTO_TEST_CASE(missingUnknownAndWithdrawnKeysAreRefusedAsNotRun)
{
    TestFleet fleet(1, 1);
    fleet.addWorkspace("gone", 10, 10);
    fleet.control().write(wire::RevokeKey{"id-gone"});
    fleet.awaitReady();
    const std::size_t runs = fleet.engine(0).runs();
    const std::pair<const char *, const char *> rows[] = {
            {"", "missing_key"}, {"stranger", "invalid_key"}, {"gone", "key_withdrawn"}};
    for (const auto &[workspace, code] : rows) {
        const auto response = fleet.complete(0, workspace, "p", 1);
        BOOST_TEST(response->status == 401);
        BOOST_TEST(errorOf(response).at("code") == code);
        BOOST_TEST(errorOf(response).at("run") == "not_run");
    }
    BOOST_TEST(fleet.engine(0).runs() == runs);
}

// R5: guards against forwarding the caller's key in a header, the query string or the body.
BOOST_AUTO_TEST_CASE(keyIsNeverForwardedToAnUpstream)
{
    TestFleet fleet(1, 1, 1);
    wire::Route route{"desk", "/desk", "desk", false, true};
    fleet.control().write(wire::PutRoute{route});
    fleet.awaitReady();
    const httplib::Headers headers = {{"Cookie", "session=1"},
                                      {"X-Api-Key", "key-acme"},
                                      {"Proxy-Authorization", "Basic key-acme"}};
    BOOST_TEST(fleet.post(0, "/desk/a?api_key=key-acme&x=1&y=key%2Dacme", "acme", "{}", headers)
                       ->status
               == 200);
    BOOST_TEST(fleet.post(0, "/v1/completions?key=key-acme", "acme", completionBody("p", 1, false),
                          headers)
                       ->status
               == 200);
    const auto inBody = fleet.post(0, "/desk/a", "acme", R"({"note":"key-acme"})");
    BOOST_TEST(inBody->status == 400);
    BOOST_TEST(errorOf(inBody).at("run") == "not_run");
    std::vector<RecordedRequest> requests = fleet.engine(0).requests();
    for (const RecordedRequest &request : fleet.service(0).requests())
        requests.push_back(request);
    for (const RecordedRequest &request : requests) {
        for (const char *secret : {"key-acme", "key%2Dacme", "session=1", "Authorization"})
            BOOST_TEST(request.rawText.find(secret) == std::string::npos, request.rawText);
    }
}

// R6: guards against serving a request with a key from a directory view that is too old to show
// that the key was withdrawn.
BOOST_AUTO_TEST_CASE(staleViewRefusesKeyedRequestsAndKeepsOpenRoutes)
{
    TestFleet fleet(0, 1, 1);
    fleet.settings().timings.keyFreshness = absl::Seconds(1);
    fleet.control().write(wire::PutRoute{{"open", "/desk/open", "desk", true, true}});
    fleet.startEntry();
    fleet.awaitReady();
    fleet.control().setPollsUnresponsive(true);
    BOOST_TEST(eventually([&] { return fleet.complete(0, "acme", "p", 1)->status == 503; }));
    BOOST_TEST(eventually([&] {
        return errorOf(fleet.complete(0, "acme", "p", 1)).value("code", "") == "keys_not_fresh";
    }));
    const std::size_t runs = fleet.engine(0).runs();
    const auto refused = fleet.complete(0, "acme", "p", 1);
    BOOST_TEST(errorOf(refused).at("run") == "not_run");
    BOOST_TEST(!refused->get_header_value("Retry-After").empty());
    BOOST_TEST(fleet.engine(0).runs() == runs);
    BOOST_TEST(fleet.get(0, "/desk/open", "")->status == 200);
    BOOST_TEST(fleet.get(0, "/readyz", "")->status == 503);
    fleet.control().setPollsUnresponsive(false);
    BOOST_TEST(eventually([&] { return fleet.complete(0, "acme", "p", 1)->status == 200; }));
}

// R6: guards against a stream that continues after its key was withdrawn.
BOOST_AUTO_TEST_CASE(streamOfWithdrawnKeyEndsWithTypedError)
{
    TestFleet fleet(1, 1);
    ScriptedEngine::Script script;
    script.pauseAt = 3;
    fleet.engine(0).setScript(script);
    StreamedCall call(fleet.port(0), "key-acme", "long", 1000);
    BOOST_TEST(call.awaitText(expectedText("long", 3)));
    fleet.control().write(wire::RevokeKey{"id-acme"});
    call.join();
    BOOST_TEST(call.errorCode == "key_withdrawn");
    BOOST_TEST(call.errorRun == "may_have_run");
    BOOST_TEST(!call.complete);
    BOOST_TEST(call.text == expectedText("long", 3));
    BOOST_TEST(fleet.engine(0).awaitCancel());
}

// R8: guards against repeated or missing tokens when a stream whose engine connection broke
// continues on another engine.
BOOST_AUTO_TEST_CASE(interruptedStreamContinuesFromTheLastToken)
{
    TestFleet fleet(1, 2);
    ScriptedEngine::Script script;
    script.disconnectAfter = 4;
    script.disconnects = 1;
    script.repeatTokens = true;
    fleet.engine(0).setScript(script);
    fleet.engine(1).setScript(script);
    StreamedCall call(fleet.port(0), "key-acme", "cut me", 12);
    call.join();
    BOOST_TEST(call.complete);
    BOOST_TEST(call.text == expectedText("cut me", 12));
    std::vector<std::int64_t> resumed;
    for (int i = 0; i < 2; ++i) {
        for (const RecordedRequest &request : fleet.engine(i).requests()) {
            if (request.path == "/v1/completions" && request.body.at("prompt") == "cut me")
                resumed.push_back(request.body.at("resume_after").get<std::int64_t>());
        }
    }
    BOOST_TEST(resumed.size() >= 2u);
    BOOST_TEST(*std::max_element(resumed.begin(), resumed.end()) >= 4);
}

// R8: guards against the text of an error response in the middle of a stream, and against a stream
// that ends as if it were complete, when the engine that should continue it answers with an error.
BOOST_AUTO_TEST_CASE(interruptedStreamWhoseContinuationFailsEndsWithTypedError)
{
    TestFleet fleet(1, 2);
    const std::string bodies[] = {"HTTP/1.1 500 Internal Server Error\r\n\r\noops",
                                  "data: {\"choices\":[{\"text\":\"oops\"}]}\n\ndata: [DONE]\n\n",
                                  R"({"error":{"message":"oops","run":"not_run"}})"};
    for (const std::string &body : bodies) {
        ScriptedEngine::Script script;
        script.disconnectAfter = 3;
        script.disconnects = 1;
        script.failResumed = body;
        fleet.engine(0).setScript(script);
        fleet.engine(1).setScript(script);
        const auto stream =
                fleet.post(0, "/v1/completions", "acme", completionBody("cut me", 8, true));
        BOOST_REQUIRE(stream);
        BOOST_TEST(stream->status == 200);
        BOOST_TEST(stream->body.find("oops") == std::string::npos, stream->body);
        BOOST_TEST(stream->body.find("[DONE]") == std::string::npos, stream->body);
        std::istringstream lines(stream->body);
        std::string text;
        Json last;
        for (std::string line; std::getline(lines, line);) {
            if (line.empty())
                continue;
            BOOST_REQUIRE(line.substr(0, 6) == "data: ");
            last = Json::parse(line.substr(6));
            if (!last.contains("error"))
                text += last.at("choices").at(0).at("text").get<std::string>();
        }
        BOOST_TEST(text == expectedText("cut me", 3));
        BOOST_REQUIRE(last.contains("error"));
        BOOST_TEST(last.at("error").at("run") == "may_have_run");

        fleet.engine(0).setScript(script);
        fleet.engine(1).setScript(script);
        const auto whole = fleet.complete(0, "acme", "cut me", 8);
        BOOST_TEST(whole->status >= 500);
        BOOST_TEST(errorOf(whole).value("run", "") == "may_have_run");
        BOOST_TEST(whole->body.find("oops") == std::string::npos, whole->body);
    }
}

// R8: guards against delivering the response of another request, which the engine sent under the
// wrong request id.
BOOST_AUTO_TEST_CASE(responseToAnotherRequestIsNeverDelivered)
{
    TestFleet fleet(1, 2);
    ScriptedEngine::Script script;
    script.wrongRequestId = true;
    fleet.engine(0).setScript(script);
    for (int i = 0; i < 4; ++i) {
        const auto response = fleet.complete(0, "acme", "mine", 5);
        BOOST_REQUIRE(response->status == 200);
        BOOST_TEST(Json::parse(response->body).at("choices").at(0).at("text")
                   == expectedText("mine", 5));
    }
}

// Guards against engines that continue to generate after the caller has disconnected.
BOOST_AUTO_TEST_CASE(generationIsCancelledWhenTheCallerDisconnects)
{
    TestFleet fleet(1, 1);
    ScriptedEngine::Script script;
    script.pauseAt = 2;
    fleet.engine(0).setScript(script);
    httplib::Client client("127.0.0.1", fleet.port(0));
    client.set_read_timeout(0, 300000);
    BOOST_TEST(!client.Post("/v1/completions", {{"Authorization", "Bearer key-acme"}},
                            completionBody("bye", 9, false), "application/json"));
    BOOST_TEST(fleet.engine(0).awaitCancel());
}

// F8: guards against one request that crashes engine after engine because it is retried on the next
// one.
BOOST_AUTO_TEST_CASE(requestThatCrashesTwoEnginesIsQuarantinedAtAllEntries)
{
    TestFleet fleet(2, 3);
    ScriptedEngine::Script script;
    script.pauseAt = 0;
    for (int i = 0; i < 3; ++i)
        fleet.engine(i).setScript(script);
    std::size_t before[3];
    for (int i = 0; i < 3; ++i)
        before[i] = fleet.engine(i).runs();
    std::string code;
    std::thread caller(
            [&] { code = errorOf(fleet.complete(0, "acme", "poison", 2)).value("code", ""); });
    for (int crash = 0; crash < 2; ++crash) {
        int running = -1;
        BOOST_REQUIRE(eventually([&] {
            for (int i = 0; i < 3; ++i) {
                if (before[i] != ~std::size_t(0) && fleet.engine(i).runs() > before[i])
                    running = i;
            }
            return running >= 0;
        }));
        before[running] = ~std::size_t(0);
        fleet.engine(running).stop();
    }
    caller.join();
    BOOST_TEST(code == "request_held");
    const auto revision = static_cast<double>(fleet.control().revision());
    for (int entry = 0; entry < 2; ++entry) {
        BOOST_TEST(eventually(
                [&] { return fleet.metric(entry, "rattanrill_view_revision") >= revision; }));
        const auto refused = fleet.complete(entry, "acme", "poison", 2);
        BOOST_TEST(errorOf(refused).value("code", "") == "request_held");
        BOOST_TEST(errorOf(refused).value("run", "") == "not_run");
    }
    std::size_t survivors = 0;
    for (int i = 0; i < 3; ++i)
        survivors += before[i] != ~std::size_t(0) ? 1 : 0;
    BOOST_TEST(survivors == 1u);
}

// Guards against a request that is quarantined because the engines that ran it paused: nothing has
// crashed, and a third engine can serve it.
BOOST_AUTO_TEST_CASE(requestAtTwoEnginesThatPauseIsNotQuarantined)
{
    TestFleet fleet(0, 3);
    fleet.settings().timings.engineIdleTimeout = absl::Milliseconds(200);
    fleet.startEntry();
    fleet.awaitReady();
    ScriptedEngine::Script script;
    script.pauseAt = 0;
    script.pauseHealthChecks = true;
    std::set<int> unused;
    std::map<int, std::size_t> before;
    for (int i = 0; i < 3; ++i) {
        fleet.engine(i).setScript(script);
        before[i] = fleet.engine(i).runs();
        unused.insert(i);
    }
    int status = 0;
    std::string code;
    std::thread caller([&] {
        const auto result = fleet.complete(0, "acme", "sound", 2);
        code = errorOf(result).value("code", "");
        status = result->status;
    });
    for (int pauses = 0; pauses < 2; ++pauses) {
        int running = -1;
        BOOST_TEST(eventually([&] {
            for (const int i : unused)
                running = fleet.engine(i).runs() > before[i] ? i : running;
            return running >= 0;
        }));
        unused.erase(running);
    }
    for (const int i : unused)
        fleet.engine(i).resume();
    caller.join();
    BOOST_TEST(status == 200);
    BOOST_TEST(code == "");
}

// Guards against a stream that is ended, and a request that is refused, because its engine pauses
// beyond the idle timeout while no other one can continue it.
BOOST_AUTO_TEST_CASE(streamGoesOnAfterAPauseOfTheOnlyEngine)
{
    TestFleet fleet(0, 1);
    fleet.settings().timings.engineIdleTimeout = absl::Milliseconds(200);
    fleet.startEntry();
    fleet.awaitReady();
    ScriptedEngine::Script script;
    script.pauseAt = 2;
    script.pauseHealthChecks = true;
    fleet.engine(0).setScript(script);
    const std::size_t before = fleet.engine(0).runs();
    int status = 0;
    std::string body;
    std::thread caller([&] {
        const auto result = fleet.complete(0, "acme", "sound", 4);
        status = result->status;
        body = result->body;
    });
    BOOST_TEST(eventually([&] { return fleet.engine(0).runs() > before; }));
    absl::SleepFor(absl::Milliseconds(1200));
    fleet.engine(0).resume();
    caller.join();
    BOOST_TEST_REQUIRE(status == 200, body);
    BOOST_TEST(Json::parse(body).at("choices").at(0).at("text") == expectedText("sound", 4));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanrill::entry
