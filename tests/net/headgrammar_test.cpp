#include "rattanrill/net/headgrammar.h"

#include "rattanrill/net/message.h"
#include "rattanrill/net/requestparser.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <string>

using namespace rattanrill;
using namespace rattanrill::net;

namespace {

Request soundRequest()
{
    Request request;
    request.method = "POST";
    request.target = "/a";
    request.headers.add("Host", "h.example");
    request.headers.add("X-Note", "plain");
    request.body = "body";
    return request;
}

/// Parts of a request, each of which \a text is put into.
struct Part
{
    const char *name;
    void (*put)(Request &request, const std::string &text);
};

const Part parts[] = {
        {"method", [](Request &request, const std::string &text) { request.method = text; }},
        {"target", [](Request &request, const std::string &text) { request.target = "/" + text; }},
        {"header name",
         [](Request &request, const std::string &text) { request.headers.add(text, "1"); }},
        {"header value",
         [](Request &request, const std::string &text) { request.headers.add("X", text); }},
};

/// Whether the bytes of \a request are read as this request and no other.
bool isReadAsSent(const Request &request, const std::string &bytes)
{
    RequestParser parser({bytes.size(), bytes.size()});
    parser.feed(bytes);
    if (parser.state() != RequestParser::State::Complete || parser.pendingBytes() > 0)
        return false;
    const Request read = parser.take();
    // The sender adds the length of the body.
    const std::size_t added = 1;
    return read.method == request.method && read.target == request.target
           && read.headers.all().size() == request.headers.all().size() + added
           && read.body == request.body;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HeadGrammarTest)

// Guards against a request that is sent to an upstream with a second one inside, or as another one
// than it was, because a part of its head was written unchecked: UNASKED.
BOOST_AUTO_TEST_CASE(writtenRequestIsReadAsSentWhateverItsParts)
{
    const std::string inside = "\r\nContent-Length: 0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    for (const Part &part : parts) {
        BOOST_TEST_INFO_SCOPE(part.name);
        Request smuggling = soundRequest();
        part.put(smuggling, "a" + inside);
        BOOST_TEST(!serialize(smuggling).ok());
        for (int byte = 0; byte < 256; ++byte) {
            BOOST_TEST_INFO_SCOPE(byte);
            Request request = soundRequest();
            part.put(request, std::string("a") + static_cast<char>(byte) + "b");
            const Outcome<std::string> bytes = serialize(request);
            if (bytes.ok())
                BOOST_TEST(isReadAsSent(request, bytes.value()));
        }
    }
}

// Guards against callers whose requests were read and can't be passed on, because the writer's
// grammar is narrower than that of the parser.
BOOST_AUTO_TEST_CASE(requestThatWasReadCanBeWritten)
{
    for (const Part &part : parts) {
        BOOST_TEST_INFO_SCOPE(part.name);
        for (int byte = 0; byte < 256; ++byte) {
            BOOST_TEST_INFO_SCOPE(byte);
            Request request = soundRequest();
            part.put(request, std::string("a") + static_cast<char>(byte) + "b");
            std::string bytes = request.method + " " + request.target + " HTTP/1.1\r\n";
            for (const Header &header : request.headers.all())
                bytes += header.name + ": " + header.value + "\r\n";
            bytes += "Content-Length: 4\r\n\r\nbody";
            RequestParser parser({bytes.size(), bytes.size()});
            parser.feed(bytes);
            if (parser.state() == RequestParser::State::Complete)
                BOOST_TEST(serialize(parser.take()).ok());
        }
    }
}

// Guards against a response to a caller that has another one inside.
BOOST_AUTO_TEST_CASE(malformedResponseHeadIsNotWritten)
{
    const std::string inside = "a\r\nX: 1";
    ResponseHead sound{200, "", {}};
    sound.headers.add("X-Note", "plain");
    BOOST_TEST(serialize(sound).ok());
    ResponseHead reason = sound;
    reason.reason = inside;
    BOOST_TEST(!serialize(reason).ok());
    ResponseHead value = sound;
    value.headers.add("X-Note", inside);
    const auto failed = serialize(value);
    BOOST_TEST_REQUIRE(!failed.ok());
    BOOST_TEST(
            failed.failure().detail
            == "the value of the header \"X-Note\" \"a\\r\\nX: 1\" can't be part of an HTTP head");
}

// Guards against log lines as long as what a client sent.
BOOST_AUTO_TEST_CASE(failureQuotesABoundedPart)
{
    const std::string longText = std::string(100'000, 'x') + "\n";
    for (const Part &part : parts) {
        BOOST_TEST_INFO_SCOPE(part.name);
        Request request = soundRequest();
        part.put(request, longText);
        const auto failed = serialize(request);
        BOOST_TEST_REQUIRE(!failed.ok());
        BOOST_TEST(failed.failure().detail.size() < 500u);
    }
}

BOOST_AUTO_TEST_CASE(identifierHasNoBlanksAtItsEnds)
{
    BOOST_TEST(isValidIdentifier("a b"));
    for (const std::string text : {"", " a", "a ", "a\t", "a\nb", "a\x7f"})
        BOOST_TEST(!isValidIdentifier(text), text);
}

BOOST_AUTO_TEST_SUITE_END()
