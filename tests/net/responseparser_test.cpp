#include "rattanrill/net/responseparser.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace rattanrill::net;
using State = ResponseParser::State;

namespace {

/// Collects the response to the request "own".
struct Collector
{
    ResponseParser parser{{[this](const ResponseHead &received) {
                               const bool isOwn = received.headers.value("Id") == "own";
                               if (isOwn)
                                   head = received;
                               return isOwn;
                           },
                           [this](std::string_view bytes) { body.append(bytes); }}};
    ResponseHead head;
    std::string body;
};

std::string makeResponse(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ResponseParserTest)

// Guards against a parse result that depends on how the bytes are split over reads.
BOOST_AUTO_TEST_CASE(responseIsTheSameByteByByte)
{
    Collector collector;
    for (const char c : makeResponse("own", "hello"))
        collector.parser.feed(std::string_view(&c, 1));
    BOOST_TEST((collector.parser.state() == State::Complete));
    BOOST_TEST(collector.head.status == 200);
    BOOST_TEST(collector.body == "hello");
    BOOST_TEST(collector.parser.isKeepAlive());
    BOOST_TEST(!collector.parser.hasExtraBytes());
}

// Guards against delivering the late response to an earlier request to the next caller.
BOOST_AUTO_TEST_CASE(responseToAnotherRequestIsSkipped)
{
    Collector collector;
    collector.parser.feed(makeResponse("other", "foreign bytes") + makeResponse("own", "mine"));
    BOOST_TEST((collector.parser.state() == State::Complete));
    BOOST_TEST(collector.body == "mine");
}

// Guards against a 1xx response that is delivered as the final one.
BOOST_AUTO_TEST_CASE(interimResponseIsSkipped)
{
    Collector collector;
    collector.parser.feed("HTTP/1.1 100 Continue\r\n\r\n" + makeResponse("own", "x"));
    BOOST_TEST((collector.parser.state() == State::Complete));
    BOOST_TEST(collector.body == "x");
}

// Guards against reusing a connection on which bytes follow the response: they would become part of
// the next response.
BOOST_AUTO_TEST_CASE(extraBytesAreReported)
{
    Collector collector;
    collector.parser.feed(makeResponse("own", "x") + "HTTP/1.1 200");
    BOOST_TEST((collector.parser.state() == State::Complete));
    BOOST_TEST(collector.parser.hasExtraBytes());
}

// Guards against a truncated response that is reported as complete: the connection closes before
// the announced length, before the last chunk, or before the first byte.
BOOST_AUTO_TEST_CASE(truncatedResponseIsBroken)
{
    Collector sized;
    sized.parser.feed("HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 9\r\n\r\nhalf");
    sized.parser.handleEof();
    BOOST_TEST((sized.parser.state() == State::Broken));
    Collector chunked;
    chunked.parser.feed(
            "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
    chunked.parser.handleEof();
    BOOST_TEST((chunked.parser.state() == State::Broken));
    Collector empty;
    empty.parser.handleEof();
    BOOST_TEST((empty.parser.state() == State::Broken));
}

// Guards against a response without Content-Length or chunks that never completes, or whose closed
// connection is reused.
BOOST_AUTO_TEST_CASE(responseWithoutLengthEndsWhenTheConnectionCloses)
{
    Collector collector;
    collector.parser.feed("HTTP/1.1 200 OK\r\nId: own\r\n\r\nall of it");
    BOOST_TEST((collector.parser.state() == State::Reading));
    collector.parser.handleEof();
    BOOST_TEST((collector.parser.state() == State::Complete));
    BOOST_TEST(collector.body == "all of it");
    BOOST_TEST(!collector.parser.isKeepAlive());
}

// Guards against waiting for more bytes after input that is not HTTP.
BOOST_AUTO_TEST_CASE(malformedResponseIsBroken)
{
    Collector collector;
    collector.parser.feed("\x01\x02 no answer at all\r\n\r\n");
    BOOST_TEST((collector.parser.state() == State::Broken));
}

BOOST_AUTO_TEST_SUITE_END()
