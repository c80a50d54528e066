#include "rattanrill/net/responseparser.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace rattanrill::net;
using State = ResponseParser::State;

namespace {

/// Collects the response to the request "own".
struct Collector
{
    ResponseParser reader{{[this](const ResponseHead &answer) {
                               const bool isOwn = answer.headers.value("Id") == "own";
                               if (isOwn)
                                   head = answer;
                               return isOwn;
                           },
                           [this](std::string_view bytes) { body.append(bytes); }}};
    ResponseHead head;
    std::string body;
};

std::string response(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ResponseParserTest)

BOOST_AUTO_TEST_CASE(answerIsTheSameByteByByte)
{
    Collector collector;
    for (const char c : response("own", "hello"))
        collector.reader.feed(std::string_view(&c, 1));
    BOOST_TEST((collector.reader.state() == State::Complete));
    BOOST_TEST(collector.head.status == 200);
    BOOST_TEST(collector.body == "hello");
    BOOST_TEST(collector.reader.isKeepAlive());
    BOOST_TEST(!collector.reader.hasExtraBytes());
}

// Guards against a late answer of an earlier request that is delivered to the next caller.
BOOST_AUTO_TEST_CASE(foreignAnswerIsPassedOver)
{
    Collector collector;
    collector.reader.feed(response("other", "foreign bytes") + response("own", "mine"));
    BOOST_TEST((collector.reader.state() == State::Complete));
    BOOST_TEST(collector.body == "mine");
}

BOOST_AUTO_TEST_CASE(interimAnswerIsPassedOver)
{
    Collector collector;
    collector.reader.feed("HTTP/1.1 100 Continue\r\n\r\n" + response("own", "x"));
    BOOST_TEST((collector.reader.state() == State::Complete));
    BOOST_TEST(collector.body == "x");
}

// Guards against bytes behind an answer that become part of the next one.
BOOST_AUTO_TEST_CASE(extraBytesAreNoticed)
{
    Collector collector;
    collector.reader.feed(response("own", "x") + "HTTP/1.1 200");
    BOOST_TEST((collector.reader.state() == State::Complete));
    BOOST_TEST(collector.reader.hasExtraBytes());
}

// Guards against a cut answer that looks complete.
BOOST_AUTO_TEST_CASE(cutAnswerIsBroken)
{
    Collector sized;
    sized.reader.feed("HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 9\r\n\r\nhalf");
    sized.reader.handleEof();
    BOOST_TEST((sized.reader.state() == State::Broken));
    Collector chunked;
    chunked.reader.feed(
            "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
    chunked.reader.handleEof();
    BOOST_TEST((chunked.reader.state() == State::Broken));
    Collector empty;
    empty.reader.handleEof();
    BOOST_TEST((empty.reader.state() == State::Broken));
}

BOOST_AUTO_TEST_CASE(answerWithoutLengthEndsWithItsConnection)
{
    Collector collector;
    collector.reader.feed("HTTP/1.1 200 OK\r\nId: own\r\n\r\nall of it");
    BOOST_TEST((collector.reader.state() == State::Reading));
    collector.reader.handleEof();
    BOOST_TEST((collector.reader.state() == State::Complete));
    BOOST_TEST(collector.body == "all of it");
    BOOST_TEST(!collector.reader.isKeepAlive());
}

BOOST_AUTO_TEST_CASE(noiseIsBroken)
{
    Collector collector;
    collector.reader.feed("\x01\x02 no answer at all\r\n\r\n");
    BOOST_TEST((collector.reader.state() == State::Broken));
}

BOOST_AUTO_TEST_SUITE_END()
