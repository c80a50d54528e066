#include "streamreader.h"

#include <boost/test/unit_test.hpp>

namespace rattanrill::engine {
namespace {

std::string event(const std::string &id, int index, const std::string &text,
                  const std::string &finish = "")
{
    const Json choice = {{"index", 0},
                         {"text", text},
                         {"finish_reason", finish.empty() ? Json() : Json(finish)}};
    return "data: "
           + Json{{"request_id", id}, {"index", index}, {"choices", Json::array({choice})}}.dump()
           + "\n\n";
}

const std::string done = "data: [DONE]\n\n";

/// A reader for request "r" that collects the text.
struct Reading
{
    explicit Reading(std::uint64_t resumeAfter = 0)
        : reader("r", resumeAfter, [this](const Token &token) { text += token.text; })
    {}

    std::string text;
    StreamReader reader;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Reader)

// R8: guards against tokens that are lost or repeated when bytes arrive in pieces.
BOOST_AUTO_TEST_CASE(streamIsReadInPiecesOfAnySize)
{
    const std::string stream =
            event("r", 0, "a") + event("r", 1, "b") + event("r", 2, "", "stop") + done;
    for (std::size_t size = 1; size < stream.size(); ++size) {
        Reading reading;
        for (std::size_t i = 0; i < stream.size(); i += size)
            BOOST_REQUIRE(reading.reader.feed(std::string_view(stream).substr(i, size)));
        const auto end = reading.reader.finish();
        BOOST_REQUIRE(end.ok());
        BOOST_TEST(reading.text == "ab");
        BOOST_TEST(end.value().tokens == 2u);
    }
}

// R8: guards against late tokens of the own and tokens of another request.
BOOST_AUTO_TEST_CASE(foreignAndRepeatedEventsAreDroppedAndCounted)
{
    Reading reading(5);
    BOOST_TEST(reading.reader.feed(event("x", 5, "no") + event("r", 4, "late") + event("r", 5, "a")
                                   + event("r", 5, "again") + event("r", 6, "b", "length") + done));
    BOOST_TEST(reading.reader.finish().ok());
    BOOST_TEST(reading.text == "ab");
    BOOST_TEST(reading.reader.dropped() == 3u);
}

// R8: guards against an answer with a hole.
BOOST_AUTO_TEST_CASE(gapBreaksTheStream)
{
    Reading reading;
    BOOST_TEST(reading.reader.feed(event("r", 0, "a")));
    BOOST_TEST(!reading.reader.feed(event("r", 2, "c")));
    BOOST_TEST(!reading.reader.finish().ok());
    Reading atEnd;
    BOOST_TEST(!atEnd.reader.feed(event("r", 0, "a") + event("r", 3, "", "stop")));
}

// R8: guards against a part that is taken for the whole.
BOOST_AUTO_TEST_CASE(endWithoutDoneOrFinishReasonIsBroken)
{
    Reading noDone;
    BOOST_TEST(noDone.reader.feed(event("r", 0, "a", "stop")));
    BOOST_TEST((noDone.reader.finish().failure().code == ErrorCode::StreamBroken));
    Reading noReason;
    BOOST_TEST(noReason.reader.feed(event("r", 0, "a") + done));
    BOOST_TEST((noReason.reader.finish().failure().run == EffectState::MayHaveRun));
}

// Guards against waiting for the whole answer of another request.
BOOST_AUTO_TEST_CASE(streamOfAnotherRequestIsGivenUp)
{
    Reading reading;
    int fed = 0;
    while (fed < 100 && reading.reader.feed(event("x", fed, "no")))
        ++fed;
    BOOST_TEST(fed < 100);
    BOOST_TEST(reading.text.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanrill::engine
