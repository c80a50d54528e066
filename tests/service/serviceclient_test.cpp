#include "rattanrill/service/serviceclient.h"

#include "cutserver.h"
#include "endlessserver.h"
#include "hanginglistener.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace rattanrill::service {
namespace {

ServiceOptions optionsOf(const net::EndlessServer &server)
{
    ServiceOptions options;
    options.name = "s";
    options.host = "127.0.0.1";
    options.port = server.port();
    options.auxiliaryCallTimeout = absl::Milliseconds(300);
    options.maxResponseBytes = 100000;
    return options;
}

Outcome<ServiceResponse> call(ServiceClient &client)
{
    ServiceRequest request;
    request.method = "GET";
    request.path = "/x";
    request.requestId = "r";
    request.deadline = SystemClock::instance().now() + absl::Seconds(20);
    return client.call(request);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServiceClientTest)

// Guards against a service that sends a head or a body without end: the call must end long before
// its deadline and close the connection.
BOOST_AUTO_TEST_CASE(bytesWithoutEndEndTheCall)
{
    const std::string filler(1024, 'x');
    for (const std::string prefix : {"HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\n\r\n"}) {
        net::EndlessServer server(prefix, filler);
        ServiceClient client(optionsOf(server));
        const absl::Time start = SystemClock::instance().now();
        const auto result = call(client);
        BOOST_REQUIRE(!result.ok());
        BOOST_TEST((result.failure().code == ErrorCode::UpstreamFailed));
        BOOST_TEST((result.failure().effect == EffectState::MayHaveRun));
        BOOST_TEST(server.awaitClose());
        BOOST_TEST(!client.fetchLoadReport().ok());
        BOOST_TEST((SystemClock::instance().now() - start < absl::Seconds(10)));
    }
}

// Guards against a request inside a header of another one, which the service would run.
BOOST_AUTO_TEST_CASE(malformedRequestIsNotSent)
{
    net::EndlessServer server("HTTP/1.1 200 OK\r\nX: ", "x");
    ServiceClient client(optionsOf(server));
    ServiceRequest request;
    request.method = "GET";
    request.path = "/x";
    request.requestId = "r";
    request.contentType = "text/plain\r\n\r\nGET /y HTTP/1.1";
    request.deadline = SystemClock::instance().now() + absl::Seconds(20);
    const auto result = client.call(request);
    BOOST_REQUIRE(!result.ok());
    BOOST_TEST((result.failure().code == ErrorCode::InvalidRequest));
    BOOST_TEST((result.failure().effect == EffectState::NotRun));
}

// R9: guards against a refusal of an earlier request, which a faulty service writes once more, that
// is taken for the refusal of the request that the service runs.
BOOST_AUTO_TEST_CASE(refusalOfAnotherRequestDoesNotCountAsNotRun)
{
    const auto refusal = [](const std::string &headers, const std::string &members) {
        const std::string body = R"({"error":{"run":"not_run")" + members + "}}";
        return net::ServerAnswer{"HTTP/1.1 503 X\r\nContent-Type: application/json\r\n" + headers
                                         + "Content-Length: " + std::to_string(body.size())
                                         + "\r\n\r\n" + body,
                                 ""};
    };
    net::EndlessServer server({refusal("", R"(,"request_id":"earlier")"),
                               refusal("X-Request-Id: earlier\r\n", ""),
                               refusal("X-Request-Id: r\r\n", R"(,"request_id":"r")")});
    ServiceClient client(optionsOf(server));
    BOOST_TEST((call(client).failure().effect == EffectState::MayHaveRun));
    BOOST_TEST((call(client).failure().effect == EffectState::MayHaveRun));
    BOOST_TEST(client.droppedResponses() == 2u);
    const auto refused = call(client);
    BOOST_TEST((refused.failure().code == ErrorCode::UpstreamBusy));
    BOOST_TEST((refused.failure().effect == EffectState::NotRun));
}

// R8, R9: guards against a response that counts as complete, or a refusal that counts as not run,
// although the service closed the connection in the middle of the head or the body.
BOOST_AUTO_TEST_CASE(responseThatIsCutAtAnyByteIsNotComplete)
{
    const std::string json = "Content-Type: application/json\r\n";
    const std::string refusal = R"({"error":{"run":"not_run"}})";
    const std::string responses[] = {
            "HTTP/1.1 200 OK\r\n" + json + "Content-Length: 7\r\n\r\n{\"a\":1}",
            "HTTP/1.1 200 OK\r\n" + json
                    + "Transfer-Encoding: chunked\r\n\r\n4\r\n{\"a\"\r\n3\r\n:1}\r\n0\r\n\r\n",
            "HTTP/1.1 503 X\r\n" + json + "Content-Length: " + std::to_string(refusal.size())
                    + "\r\n\r\n" + refusal,
            "HTTP/1.1 503 X\r\n" + json + "Transfer-Encoding: chunked\r\n\r\n1b\r\n" + refusal
                    + "\r\n0\r\n\r\n",
    };
    for (const std::string &response : responses) {
        for (const auto mode : {net::CloseMode::Orderly, net::CloseMode::Reset}) {
            net::CutServer server(response, mode);
            ServiceOptions options;
            options.name = "s";
            options.host = "127.0.0.1";
            options.port = server.port();
            ServiceClient client(options);
            for (std::size_t cut = 0; cut <= response.size(); ++cut) {
                const auto result = call(client);
                if (cut == response.size())
                    continue;
                BOOST_REQUIRE_MESSAGE(!result.ok(), response.substr(0, cut));
                BOOST_TEST((result.failure().effect == EffectState::MayHaveRun),
                           response.substr(0, cut));
            }
        }
    }
}

// R8: guards against a response whose end is the close of the connection: one that broke off would
// be passed on as whole.
BOOST_AUTO_TEST_CASE(responseWithoutFramingIsNotPassedOn)
{
    net::EndlessServer server({{"HTTP/1.1 200 OK\r\n\r\nshort", ""},
                               {"HTTP/1.0 200 OK\r\n\r\n", ""},
                               {"HTTP/1.1 204 No Content\r\n\r\n", ""}});
    ServiceClient client(optionsOf(server));
    for (int i = 0; i < 2; ++i) {
        const auto result = call(client);
        BOOST_REQUIRE(!result.ok());
        BOOST_TEST((result.failure().code == ErrorCode::UpstreamFailed));
        BOOST_TEST((result.failure().effect == EffectState::MayHaveRun));
    }
    BOOST_TEST(call(client).ok());
}

// R11: guards against an announcement of leaving that is overlooked in a response or a load report.
BOOST_AUTO_TEST_CASE(everyResponseCanAnnounceThatTheServiceLeaves)
{
    net::EndlessServer server(
            {{"HTTP/1.1 200 OK\r\nX-Rattanrill-Leaving: 1\r\nContent-Length: 2\r\n\r\n{}", ""},
             {"HTTP/1.1 503 X\r\nX-Rattanrill-Leaving: 1\r\nContent-Length: 2\r\n\r\n{}", ""},
             {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", ""}});
    int announcements = 0;
    ServiceOptions options = optionsOf(server);
    options.onLeaving = [&] { ++announcements; };
    ServiceClient client(options);
    BOOST_TEST(call(client).ok());
    BOOST_TEST(announcements == 1);
    BOOST_TEST(!client.fetchLoadReport().ok());
    BOOST_TEST(announcements == 2);
    BOOST_TEST(call(client).ok());
    BOOST_TEST(announcements == 2);
}

// Guards against a crash that is reported because a service that pauses has a full queue of new
// connections. A request that could not be sent is still unavailable.
BOOST_AUTO_TEST_CASE(serviceThatAcceptsNoConnectionIsSilent)
{
    const net::HangingListener listener;
    ServiceOptions options;
    options.name = "s";
    options.host = "127.0.0.1";
    options.port = listener.port();
    options.connectTimeout = absl::Milliseconds(200);
    ServiceClient client(options);
    const auto probed = client.probe();
    BOOST_REQUIRE(!probed.ok());
    BOOST_TEST((probed.failure().code == ErrorCode::Timeout));
    const auto result = call(client);
    BOOST_REQUIRE(!result.ok());
    BOOST_TEST((result.failure().code == ErrorCode::UpstreamUnavailable));
    BOOST_TEST((result.failure().effect == EffectState::NotRun));
}

// Guards against a load report that arrives byte by byte and holds the call beyond its timeout.
BOOST_AUTO_TEST_CASE(slowLoadReportEndsAtTheTimeout)
{
    net::EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", " ", absl::Milliseconds(20));
    ServiceClient client(optionsOf(server));
    const absl::Time start = SystemClock::instance().now();
    BOOST_TEST(!client.fetchLoadReport().ok());
    BOOST_TEST((SystemClock::instance().now() - start < absl::Seconds(2)));
    BOOST_TEST(server.awaitClose());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanrill::service
