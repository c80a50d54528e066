#include "rattanrill/engine/engineclient.h"

#include "cutserver.h"
#include "endlessserver.h"
#include "hanginglistener.h"

#include "rattanrill/base/json.h"

#include "absl/synchronization/notification.h"

#include <httplib.h>

#include <boost/test/unit_test.hpp>

#include <functional>
#include <sstream>
#include <thread>

namespace rattanrill::engine {
namespace {

/// An engine in the test process that serves completions with a given handler.
class Server
{
public:
    explicit Server(httplib::Server::Handler complete)
    {
        m_server.Post("/v1/completions", std::move(complete));
        m_port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
        // httplib ignores a call of stop() before the server runs.
        while (!m_server.is_running())
            std::this_thread::yield();
    }

    ~Server() { stop(); }

    void stop()
    {
        m_server.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    EngineOptions options() const
    {
        EngineOptions options;
        options.name = "e";
        options.host = "127.0.0.1";
        options.port = m_port;
        options.idleTimeout = absl::Milliseconds(300);
        return options;
    }

private:
    httplib::Server m_server;
    std::thread m_thread;
    int m_port = 0;
};

Outcome<StreamSummary> run(EngineClient &client, AbortSignal &abortSignal,
                           absl::Time deadline = absl::InfiniteFuture())
{
    StreamRequest request;
    request.path = "/v1/completions";
    request.body = R"({"model":"m","prompt":"p"})";
    request.requestId = "r";
    request.deadline = deadline;
    return client.stream(request, abortSignal, [](const Token &) {});
}

std::string framedByLength(const std::string &head, const std::string &body)
{
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Sends \a body in one chunk.
std::string framedByChunks(const std::string &head, const std::string &body)
{
    std::ostringstream size;
    size << std::hex << body.size();
    return head + "Transfer-Encoding: chunked\r\n\r\n" + size.str() + "\r\n" + body
           + "\r\n0\r\n\r\n";
}

/// Calls the engine once for each length of its response, the last time for the whole of it.
void forEachCut(const std::string &response, net::CloseMode mode,
                const std::function<void(std::size_t cut, const Outcome<StreamSummary> &)> &check)
{
    net::CutServer server(response, mode);
    EngineOptions options;
    options.name = "e";
    options.host = "127.0.0.1";
    options.port = server.port();
    EngineClient client(options);
    for (std::size_t cut = 0; cut <= response.size(); ++cut) {
        AbortSignal abortSignal;
        check(cut, run(client, abortSignal));
    }
}

/// Sends the start of a stream and then neither continues nor ends it.
void startStreamAndStall(const httplib::Request &, httplib::Response &response)
{
    const auto started = std::make_shared<bool>(false);
    response.set_chunked_content_provider("text/event-stream",
                                          [started](std::size_t, httplib::DataSink &sink) {
                                              const std::string text = ": waiting\n\n";
                                              if (!*started)
                                                  sink.write(text.data(), text.size());
                                              *started = true;
                                              return sink.is_writable();
                                          });
}

} // namespace

BOOST_AUTO_TEST_SUITE(EngineClientTest)

// R9: guards against a failure that is NotRun although the engine received the request and did not
// report that the request did not run.
BOOST_AUTO_TEST_CASE(failureIsNotRunOnlyWhenTheRequestDidNotRun)
{
    int status = 503;
    std::string body = R"({"error":{"code":"upstream_busy","run":"not_run"}})";
    Server server([&](const httplib::Request &, httplib::Response &response) {
        response.status = status;
        response.set_content(body, "application/json");
    });
    EngineClient client(server.options());
    AbortSignal abortSignal;
    const auto busy = run(client, abortSignal);
    BOOST_TEST((busy.failure().code == ErrorCode::UpstreamBusy));
    BOOST_TEST((busy.failure().effect == EffectState::NotRun));
    body = "overloaded";
    BOOST_TEST((run(client, abortSignal).failure().effect == EffectState::MayHaveRun));
    status = 500;
    BOOST_TEST((run(client, abortSignal).failure().effect == EffectState::MayHaveRun));
    server.stop();
    const auto refused = run(client, abortSignal);
    BOOST_TEST((refused.failure().code == ErrorCode::UpstreamUnavailable));
    BOOST_TEST((refused.failure().effect == EffectState::NotRun));
}

// R9: guards against a refusal of an earlier request, which a faulty engine writes once more, that
// is taken for the refusal of the request that the engine runs.
BOOST_AUTO_TEST_CASE(refusalOfAnotherRequestDoesNotCountAsNotRun)
{
    std::string requestId = "earlier";
    Server server([&](const httplib::Request &, httplib::Response &response) {
        response.status = 503;
        const Json error = {
                {"code", "upstream_busy"}, {"run", "not_run"}, {"request_id", requestId}};
        response.set_content(Json{{"error", error}}.dump(), "application/json");
    });
    EngineClient client(server.options());
    AbortSignal abortSignal;
    BOOST_TEST((run(client, abortSignal).failure().effect == EffectState::MayHaveRun));
    BOOST_TEST(client.droppedEvents() == 1u);
    requestId = "r";
    BOOST_TEST((run(client, abortSignal).failure().effect == EffectState::NotRun));
}

// R8: guards against a stream that counts as complete although the engine closed the connection in
// the middle of the head or the body.
BOOST_AUTO_TEST_CASE(streamThatIsCutAtAnyByteIsNotComplete)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    const std::string body = "data: {\"request_id\":\"r\",\"index\":0,\"choices\":[{\"text\":\"a\","
                             "\"finish_reason\":null}]}\n\n"
                             "data: {\"request_id\":\"r\",\"index\":1,\"choices\":[{\"text\":\"\","
                             "\"finish_reason\":\"stop\"}]}\n\n"
                             "data: [DONE]\n\n";
    const std::string responses[] = {framedByLength(head, body), framedByChunks(head, body),
                                     head + "\r\n" + body};
    for (const std::string &response : responses) {
        // The end of the line with the end marker.
        const std::size_t complete = response.find("[DONE]\n") + 7;
        for (const auto mode : {net::CloseMode::Orderly, net::CloseMode::Reset}) {
            forEachCut(response, mode, [&](std::size_t cut, const Outcome<StreamSummary> &result) {
                if (cut >= complete && mode == net::CloseMode::Orderly) {
                    BOOST_TEST(result.ok(), response.substr(0, cut));
                } else if (cut < complete) {
                    BOOST_REQUIRE(!result.ok());
                    BOOST_TEST((result.failure().effect == EffectState::MayHaveRun),
                               response.substr(0, cut));
                }
            });
        }
    }
}

// R9: guards against a refusal that counts as not run although its response broke off.
BOOST_AUTO_TEST_CASE(refusalThatIsCutAtAnyByteDoesNotCountAsNotRun)
{
    const std::string head = "HTTP/1.1 503 Service Unavailable\r\n";
    const std::string body = R"({"error":{"code":"upstream_busy","run":"not_run"}})";
    for (const std::string &response : {framedByLength(head, body), framedByChunks(head, body)}) {
        for (const auto mode : {net::CloseMode::Orderly, net::CloseMode::Reset}) {
            forEachCut(response, mode, [&](std::size_t cut, const Outcome<StreamSummary> &result) {
                BOOST_REQUIRE(!result.ok());
                const bool isNotRun = result.failure().effect == EffectState::NotRun;
                if (cut < response.size())
                    BOOST_TEST(!isNotRun, response.substr(0, cut));
                else if (mode == net::CloseMode::Orderly)
                    BOOST_TEST(isNotRun);
            });
        }
    }
}

// R11: guards against an announcement of leaving that is overlooked because the response is not a
// stream, has an error status, or belongs to another kind of call.
BOOST_AUTO_TEST_CASE(everyResponseCanAnnounceThatTheEngineLeaves)
{
    int status = 200;
    std::string value = "1";
    Server server([&](const httplib::Request &, httplib::Response &response) {
        response.status = status;
        response.set_header("X-Rattanrill-Leaving", value);
        response.set_content("{}", "application/json");
    });
    int announcements = 0;
    EngineOptions options = server.options();
    options.onLeaving = [&] { ++announcements; };
    EngineClient client(options);
    AbortSignal abortSignal;
    (void)run(client, abortSignal);
    BOOST_TEST(announcements == 1);
    status = 503;
    (void)run(client, abortSignal);
    BOOST_TEST(announcements == 2);
    value = "0";
    (void)run(client, abortSignal);
    BOOST_TEST(announcements == 2);
    net::EndlessServer auxiliary(
            "HTTP/1.1 200 OK\r\nX-Rattanrill-Leaving: 1\r\nContent-Length: 2\r\n\r\n{}", "");
    options.port = auxiliary.port();
    EngineClient auxiliaryClient(options);
    (void)auxiliaryClient.fetchLoadReport();
    BOOST_TEST(announcements == 3);
}

// Guards against a call that blocks forever because the engine stops sending but keeps the
// connection open.
BOOST_AUTO_TEST_CASE(stalledStreamEndsAtTheIdleTimeoutAndAtTheDeadline)
{
    Server server(startStreamAndStall);
    EngineClient client(server.options());
    AbortSignal abortSignal;
    const auto broken = run(client, abortSignal);
    BOOST_TEST((broken.failure().code == ErrorCode::StreamBroken));
    BOOST_TEST((broken.failure().effect == EffectState::MayHaveRun));
    const absl::Time deadline = SystemClock::instance().now() + absl::Milliseconds(50);
    BOOST_TEST((run(client, abortSignal, deadline).failure().code == ErrorCode::Timeout));
}

// Guards against a call that another thread can't abort while it waits for the engine.
BOOST_AUTO_TEST_CASE(abortFromAnotherThreadEndsTheCall)
{
    absl::Notification streamStarted;
    Server server([&](const httplib::Request &request, httplib::Response &response) {
        startStreamAndStall(request, response);
        streamStarted.Notify();
    });
    EngineOptions options = server.options();
    options.idleTimeout = absl::Minutes(5);
    EngineClient client(options);
    AbortSignal abortSignal;
    std::thread aborter([&] {
        streamStarted.WaitForNotification();
        abortSignal.abort();
    });
    const auto result = run(client, abortSignal);
    aborter.join();
    BOOST_TEST((result.failure().code == ErrorCode::ClientDisconnected));
}

// Guards against an engine that sends bytes without end: in the head, in an error body, as lines
// that are no events, or as one line. Each call must end within its bounds and close the
// connection.
BOOST_AUTO_TEST_CASE(bytesWithoutEndEndTheCall)
{
    const std::string ok = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    const std::pair<std::string, std::string> rows[] = {
            {"HTTP/1.1 200 OK\r\nX: ", std::string(1024, 'x')},
            {"HTTP/1.1 200 OK\r\n", "X: " + std::string(1024, 'x') + "\r\n"},
            {"HTTP/1.1 500 X\r\n\r\n", std::string(1024, 'x')},
            {ok, ": no event\n\n"},
            {ok + "data: ", std::string(1024, 'x')},
    };
    for (const auto &[prefix, filler] : rows) {
        net::EndlessServer server(prefix, filler);
        EngineOptions options;
        options.name = "e";
        options.host = "127.0.0.1";
        options.port = server.port();
        options.idleTimeout = absl::Milliseconds(300);
        options.auxiliaryCallTimeout = absl::Milliseconds(300);
        EngineClient client(options);
        AbortSignal abortSignal;
        const auto result = run(client, abortSignal);
        BOOST_TEST((result.failure().code == ErrorCode::StreamBroken), prefix);
        BOOST_TEST((result.failure().effect == EffectState::MayHaveRun));
        BOOST_TEST(server.awaitClose());
        BOOST_TEST(!client.fetchLoadReport().ok());
        BOOST_TEST(!client.probe().ok());
    }
}

// Guards against an engine that pauses and can't be told from one whose process has ended.
BOOST_AUTO_TEST_CASE(probeTellsAPauseFromAnEnd)
{
    const auto probe = [](const std::string &response) {
        net::EndlessServer server(response, response.empty() ? "" : " ", absl::Milliseconds(20));
        EngineOptions options;
        options.name = "e";
        options.host = "127.0.0.1";
        options.port = server.port();
        options.auxiliaryCallTimeout = absl::Milliseconds(300);
        EngineClient client(options);
        const auto outcome = client.probe();
        BOOST_REQUIRE(!outcome.ok());
        BOOST_TEST((outcome.failure().effect == EffectState::MayHaveRun));
        return outcome.failure().code;
    };
    BOOST_TEST((probe("HTTP/1.1 200 OK\r\n\r\n") == ErrorCode::Timeout));
    BOOST_TEST((probe("") == ErrorCode::StreamBroken));
}

// Guards against a crash that is reported, and a request that is quarantined, because an engine
// that pauses has a full queue of new connections. A request that could not be sent is still
// unavailable, so that it is sent to another engine.
BOOST_AUTO_TEST_CASE(engineThatAcceptsNoConnectionIsSilent)
{
    const net::HangingListener listener;
    EngineOptions options;
    options.name = "e";
    options.host = "127.0.0.1";
    options.port = listener.port();
    options.connectTimeout = absl::Milliseconds(200);
    EngineClient client(options);
    const auto probed = client.probe();
    BOOST_REQUIRE(!probed.ok());
    BOOST_TEST((probed.failure().code == ErrorCode::Timeout));
    BOOST_TEST((probed.failure().effect == EffectState::NotRun));
    AbortSignal abortSignal;
    const auto result = run(client, abortSignal);
    BOOST_TEST((result.failure().code == ErrorCode::UpstreamUnavailable));
    BOOST_TEST((result.failure().effect == EffectState::NotRun));
}

// Guards against a load report that arrives byte by byte and holds the call beyond its timeout.
BOOST_AUTO_TEST_CASE(slowLoadReportEndsAtTheTimeout)
{
    net::EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", " ", absl::Milliseconds(20));
    EngineOptions options;
    options.name = "e";
    options.host = "127.0.0.1";
    options.port = server.port();
    options.auxiliaryCallTimeout = absl::Milliseconds(300);
    EngineClient client(options);
    const absl::Time start = SystemClock::instance().now();
    BOOST_TEST(!client.fetchLoadReport().ok());
    BOOST_TEST((SystemClock::instance().now() - start < absl::Seconds(2)));
    BOOST_TEST(server.awaitClose());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanrill::engine
