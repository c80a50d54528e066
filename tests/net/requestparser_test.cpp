#include "rattanrill/net/requestparser.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <limits>
#include <string>
#include <string_view>

using namespace rattanrill::net;
using State = RequestParser::State;

namespace {

const std::string plainRequest = "POST /a/b?c=1 HTTP/1.1\r\nHost: h.example\r\nX-One: 1\r\n"
                                 "Content-Length: 4\r\n\r\nbody";

int refusalStatus(const std::string &bytes, RequestLimits limits = {})
{
    RequestParser parser(limits);
    parser.feed(bytes);
    BOOST_TEST_REQUIRE((parser.state() == State::Refused));
    return parser.status();
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestParserTest)

// Guards against a parse result that depends on how the bytes are split over reads.
BOOST_AUTO_TEST_CASE(requestIsTheSameByteByByte)
{
    RequestParser parser(RequestLimits{});
    for (const char c : plainRequest)
        parser.feed(std::string_view(&c, 1));
    BOOST_TEST_REQUIRE((parser.state() == State::Complete));
    const Request request = parser.take();
    BOOST_TEST(request.method == "POST");
    BOOST_TEST(request.target == "/a/b?c=1");
    BOOST_TEST(request.path() == "/a/b");
    BOOST_TEST(request.query() == "c=1");
    BOOST_TEST(request.headers.value("x-one") == "1");
    BOOST_TEST(request.body == "body");
    BOOST_TEST((parser.state() == State::Idle));
}

// Guards against a body that contains chunk headers or lacks a chunk.
BOOST_AUTO_TEST_CASE(chunkedBodyIsJoined)
{
    RequestParser parser(RequestLimits{});
    parser.feed("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    BOOST_TEST_REQUIRE((parser.state() == State::Complete));
    BOOST_TEST(parser.take().body == "abcde");
}

// Guards against a request that was cut at any byte and is passed on. The bytes after a complete
// request that belong to the next one do not make that one complete.
BOOST_AUTO_TEST_CASE(requestCutAtAnyByteIsNotComplete)
{
    const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string rows[] = {
            plainRequest,
            "GET /x HTTP/1.1\r\nHost: h\r\n\r\n",
            head + "Content-Length: 0\r\n\r\n",
            head + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\nhi",
            chunked + "3\r\nabc\r\n2;e=1\r\nde\r\n0\r\n\r\n",
            chunked + "0\r\n\r\n",
            chunked + "3\r\nabc\r\n0\r\nSum: 1\r\n\r\n",
    };
    for (const std::string &bytes : rows) {
        for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
            for (const std::size_t readSize : {std::size_t(1), std::size_t(7), cut + 1}) {
                BOOST_TEST_INFO_SCOPE(bytes << cut << " bytes, in reads of " << readSize);
                RequestParser parser(RequestLimits{});
                parser.feed(plainRequest);
                BOOST_TEST_REQUIRE((parser.state() == State::Complete));
                parser.take();
                for (std::size_t at = 0; at < cut; at += readSize)
                    parser.feed(std::string_view(bytes).substr(at, std::min(readSize, cut - at)));
                BOOST_TEST((parser.state() == State::Complete) == (cut == bytes.size()));
                BOOST_TEST((parser.state() != State::Refused));
            }
        }
    }
}

// Guards against a pipelined request that is lost or read as part of the body of the previous one.
BOOST_AUTO_TEST_CASE(pipelinedRequestsAreSeparated)
{
    RequestParser parser(RequestLimits{});
    parser.feed(plainRequest + "GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST_REQUIRE((parser.state() == State::Complete));
    BOOST_TEST(parser.take().body == "body");
    BOOST_TEST_REQUIRE((parser.state() == State::Complete));
    BOOST_TEST(parser.take().target == "/second");
}

// Guards against request smuggling: two HTTP implementations could frame these requests
// differently.
BOOST_AUTO_TEST_CASE(ambiguousFramingIsRefused)
{
    BOOST_TEST(refusalStatus("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
               == 400);
    BOOST_TEST(refusalStatus("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n")
               == 400);
    BOOST_TEST(refusalStatus("GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n") == 400);
    BOOST_TEST(refusalStatus("GET /x HTTP/1.1\r\n\r\n") == 400);
    BOOST_TEST(refusalStatus("GET x HTTP/1.1\r\nHost: h\r\n\r\n") == 400);
    BOOST_TEST(refusalStatus("garbage\r\n\r\n") == 400);
}

// Guards against oversized requests that are accepted or answered with the wrong status, also when
// the header never ends.
BOOST_AUTO_TEST_CASE(eachLimitHasItsOwnStatus)
{
    RequestLimits limits;
    limits.maxHeaderBytes = 200;
    limits.maxBodyBytes = 8;
    BOOST_TEST(
            refusalStatus("GET /x HTTP/1.1\r\nHost: h\r\nX: " + std::string(400, 'a') + "\r\n\r\n",
                          limits)
            == 431);
    BOOST_TEST(refusalStatus("GET /" + std::string(400, 'a'), limits) == 431);
    BOOST_TEST(refusalStatus("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n", limits)
               == 413);
}

// Guards against a trailer that exceeds the limit of the header, whether or not it ends.
BOOST_AUTO_TEST_CASE(trailerIsLimitedLikeTheHeader)
{
    RequestLimits limits;
    limits.maxHeaderBytes = 200;
    const std::string head =
            "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n";
    const std::string trailer = "X: " + std::string(200, 'a');
    BOOST_TEST(refusalStatus(head + trailer, limits) == 431);
    BOOST_TEST(refusalStatus(head + trailer + "\r\n\r\n", limits) == 431);
}

// Guards against a trailer that replaces or adds headers after they have been checked.
BOOST_AUTO_TEST_CASE(trailerIsNotTakenForHeaders)
{
    RequestParser parser(RequestLimits{});
    parser.feed("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nX-One: 1\r\n\r\n"
                "1\r\na\r\n0\r\nHost: other\r\nX-Two: 2\r\n\r\n");
    BOOST_TEST_REQUIRE((parser.state() == State::Complete));
    const Request request = parser.take();
    BOOST_TEST(request.headers.count("Host") == 1u);
    BOOST_TEST(request.headers.value("Host") == "h");
    BOOST_TEST(request.headers.value("X-One") == "1");
    BOOST_TEST(request.headers.count("X-Two") == 0u);
}

// Guards against memory that is reserved for a body of which nothing has arrived.
BOOST_AUTO_TEST_CASE(announcedBodyIsNotReserved)
{
    RequestLimits limits;
    limits.maxBodyBytes = std::numeric_limits<std::size_t>::max();
    RequestParser parser(limits);
    BOOST_CHECK_NO_THROW(parser.feed("POST /x HTTP/1.1\r\nHost: h\r\n"
                                     "Content-Length: 4000000000000000000\r\n\r\nab"));
    BOOST_TEST((parser.state() == State::Body));
}

// Guards against a missing or repeated 100 (Continue) response.
BOOST_AUTO_TEST_CASE(expectContinueIsReportedOnce)
{
    RequestParser parser(RequestLimits{});
    parser.feed("POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n");
    BOOST_TEST(parser.takeExpectContinue());
    BOOST_TEST(!parser.takeExpectContinue());
}

// Guards against bytes that are passed on as one request and hold a second one.
BOOST_AUTO_TEST_CASE(singleRequestHasNothingBehindIt)
{
    BOOST_TEST(isSingleRequest(plainRequest));
    BOOST_TEST(!isSingleRequest(plainRequest + "x"));
    BOOST_TEST(!isSingleRequest(plainRequest + plainRequest));
    BOOST_TEST(!isSingleRequest(plainRequest.substr(0, plainRequest.size() - 1)));
    BOOST_TEST(!isSingleRequest(""));
}

BOOST_AUTO_TEST_SUITE_END()
