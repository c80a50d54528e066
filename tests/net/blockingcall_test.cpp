#include "rattanrill/net/blockingcall.h"

#include "responsecuts.h"
#include "scriptedserver.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace rattanrill;
using namespace rattanrill::net;

BOOST_AUTO_TEST_SUITE(BlockingCallTest)

// Guards against a response that was cut at any byte, by an orderly close or a reset, and is
// reported as complete.
BOOST_AUTO_TEST_CASE(responseCutAtAnyByteIsNotComplete)
{
    constexpr std::size_t maxBodyBytes = 1024;
    const std::vector<ResponseCut> cuts = responseCuts();
    ScriptedServer server(answersOf(cuts));
    Request request;
    request.method = "GET";
    request.target = "/";
    for (const ResponseCut &cut : cuts) {
        BlockingCall call("127.0.0.1", server.port(), BlockingCallTimeouts());
        Response received;
        const BlockingCallEnd end = call.fetch(request, maxBodyBytes, received);
        // A blocking call takes the first response on its connection for its own.
        if (cut.response.isAfterForeign)
            continue;
        cut.check(end == BlockingCallEnd::Complete, received.body);
    }
}

// Guards against a part of a response that counts as the whole one, because the write of a long
// upload has taken the error of the reset, and the read then sees an orderly close.
BOOST_AUTO_TEST_CASE(responseThatIsResetDuringAnUploadIsNotComplete)
{
    constexpr int calls = 20;
    ScriptedAnswer answer;
    answer.bytes = "HTTP/1.1 200 OK\r\n\r\nhalf";
    answer.end = ConnectionEnd::Reset;
    answer.respondsToHead = true;
    ScriptedServer server({answer});
    Request request;
    request.method = "POST";
    request.target = "/";
    request.body.assign(std::size_t(8) << 20, 'x');
    for (int i = 0; i < calls; ++i) {
        BlockingCall call("127.0.0.1", server.port(), BlockingCallTimeouts());
        Response received;
        const BlockingCallEnd end = call.fetch(request, 1024, received);
        BOOST_TEST((end == BlockingCallEnd::Broken));
    }
}

// Guards against a request inside a header of another one, which an upstream would run: UNASKED.
BOOST_AUTO_TEST_CASE(malformedRequestIsNotSent)
{
    ScriptedServer server({{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}});
    Request request;
    request.method = "GET";
    request.target = "/";
    request.headers.add("X-Note", "a\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    BlockingCall call("127.0.0.1", server.port(), BlockingCallTimeouts());
    Response received;
    BOOST_TEST((call.fetch(request, 1024, received) == BlockingCallEnd::Malformed));
    BOOST_TEST(server.requests().empty());
}

BOOST_AUTO_TEST_SUITE_END()
