#include "rattanrill/net/requestparser.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace rattanrill::net;
using State = RequestParser::State;

namespace {

const std::string plainRequest = "POST /a/b?c=1 HTTP/1.1\r\nHost: h.example\r\nX-One: 1\r\n"
                                 "Content-Length: 4\r\n\r\nbody";

int refusalOf(const std::string &bytes, RequestLimits limits = {})
{
    RequestParser reader(limits);
    reader.feed(bytes);
    BOOST_TEST_REQUIRE((reader.state() == State::Refused));
    return reader.status();
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestParserTest)

// Guards against requests that change when they arrive in small pieces.
BOOST_AUTO_TEST_CASE(requestIsTheSameByteByByte)
{
    RequestParser reader(RequestLimits{});
    for (const char c : plainRequest)
        reader.feed(std::string_view(&c, 1));
    BOOST_TEST_REQUIRE((reader.state() == State::Complete));
    const Request request = reader.take();
    BOOST_TEST(request.method == "POST");
    BOOST_TEST(request.target == "/a/b?c=1");
    BOOST_TEST(request.path() == "/a/b");
    BOOST_TEST(request.query() == "c=1");
    BOOST_TEST(request.headers.value("x-one") == "1");
    BOOST_TEST(request.body == "body");
    BOOST_TEST((reader.state() == State::Idle));
}

BOOST_AUTO_TEST_CASE(chunkedBodyIsJoined)
{
    RequestParser reader(RequestLimits{});
    reader.feed("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    BOOST_TEST_REQUIRE((reader.state() == State::Complete));
    BOOST_TEST(reader.take().body == "abcde");
}

// Guards against a following request that is lost or taken for the body of the one before.
BOOST_AUTO_TEST_CASE(requestsInARowStayApart)
{
    RequestParser reader(RequestLimits{});
    reader.feed(plainRequest + "GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST_REQUIRE((reader.state() == State::Complete));
    BOOST_TEST(reader.take().body == "body");
    BOOST_TEST_REQUIRE((reader.state() == State::Complete));
    BOOST_TEST(reader.take().target == "/second");
}

// Guards against a request smuggled inside another one: two readers could frame these differently.
BOOST_AUTO_TEST_CASE(ambiguousFramingIsRefused)
{
    BOOST_TEST(refusalOf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
               == 400);
    BOOST_TEST(refusalOf("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n") == 400);
    BOOST_TEST(refusalOf("GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n") == 400);
    BOOST_TEST(refusalOf("GET /x HTTP/1.1\r\n\r\n") == 400);
    BOOST_TEST(refusalOf("GET x HTTP/1.1\r\nHost: h\r\n\r\n") == 400);
    BOOST_TEST(refusalOf("garbage\r\n\r\n") == 400);
}

BOOST_AUTO_TEST_CASE(limitsHaveTheirOwnStatuses)
{
    RequestLimits limits;
    limits.maxHeaderBytes = 200;
    limits.maxBodyBytes = 8;
    BOOST_TEST(refusalOf("GET /x HTTP/1.1\r\nHost: h\r\nX: " + std::string(400, 'a') + "\r\n\r\n",
                         limits)
               == 431);
    BOOST_TEST(refusalOf("GET /" + std::string(400, 'a'), limits) == 431);
    BOOST_TEST(refusalOf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n", limits)
               == 413);
}

BOOST_AUTO_TEST_CASE(expectationIsToldOnce)
{
    RequestParser reader(RequestLimits{});
    reader.feed("POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n");
    BOOST_TEST(reader.takeExpectContinue());
    BOOST_TEST(!reader.takeExpectContinue());
}

BOOST_AUTO_TEST_SUITE_END()
