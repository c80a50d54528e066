#include "rattanrill/net/responseparser.h"

#include "responsecuts.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

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

// Guards against a response that was cut at any byte and is reported as complete, however its bytes
// are split over reads, and against a complete one that is reported as broken.
BOOST_AUTO_TEST_CASE(responseCutAtAnyByteIsNotComplete)
{
    for (const CutResponse &response : cutResponses()) {
        for (std::size_t cut = 0; cut <= response.bytes.size(); ++cut) {
            for (const std::size_t readSize : {std::size_t(1), std::size_t(7), cut + 1}) {
                BOOST_TEST_INFO_SCOPE(response.name << ", " << cut << " bytes, in reads of "
                                                    << readSize);
                Collector collector;
                for (std::size_t at = 0; at < cut; at += readSize)
                    collector.parser.feed(std::string_view(response.bytes)
                                                  .substr(at, std::min(readSize, cut - at)));
                const bool isFramedWhole =
                        !response.endsWithConnection && response.isCompleteAfter(cut);
                BOOST_TEST((collector.parser.state() == State::Complete) == isFramedWhole);
                collector.parser.handleEof();
                const bool isComplete = collector.parser.state() == State::Complete;
                BOOST_TEST(isComplete == response.isCompleteAfter(cut));
                BOOST_TEST((collector.parser.fault() == ResponseFault::Truncated) == !isComplete);
                if (isComplete)
                    BOOST_TEST(collector.body == response.bodyAfter(cut));
            }
        }
    }
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

// Guards against a head, a chunk header or a trailer without end, which would fill the memory of
// the process until the sender closes the connection.
BOOST_AUTO_TEST_CASE(headWithoutEndIsBroken)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(1000, 'a');
    const std::string headerLine = "X: " + filler + "\r\n";
    const std::pair<std::string, std::string> rows[] = {
            {"HTTP/1.1 200 OK\r\nX: ", filler},
            {"HTTP/1.1 200 OK\r\n", headerLine},
            {"HTTP/1.1 200 ", filler},
            {chunked + "4;x=", filler},
            {chunked + "4\r\nhalf\r\n0\r\nX: ", filler},
            {chunked + "4\r\nhalf\r\n0\r\n", headerLine},
    };
    for (const auto &[start, repeated] : rows) {
        Collector collector;
        collector.parser.feed(start);
        std::size_t size = 0;
        for (; size < 3 * ResponseLimits().maxHeadBytes; size += repeated.size()) {
            if (collector.parser.state() != State::Reading)
                break;
            collector.parser.feed(repeated);
        }
        BOOST_TEST((collector.parser.fault() == ResponseFault::HeadTooLong), start);
        BOOST_TEST(size <= ResponseLimits().maxHeadBytes + 2 * repeated.size());
    }
}

// Guards against responses without end before the own one: interim responses, responses to other
// requests, or one response to another request whose body does not end.
BOOST_AUTO_TEST_CASE(skippedResponsesWithoutEndAreBroken)
{
    const std::string body(4000, 'b');
    const std::pair<std::string, std::string> rows[] = {
            {"", "HTTP/1.1 102 Processing\r\nX: " + body + "\r\n\r\n"},
            {"", makeResponse("other", body)},
            {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", body},
    };
    for (const auto &[start, repeated] : rows) {
        Collector collector;
        collector.parser.feed(start);
        std::size_t size = 0;
        for (; size < 2 * ResponseLimits().maxSkippedBytes; size += repeated.size()) {
            if (collector.parser.state() != State::Reading)
                break;
            collector.parser.feed(repeated);
        }
        BOOST_TEST((collector.parser.fault() == ResponseFault::SkippedTooLong));
    }
}

// Guards against a bound that cuts off a long response: the size of the body is not limited here.
BOOST_AUTO_TEST_CASE(longBodyIsNotCutOff)
{
    Collector collector;
    collector.parser.feed("HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::size_t size = std::size_t(32) << 20;
    for (std::size_t sent = 0; sent < size; sent += 4096)
        collector.parser.feed("1000\r\n" + std::string(4096, 'x') + "\r\n");
    collector.parser.feed("0\r\n\r\n");
    BOOST_TEST((collector.parser.state() == State::Complete));
    BOOST_TEST(collector.body.size() == size);
}

// Guards against a response of an upstream in trouble that is passed on although its status is
// none.
BOOST_AUTO_TEST_CASE(statusOutsideOfItsRangeIsMalformed)
{
    for (const std::string status : {"000", "001", "099", "600", "999"}) {
        BOOST_TEST_INFO_SCOPE(status);
        Collector collector;
        collector.parser.feed("HTTP/1.1 " + status + " X\r\nId: own\r\nContent-Length: 1\r\n\r\nx");
        BOOST_TEST((collector.parser.state() == State::Broken));
        BOOST_TEST((collector.parser.fault() == ResponseFault::Malformed));
        BOOST_TEST(collector.head.status == 0);
        BOOST_TEST(collector.body.empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
