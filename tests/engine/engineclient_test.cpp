#include "rattanrill/engine/engineclient.h"

#include "rattanrill/base/json.h"

#include "absl/synchronization/notification.h"

#include <httplib.h>

#include <boost/test/unit_test.hpp>

#include <thread>

namespace rattanrill::engine {
namespace {

/// An engine in this process with one handler for completions.
class Server
{
public:
    explicit Server(httplib::Server::Handler complete)
    {
        m_server.Post("/v1/completions", std::move(complete));
        m_port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
        // The library ignores a stop that comes before its thread runs.
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

/// Answers with the start of a stream that never goes on.
void answerAndHang(const httplib::Request &, httplib::Response &response)
{
    const auto hang = std::make_shared<bool>(false);
    response.set_chunked_content_provider("text/event-stream",
                                          [hang](std::size_t, httplib::DataSink &sink) {
                                              const std::string text = ": waiting\n\n";
                                              if (!*hang)
                                                  sink.write(text.data(), text.size());
                                              *hang = true;
                                              return sink.is_writable();
                                          });
}

} // namespace

BOOST_AUTO_TEST_SUITE(Client)

// R9: guards against a refusal that claims "not run" for a request that was sent.
BOOST_AUTO_TEST_CASE(runStateOfFailuresIsTrue)
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
    BOOST_TEST((busy.failure().run == EffectState::NotRun));
    body = "overloaded";
    BOOST_TEST((run(client, abortSignal).failure().run == EffectState::MayHaveRun));
    status = 500;
    BOOST_TEST((run(client, abortSignal).failure().run == EffectState::MayHaveRun));
    server.stop();
    const auto refused = run(client, abortSignal);
    BOOST_TEST((refused.failure().code == ErrorCode::UpstreamUnavailable));
    BOOST_TEST((refused.failure().run == EffectState::NotRun));
}

// Guards against a call that a frozen engine holds for ever.
BOOST_AUTO_TEST_CASE(silentStreamEndsAtTheIdleLimitAndAtTheDeadline)
{
    Server server(answerAndHang);
    EngineClient client(server.options());
    AbortSignal abortSignal;
    const auto broken = run(client, abortSignal);
    BOOST_TEST((broken.failure().code == ErrorCode::StreamBroken));
    BOOST_TEST((broken.failure().run == EffectState::MayHaveRun));
    const absl::Time deadline = SystemClock::instance().now() + absl::Milliseconds(50);
    BOOST_TEST((run(client, abortSignal, deadline).failure().code == ErrorCode::Timeout));
}

// Guards against a reader that cannot be stopped from another thread.
BOOST_AUTO_TEST_CASE(abortFromAnotherThreadEndsTheCall)
{
    absl::Notification answering;
    Server server([&](const httplib::Request &request, httplib::Response &response) {
        answerAndHang(request, response);
        answering.Notify();
    });
    EngineOptions options = server.options();
    options.idleTimeout = absl::Minutes(5);
    EngineClient client(options);
    AbortSignal abortSignal;
    std::thread other([&] {
        answering.WaitForNotification();
        abortSignal.abort();
    });
    const auto ended = run(client, abortSignal);
    other.join();
    BOOST_TEST((ended.failure().code == ErrorCode::ClientDisconnected));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanrill::engine
